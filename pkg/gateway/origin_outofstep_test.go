package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// turnAway makes the store turn entries away, or serve them again.
func (s *fleetSim) turnAway(away bool, entries ...*fleetEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		e.away = away
	}
}

// join starts a server of a version in a new place, of which the entries learn from the
// store.
func (s *fleetSim) join(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.addServer(len(s.servers), version)
	for _, e := range s.entries {
		s.change(e, func() { s.addEndpoint(e, v) })
	}
}

// hideSidecars makes the sidecars of the first servers reachable for the last entry only, and
// the others for all but that one.
func (s *fleetSim) hideSidecars(first int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.entries[len(s.entries)-1]
	for i, v := range s.servers {
		for _, e := range s.entries {
			v.hiddenFrom[e] = (i < first) != (e == last)
		}
	}
}

func allPlaces() []int {
	out := make([]int, fleetServers)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against a stream that continues at another software version at an entry that the
// store turns away. Sidecars that have just started know only what that entry tells them, and
// must not return it as knowledge of the time since the store last served it.
func TestEntryDoesNotConfirmItsOwnKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFleetSim(t, 1)
		t.Cleanup(s.stop)
		time.Sleep(time.Second)
		behind := s.entries[2:]
		s.turnAway(true, behind...)
		s.join("v2") // at which streams begin through the other entries
		time.Sleep(2 * storeDelay)
		for _, e := range s.entries[:2] {
			e.kill()
		}
		s.restartSidecars(allPlaces())
		for range 20 {
			r := s.resume(behind[0], time.Second)
			assert.Assert(t, r.fail != nil, "continued at %s", r.version)
			time.Sleep(demandInterval)
		}
		s.turnAway(false, behind...)
		time.Sleep(3 * storeDelay) // the entry has read that there are two versions
		r := s.resume(behind[0], time.Second)
		assert.Assert(t, r.fail != nil, "continued at %s", r.version)
	})
}

// Guards against a stream that continues at another software version at an entry that is cut
// off together with some sidecars: these have known all versions for long, but not since
// other entries can no longer reach them.
func TestCutOffSidecarsKnowNoNewVersion(t *testing.T) {
	for _, reachable := range []int{1, fleetServers / 2, fleetServers - 1} {
		t.Run(fmt.Sprintf("%d sidecars", reachable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFleetSim(t, 1)
				t.Cleanup(s.stop)
				time.Sleep(origin.Retention)
				cutOff := s.entries[fleetEntries-1]
				s.turnAway(true, cutOff)
				s.hideSidecars(reachable)
				s.join("v2")
				time.Sleep(3 * storeDelay)
				r := s.resume(cutOff, 5*time.Second)
				assert.Assert(t, r.fail != nil, "continued at %s", r.version)
				assert.Assert(t, r.took < time.Second, "refused after %s", r.took)
			})
		})
	}
}

// Guards against a stream that continues at another software version at an entry that stood
// still while servers of that version joined, before it has read the store again.
func TestEntryThatStoodStillReadsTheStoreFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFleetSim(t, 1)
		t.Cleanup(s.stop)
		time.Sleep(origin.Retention)
		still := s.entries[fleetEntries-1]
		s.turnAway(true, still)
		s.hideSidecars(0)
		s.join("v2")
		time.Sleep(2 * storeDelay)
		for _, e := range s.entries[:fleetEntries-1] {
			e.kill()
		}
		s.restartSidecars(allPlaces())
		s.hideSidecars(fleetServers + 1)
		s.turnAway(false, still)
		for range 10 {
			time.Sleep(demandInterval) // the sidecars hear of what the entry knows
			r := s.resume(still, 10*time.Second)
			assert.Assert(t, r.fail != nil, "continued at %s", r.version)
		}
	})
}

// Guards against refusing the streams of the only software version beside sidecars that have
// all restarted, at an entry that has followed the store all the time.
func TestEntryInStepNeedsNoSidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFleetSim(t, 1)
		t.Cleanup(s.stop)
		time.Sleep(streamAge(&streamRoute))
		s.entries[0].kill()
		s.restartSidecars(allPlaces())
		r := s.resume(s.entries[1], time.Second)
		assert.Assert(t, r.fail == nil, "%+v", r.fail)
		assert.Equal(t, r.version, "v1")
		assert.Equal(t, r.took, time.Duration(0))
	})
}
