package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// restartCase is one order of events between the first event of a stream and its resumption.
type restartCase struct {
	// versions is the number of software versions that served when the stream began at v1.
	versions int
	// holders is the number of sidecars that got its origin before all entries were killed.
	holders int
	// gone is true if no server of v1 is left when the entries return.
	gone bool
	// restarted says which sidecars lost what they knew beside the entries.
	restarted string
	// after is how long after the first list of the new entry the stream is resumed.
	after time.Duration
	// listed is false if the new entry has not read the directory.
	listed bool
}

// restartCases returns every order that can occur: with one version only, it serves until
// the end.
func restartCases() []restartCase {
	var out []restartCase
	for _, versions := range []int{1, 2} {
		for holders := range 4 {
			for _, gone := range []bool{false, true} {
				for _, restarted := range []string{"none", "holders", "all but one", "all"} {
					for _, after := range []time.Duration{0, demandInterval, 2 * directorySettleTime} {
						for _, listed := range []bool{false, true} {
							if versions == 2 || !gone {
								out = append(out, restartCase{versions, holders, gone, restarted, after, listed})
							}
						}
					}
				}
			}
		}
	}
	return out
}

// resumeAfterRestart brings about the events of a case and resumes the stream at an entry
// that has started after them.
func (s *fleetSim) resumeAfterRestart(c restartCase) resumeResult {
	first := s.entries[0]
	if c.versions == 2 {
		for i := range fleetServers / 2 {
			v := s.addServer(i, "v2")
			for _, e := range s.entries {
				s.addEndpoint(e, v)
			}
		}
	}
	time.Sleep(time.Second)
	holders := first.gateway.origins.holdersOf(origin.ID("r1"))
	for _, h := range holders[:c.holders] {
		s.all[h.ID].registry.Add(origin.Record{Stream: origin.ID("r1"), Origin: origin.Origin{Service: modelService, SoftwareVersion: "v1"}, At: time.Now()})
	}
	for _, e := range s.entries {
		e.kill()
	}
	synctest.Wait()
	if c.gone {
		s.servers = s.servers[:fleetServers/2]
	}
	for i, v := range s.servers {
		held := false
		for _, h := range holders {
			held = held || h.ID == v.item.ID
		}
		if c.restarted == "all" || c.restarted == "all but one" && i > 0 || c.restarted == "holders" && held {
			v.registry = origin.NewRegistry()
		}
	}
	e := s.startEntry()
	s.entries = append(s.entries, e)
	if c.listed {
		for _, v := range s.servers {
			s.addEndpoint(e, v)
		}
	} else {
		e.gateway.control.syncedAt.Store(nil)
	}
	time.Sleep(c.after)
	return s.resume(e, time.Second)
}

// Guards against streams that are joined from two software versions, and against refusing
// those that a surviving process knows how to continue, whatever is lost when all entries
// are killed.
func TestResumptionAfterAllEntriesAreKilled(t *testing.T) {
	for _, c := range restartCases() {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFleetSim(t, 1)
				t.Cleanup(s.stop)
				r := s.resumeAfterRestart(c)
				if r.fail == nil {
					assert.Equal(t, r.version, "v1")
				}
				memory := c.restarted == "none" || c.versions == 1 && c.restarted != "all"
				if known := c.listed && memory && (c.versions == 1 || c.holders > 0 && !c.gone); known {
					assert.Assert(t, r.fail == nil, "%+v", r.fail)
				}
			})
		})
	}
}

// Guards against a stream that continues at an old version because its entry was killed before
// any sidecar had its origin, and the other entry had not yet heard of the new version.
func TestNewVersionIsAnnouncedBeforeItsStreamsBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFleetSim(t, 1)
		t.Cleanup(s.stop)
		time.Sleep(time.Second)
		s.addEndpoint(s.entries[0], s.addServer(fleetServers, "v2"))
		time.Sleep(demandInterval / 10) // less than any first event takes
		s.entries[0].kill()
		r := s.resume(s.entries[1], time.Second)
		assert.Assert(t, r.fail != nil, "continued at %s", r.version)
	})
}
