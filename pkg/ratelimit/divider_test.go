package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The bound on the requests to a server with a limit: in every period of boundPeriod, one
// and a half times what the limit allows, and boundSlack.
const (
	boundPeriod = 4 * time.Second
	boundFactor = 1.5
	boundSlack  = 5
	simTick     = 20 * time.Millisecond
)

// limitSimulation is a server with a limit, two dividers, and entries that ask for permits.
type limitSimulation struct {
	random   *rand.Rand
	dividers [2]*Divider
	// reaches has the dividers that each entry reaches, in the order of its choice.
	reaches [][]int
	sent    []time.Duration
}

func newLimitSimulation(entries int, seed uint64) *limitSimulation {
	s := &limitSimulation{random: rand.New(rand.NewPCG(seed, 1)), dividers: [2]*Divider{NewDivider(), NewDivider()}}
	for range entries {
		s.reaches = append(s.reaches, []int{0, 1})
	}
	return s
}

// step lets each entry ask with the given probability.
func (s *limitSimulation) step(at time.Duration, limit, probability float64) {
	now := time.Unix(1000, 0).Add(at)
	for _, reaches := range s.reaches {
		if s.random.Float64() >= probability || len(reaches) == 0 {
			continue
		}
		q := Demand{Server: Server{ID: "s"}, PerSecond: limit, NamedAgo: time.Second, Fallback: reaches[0] != 0}
		if s.dividers[reaches[0]].Take(now, q).Granted {
			s.sent = append(s.sent, at)
		}
	}
}

// most returns the largest number of requests in a period of boundPeriod.
func (s *limitSimulation) most() int {
	most := 0
	for i, from := range s.sent {
		n := 0
		for _, at := range s.sent[i:] {
			if at < from+boundPeriod {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a limit that multiplies with the number of entries, or that many entries
// leave unused.
func TestLimitIsDividedAmongEntries(t *testing.T) {
	for _, entries := range []int{1, 4, 29, 330} {
		for _, limit := range []float64{0.3, 1, 1.7, 12, 30} {
			t.Run(fmt.Sprintf("%d entries, %v a second", entries, limit), func(t *testing.T) {
				s := newLimitSimulation(entries, 1)
				const length = time.Minute
				for at := time.Duration(0); at < length; at += simTick {
					s.step(at, limit, min(1, 400/float64(entries)*simTick.Seconds()))
				}
				assert.Check(t, float64(s.most()) <= boundFactor*limit*boundPeriod.Seconds()+boundSlack, "%d requests", s.most())
				assert.Check(t, float64(len(s.sent)) >= 0.8*limit*length.Seconds(), "%d requests in all", len(s.sent))
			})
		}
	}
}

// Guards against a limit that is exceeded while dividers restart, are cut off from a part of
// the entries, or are frozen.
func TestLimitWhileDividersFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SampledFrom([]int{1, 4, 29, 330}).Draw(t, "entries")
		limit := rapid.SampledFrom([]float64{0.3, 1, 1.7, 12}).Draw(t, "limit")
		s := newLimitSimulation(entries, rapid.Uint64().Draw(t, "seed"))
		const length = 40 * time.Second
		for at := time.Duration(0); at < length; at += simTick {
			if at%time.Second == 0 {
				switch rapid.SampledFrom([]string{"", "", "restart", "cut", "heal", "lost"}).Draw(t, "fault") {
				case "restart":
					s.dividers[rapid.IntRange(0, 1).Draw(t, "divider")] = NewDivider()
				case "cut":
					share := rapid.Float64Range(0, 1).Draw(t, "share")
					for i := range s.reaches {
						if s.random.Float64() < share {
							s.reaches[i] = []int{1}
						}
					}
				case "heal":
					for i := range s.reaches {
						s.reaches[i] = []int{0, 1}
					}
				case "lost":
					s.reaches[s.random.IntN(entries)] = nil
				}
			}
			s.step(at, limit, min(1, 400/float64(entries)*simTick.Seconds()))
		}
		assert.Assert(t, float64(s.most()) <= boundFactor*limit*boundPeriod.Seconds()+boundSlack, "%d requests", s.most())
	})
}

// Guards against a limit that goes on for entries to which the server did not speak since it
// ended, and against one that ends although the server still names it.
func TestLimitEndsForAllEntries(t *testing.T) {
	d := NewDivider()
	now := time.Unix(1000, 0)
	server := Server{ID: "s", Born: 1}
	q := Demand{Server: server, PerSecond: 1}
	assert.Assert(t, !d.Take(now, q).Ended)
	perSecond, limited := d.Limit(now, "s")
	assert.Assert(t, limited && perSecond == 1)
	now = now.Add(time.Second)
	d.End(now, server)
	q.NamedAgo = 2 * time.Second
	g := d.Take(now.Add(time.Second), q)
	assert.Assert(t, g.Ended && g.Granted)
	_, limited = d.Limit(now, "s")
	assert.Assert(t, !limited)
	q.NamedAgo = 0
	assert.Assert(t, !d.Take(now.Add(time.Second), q).Ended, "named again")
	q.Server.Born = 2
	q.NamedAgo = 2 * time.Second
	assert.Assert(t, !d.Take(now.Add(time.Second), q).Ended, "another lifetime")
}

// Guards against a wait until a permit that is longer or shorter than it takes, and against
// a server with a limit of 0 that never gets a request again.
func TestRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, limit := range []float64{0, 0.5, 4} {
		d := NewDivider()
		q := Demand{Server: Server{ID: "s"}, PerSecond: limit}
		g := d.Take(now, q)
		assert.Assert(t, !g.Granted && g.RetryAfter > 0)
		assert.Assert(t, !d.Take(now.Add(g.RetryAfter-time.Millisecond), q).Granted)
		assert.Assert(t, d.Take(now.Add(g.RetryAfter+2*time.Millisecond), q).Granted)
	}
}
