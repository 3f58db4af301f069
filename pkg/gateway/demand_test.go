package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
)

// Guards against announcing long prompts late to the other entries, and against
// sending an update for each short prompt.
func TestLongPromptsAreAnnouncedAtOnce(t *testing.T) {
	k := fleet.AdapterKey{Model: "m", Name: "a1"}
	d := newDemand()
	d.start(k, longPromptTokens-1)
	assert.Equal(t, len(d.urgent), 0)
	d.start(k, longPromptTokens)
	assert.Equal(t, len(d.urgent), 1)
	d.start(k, longPromptTokens) // must not block
}

// Guards against a request that loses its age when it moves to another server and
// waits there behind all younger requests. Such requests were refused in the end
// after a fleet restarted and loaded all its adapters at once.
func TestWaitingRequestKeepsItsAgeWhenItMoves(t *testing.T) {
	k := fleet.AdapterKey{Model: "m", Name: "a1"}
	first, second := newDemand(), newDemand()
	now := time.Now()
	began := now.Add(-2 * time.Second)
	w := waiter{times: waitTimes{began: began}}
	w.move(first, &fleet.Endpoint{Runtime: fleet.NewRuntime()}, k, 0, 0)
	second.wait(waitTimes{began: now.Add(-time.Second)}, k, 0) // a younger request waits there already
	w.move(second, &fleet.Endpoint{Runtime: fleet.NewRuntime()}, k, 0, 0)
	m, _ := second.update(now, "i-1", fleet.Work{})
	assert.Equal(t, m.GetAdapters()[0].GetWaitedMs(), uint32(2000))
	assert.Equal(t, m.GetAdapters()[0].GetWaiting(), uint32(2))
	m, _ = first.update(now, "i-1", fleet.Work{})
	assert.Equal(t, m.GetAdapters()[0].GetWaiting(), uint32(0))
}

// Guards against a preload that the sidecar does not see, that blocks a place for ever
// or that is forgotten while requests still need it.
func TestPreloadIsDemandUntilItIsNoLongerAskedFor(t *testing.T) {
	k := fleet.AdapterKey{Model: "m", Name: "a1"}
	d := newDemand()
	now := time.Now()
	assert.Assert(t, d.askPreload(now, k, 3))
	assert.Equal(t, len(d.urgent), 1)
	m, changed := d.update(now, "i-1", fleet.Work{})
	assert.Assert(t, changed)
	row := m.GetAdapters()[0]
	assert.Equal(t, row.GetWaiting(), uint32(1))
	assert.Equal(t, row.GetArrivals(), uint32(1))
	assert.Equal(t, row.GetVersion(), uint32(3))
	assert.DeepEqual(t, row.GetSlackMs(), []int32{int32(locality.RenewalLead.Milliseconds())})

	now = now.Add(locality.PreloadTimeout - time.Millisecond)
	assert.Assert(t, !d.askPreload(now, k, 3))
	now = now.Add(locality.PreloadTimeout - time.Millisecond)
	m, _ = d.update(now, "i-1", fleet.Work{})
	assert.Equal(t, m.GetAdapters()[0].GetWaiting(), uint32(1))

	m, changed = d.update(now.Add(time.Millisecond), "i-1", fleet.Work{})
	assert.Assert(t, changed)
	assert.Equal(t, m.GetAdapters()[0].GetWaiting(), uint32(0))
	assert.Equal(t, len(d.adapters), 0)
}

// Guards against times to first events that are told twice, or never because nothing else
// has changed.
func TestFirstEventsAreToldOnce(t *testing.T) {
	d := newDemand()
	d.addFirstEvent(100*time.Millisecond, 350*time.Millisecond)
	d.addFirstEvent(50*time.Millisecond, 150*time.Millisecond)
	m, changed := d.update(time.Now(), "i", fleet.Work{})
	assert.Assert(t, changed)
	assert.Equal(t, m.GetExpectedFirstEventsMs(), uint64(150))
	assert.Equal(t, m.GetActualFirstEventsMs(), uint64(500))
	m, changed = d.update(time.Now(), "i", fleet.Work{})
	assert.Assert(t, !changed)
	assert.Equal(t, m.GetActualFirstEventsMs(), uint64(0))
}
