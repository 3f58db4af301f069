package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

const (
	// maxBackoffAsked bounds the backoffs for which servers ask among the faults.
	maxBackoffAsked = 3 * time.Second
	// backoffAsked is the backoff for which a server asks in the last phase of a run.
	backoffAsked = 2 * time.Second
	// answerSlack is how long after an answer that asks for no more requests an entry may
	// still send some.
	answerSlack = 500 * time.Millisecond
)

// randomBackoff returns the backoff for which a server asks.
func randomBackoff(rng *rand.Rand) time.Duration {
	return time.Duration(1 + rng.Int64N(int64(maxBackoffAsked)))
}

// refuseRequests makes a server of each kind ask for a backoff, and a model server say that it
// leaves while its item in the store says that it is ready. It returns a function that checks,
// at the end, that no entry sent requests that they do not want. The first servers are left
// to nameLimits.
func (tb *testbed) refuseRequests() (check func() []string) {
	inBackoff := []*platform.Server{tb.plainServers[limitedServers]}
	var leaving []*platform.Server
	for i, r := range tb.runningServers()[limitedServers:] {
		switch i {
		case 0:
			inBackoff = append(inBackoff, r.server)
		case 1:
			leaving = append(leaving, r.server)
		}
	}
	for _, s := range inBackoff {
		s.SetFaults(platform.ServerFaults{Refuse: true, Backoff: backoffAsked})
	}
	for _, s := range leaving {
		s.SetFaults(platform.ServerFaults{Leaving: true})
	}
	return func() []string {
		var out []string
		for _, s := range inBackoff {
			out = append(out, checkUnwanted(s.Key(), s.Arrivals(), backoffAsked)...)
		}
		for _, s := range leaving {
			out = append(out, checkUnwanted(s.Key(), s.Arrivals(), limitTime)...)
		}
		return out
	}
}

// checkUnwanted returns a violation for each request that an entry sent to a server although an
// answer had told it, longer than answerSlack before, to send none for the given time. The
// server answers each request at once.
func checkUnwanted(server string, arrivals []platform.Arrival, unwanted time.Duration) []string {
	var out []string
	for i, a := range arrivals {
		for _, told := range arrivals[:i] {
			since := a.At.Sub(told.At)
			if told.Entry == a.Entry && since > answerSlack && since < unwanted {
				out = append(out, fmt.Sprintf("%s got a request from %s %v after it had asked for none", server, a.Entry, since))
				break
			}
		}
	}
	return out
}
