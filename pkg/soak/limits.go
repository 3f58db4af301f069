package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

const (
	// namedLimit is the number of requests per second that a server in need takes.
	namedLimit = 2.0
	// limitedServers is the number of servers of each kind that name a limit.
	limitedServers = 1
	// limitContact is how long after a server has first named its limit the limit holds.
	limitContact = 3500 * time.Millisecond
	// limitPeriod is the period over which requests are counted, and limitFactor and
	// limitSlack how many there may be: limitFactor times what the limit allows, and
	// limitSlack.
	limitPeriod = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitTime is the length of the phase with limits, without faults.
	limitTime = limitContact + limitPeriod + time.Second
)

// nameLimits makes some servers name a limit, and returns a function that checks, at the
// end, that they got no more requests.
func (tb *testbed) nameLimits() (check func() []string) {
	servers := slices.Clone(tb.plainServers[:limitedServers])
	for _, r := range tb.runningServers()[:limitedServers] {
		servers = append(servers, r.server)
	}
	began := time.Now()
	for _, s := range servers {
		s.SetFaults(platform.ServerFaults{Limit: namedLimit})
	}
	return func() []string {
		var out []string
		for _, s := range servers {
			out = append(out, CheckLimit(s.Key(), began, times(s.Arrivals()))...)
		}
		return out
	}
}

func times(arrivals []platform.Arrival) []time.Time {
	var out []time.Time
	for _, a := range arrivals {
		out = append(out, a.At)
	}
	return out
}

// CheckLimit returns a violation if a server that has named a limit since began got more
// requests than the limit allows.
func CheckLimit(server string, began time.Time, arrivals []time.Time) []string {
	arrivals = slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Before(began.Add(limitContact)) })
	most := 0
	for i, from := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < limitPeriod {
				n++
			}
		}
		most = max(most, n)
	}
	if allowed := limitFactor*namedLimit*limitPeriod.Seconds() + limitSlack; float64(most) > allowed {
		return []string{fmt.Sprintf("%s got %d requests in %v, its limit allows %v", server, most, limitPeriod, allowed)}
	}
	return nil
}
