package locality

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowedInTime returns the fraction of the requests of a workload that arrived while
// servers were slow and whose first events came in time.
func slowedInTime(l workload, seed uint64) float64 {
	s := newSim(l, byChooser(DefaultWeights()))
	s.simulate(seed)
	arrived, inTime := 0, 0
	for _, r := range s.all {
		if since := r.at.Sub(s.started); since < l.slowFrom || since >= l.slowUntil {
			continue
		}
		arrived++
		if r.inTime() {
			inTime++
		}
	}
	return float64(inTime) / float64(arrived)
}

// Guards against requests that wait at slow servers while others are idle. The pattern is a
// fleet of which some servers take several times as long for prompts, while their health
// checks and reports stay good. A policy that does not know their pace sends them as many
// prompts as before.
func TestSlowServersGetFewerPrompts(t *testing.T) {
	for name, l := range map[string]workload{
		"one in nine of a small fleet": {servers: 9, adapterSlots: 9, adapters: 3000, skew: 1.2, perSecond: 45, slow: 1, slowFactor: 3.5},
		"one in nine of a large fleet": {servers: 54, adapterSlots: 8, adapters: 24000, skew: 1.2, perSecond: 200, slow: 6, slowFactor: 3.9, fullRateLoads: 40},
		"a third, much slower":         {servers: 18, adapterSlots: 9, adapters: 3000, skew: 1.2, perSecond: 60, slow: 6, slowFactor: 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l.duration, l.slowFrom, l.slowUntil = 14*time.Second, 6*time.Second, 13*time.Second
			blind := l
			blind.ignorePace = true
			learned, unknown := 0.0, 0.0
			const seeds = 3
			for seed := range uint64(seeds) {
				learned += slowedInTime(l, seed) / seeds
				unknown += slowedInTime(blind, seed) / seeds
			}
			t.Logf("in time %.3f, without the pace %.3f", learned, unknown)
			assert.Assert(t, learned > unknown, "in time %.3f, without the pace %.3f", learned, unknown)
		})
	}
}

// Guards against an estimate of the pace that takes the usual queueing of a busy fleet for
// slow servers, and loads adapters elsewhere for nothing.
func TestBusyFleetIsNotSlow(t *testing.T) {
	l := workload{servers: 18, adapterSlots: 9, adapters: 3000, skew: 1.2, perSecond: 90, duration: 15 * time.Second}
	blind := l
	blind.ignorePace = true
	inTime, loads := newSim(l, byChooser(DefaultWeights())).simulate(1)
	blindInTime, blindLoads := newSim(blind, byChooser(DefaultWeights())).simulate(1)
	t.Logf("in time %.3f with %d loads; without the pace %.3f with %d", inTime, loads, blindInTime, blindLoads)
	assert.Assert(t, inTime >= blindInTime-maxLoss, "in time %.3f, without the pace %.3f", inTime, blindInTime)
	assert.Assert(t, loads <= blindLoads+blindLoads/20, "%d loads, %d without the pace", loads, blindLoads)
}
