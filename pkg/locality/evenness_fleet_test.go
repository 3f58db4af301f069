package locality

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const evenServers = 12

// meanRead is the mean time in which a server reads a prompt.
const meanRead = float64(longPrompt+shortPrompt) / 2 / tokensPerMS / 1000

// evenLoad is a fleet at the given part of its capacity that many entries share. Its servers
// report as the sidecars do.
func evenLoad(load float64, entries int) workload {
	return workload{
		servers: evenServers, adapterSlots: 9, adapters: 100, skew: 1, perSecond: evenServers * load / meanRead,
		duration: 8 * time.Second, entries: entries, reportEvery: 200 * time.Millisecond, urgentReports: true,
	}
}

// measured are the means of some runs: the 99th percentile of the waits in milliseconds, the
// ratio of the busiest to the mean server's work in a second, and the loads.
type measured struct{ p99, uneven, inTime, loads float64 }

func measure(l workload, choose func() func(r *Request, s *sim) (*simServer, bool)) measured {
	const seeds = 1
	var m measured
	for seed := range uint64(seeds) {
		s := newSim(l, choose())
		inTime, loads := s.simulate(seed)
		p99, mean, _ := s.evenness()
		m.p99 += float64(p99.Milliseconds()) / seeds
		m.uneven += mean / seeds
		m.inTime += inTime / seeds
		m.loads += float64(loads) / seeds
	}
	return m
}

// Guards against entries that all choose the same server from the same reports, so that servers
// are overrun in turns while others idle. In the baseline, entries know only the sums of the
// reports, take the lowest cost, and learn of waiting prompts when they are sent. Each case names
// a pattern of load.
func TestLoadIsEvenAlthoughReportsAreOld(t *testing.T) {
	everywhere := func(l workload) workload { l.baseEvery = 1; return l }
	old := everywhere(evenLoad(0.8, 68))
	old.urgentReports, old.reportEvery = false, 500*time.Millisecond
	bursts := everywhere(evenLoad(0.4, 68))
	bursts.burstEvery = time.Second
	unequal := everywhere(evenLoad(0.7, 68))
	unequal.speeds = []float64{0.55, 1.2, 1.2, 1.2}
	lost := everywhere(evenLoad(0.7, 68))
	lost.reportsLost = 0.3
	joining := everywhere(evenLoad(0.45, 68))
	joining.newFrom = 5 * time.Second
	for name, l := range map[string]workload{
		"22 entries at 0.8 of the capacity":     everywhere(evenLoad(0.8, 22)),
		"330 entries at 0.8 of the capacity":    everywhere(evenLoad(0.8, 330)),
		"reports every 500 ms only":             old,
		"bursts from all entries at one moment": bursts,
		"servers of unequal speed":              unequal,
		"a third of the reports lost":           lost,
		"half of the servers new":               joining,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := l
			before.sumsOnly = true
			was, is := measure(before, byChoosers), measure(l, byChoosers)
			t.Logf("99th percentile of the waits %.0f ms, busiest to mean %.2f; before %.0f ms, %.2f", is.p99, is.uneven, was.p99, was.uneven)
			assert.Assert(t, is.p99 < was.p99 && is.uneven < was.uneven, "%+v, before %+v", is, was)
		})
	}
}

// Guards against a hot adapter whose requests all wait for the load at one server and arrive
// there at one moment, and against loads that only serve to make the load even. Each second,
// another adapter gets hot.
func TestWaitingPromptsCountAsLoad(t *testing.T) {
	hot := evenLoad(0.5, 68)
	hot.adapters, hot.hotShare, hot.shift = 1000, 0.4, time.Second
	before := hot
	before.sumsOnly = true
	was, is := measure(before, byChoosers), measure(hot, byChoosers)
	t.Logf("99th percentile of the waits %.0f ms with %.0f loads; before %.0f ms with %.0f", is.p99, is.loads, was.p99, was.loads)
	assert.Assert(t, is.p99 < was.p99, "%+v, before %+v", is, was)
	assert.Assert(t, is.loads < 1.1*was.loads, "%+v, before %+v", is, was)
}
