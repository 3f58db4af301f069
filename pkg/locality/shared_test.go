package locality

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// sharedServer returns a server with the test adapter that a number of entries share, with the
// given work of the others, and requests running.
func sharedServer(id fleet.ID, now time.Time, entries int, others fleet.Work) *fleet.Endpoint {
	e := &fleet.Endpoint{ID: id, State: fleet.Ready, Slots: 64, Runtime: fleet.NewRuntime()}
	e.Runtime.SetStatus(&fleet.Status{ReceivedAt: now, Residents: map[fleet.AdapterKey]int{testKey: 1}, InFlight: 5, Entries: entries, Backlog: others.Backlog, Others: &others})
	return e
}

func chosen(t *testing.T, r *Request, endpoints ...*fleet.Endpoint) Choice {
	t.Helper()
	c, ok := New(DefaultWeights(), NewPrefixIndex()).Choose(r, endpoints)
	assert.Assert(t, ok)
	return c
}

// Guards against streams that pause for longer than their callers accept, because their server
// reads one long prompt after the other while another server reads none. An urgent request does
// not wait for these prompts, but its stream shares the steps of the server with them.
func TestStreamsAvoidServersThatReadForLong(t *testing.T) {
	now := time.Now()
	for entries, want := range map[int]fleet.ID{1: "reading", 22: "urgent"} {
		reading := sharedServer("reading", now, entries, fleet.Work{Backlog: fleet.Backlog{0, 0, 40_000}})
		urgent := sharedServer("urgent", now, entries, fleet.Work{Backlog: fleet.Backlog{4000}})
		c := chosen(t, &Request{Now: now, Key: testKey, PromptTokens: 800, MaxEventGap: 500 * time.Millisecond}, reading, urgent)
		assert.Equal(t, c.Endpoint.ID, want, "%d entries", entries)
	}
}

// Guards against a chance that moves requests away from the server that has their prompt, is
// near or has not failed, and against one without other entries.
func TestOnlyTheLoadIsSpread(t *testing.T) {
	now := time.Now()
	busy := fleet.Work{Backlog: fleet.Backlog{3000}}
	r := &Request{Now: now.Add(200 * time.Millisecond), Key: testKey, PromptTokens: 800, Zone: "a", Draw: 0.999}
	near, far := sharedServer("near", now, 22, busy), sharedServer("far", now, 22, busy)
	near.Zone, far.Zone = "a", "b"
	assert.Equal(t, chosen(t, r, near, far).Endpoint.ID, fleet.ID("near"))
	far.Zone = "a"
	c := chosen(t, r, near, far)
	assert.Equal(t, c.Endpoint.ID, fleet.ID("far"))
	assert.Equal(t, c.Equal, 2)
	far.Runtime.RecordFailure(now)
	assert.Equal(t, chosen(t, r, near, far).Endpoint.ID, fleet.ID("near"))
	one, two := sharedServer("one", now, 1, fleet.Work{}), sharedServer("two", now, 1, fleet.Work{})
	one.Zone, two.Zone = "a", "a"
	assert.Equal(t, chosen(t, r, one, two).Equal, 1)
}

// Guards against requests that join a wait at one server although the prompts that wait there
// take longer than a load at another one, and against requests that leave the server where they
// wait themselves.
func TestWaitingPromptsOfOthers(t *testing.T) {
	now := time.Now()
	k := fleet.AdapterKey{Model: testKey.Model, Name: "cold"}
	loading := sharedServer("loading", now, 22, fleet.Work{Waiting: map[uint64]fleet.Backlog{k.Hash(): {0, 60_000}}})
	loading.Runtime.Status().Loading = map[fleet.AdapterKey]int{k: 1}
	idle := sharedServer("idle", now, 22, fleet.Work{})
	idle.Runtime.Status().Free = 4
	r := &Request{Now: now, Key: k, PromptTokens: 800, Priority: 1}
	assert.Equal(t, chosen(t, r, loading, idle).Endpoint.ID, fleet.ID("idle"))
	r.WaitsAt = loading.Runtime
	assert.Equal(t, chosen(t, r, loading, idle).Endpoint.ID, fleet.ID("loading"))
	r.WaitsAt, r.Priority = nil, 0
	assert.Equal(t, chosen(t, r, loading, idle).Endpoint.ID, fleet.ID("loading"), "an urgent request goes first")
}
