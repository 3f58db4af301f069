package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// waitingUpdate returns an update of an entry with requests that wait for an adapter.
func waitingUpdate(number, tokens uint64) *fescuev1.DemandUpdate {
	return &fescuev1.DemandUpdate{InstanceId: "i", Number: number, BacklogTokens: []uint64{100, 0, 0, 0},
		Adapters: []*fescuev1.AdapterDemand{{Model: "m", Adapter: "a1", Waiting: 1}}, WaitingTokens: []uint64{0, tokens, 0, 0}}
}

// Guards against a report that names an update which its sums do not include yet, or tells
// entries too late of prompts that wait for one server.
func TestStateNamesTheUpdatesThatItCovers(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	p := &peer{notify: make(chan struct{}, 1), arrivals: map[fleet.AdapterKey]int{}}
	h.entries[p] = struct{}{}
	h.publish(&fescuev1.ServerState{InstanceId: "i", Residents: []*fescuev1.ResidentAdapter{{Adapter: "a2"}}})
	h.record(p, waitingUpdate(1, fleet.UrgentBacklogChange-200))
	assert.Equal(t, h.currentFor(p).covered, uint64(0), "the sums have not been published")
	h.record(p, waitingUpdate(2, fleet.UrgentBacklogChange))
	state := h.currentFor(p)
	m := covering(state.message, state.covered)
	assert.Equal(t, m.GetCoveredUpdate(), uint64(2))
	assert.Equal(t, m.GetWaiting()[0].GetAdapter(), fleet.AdapterKey{Model: "m", Name: "a1"}.Hash())
	assert.DeepEqual(t, m.GetWaiting()[0].GetTokens(), []uint64{0, fleet.UrgentBacklogChange, 0, 0})
	assert.Equal(t, len(m.GetResidents()), 1)
	assert.Equal(t, state.message.GetCoveredUpdate(), uint64(0), "the state is shared by all entries")
}

// Guards against prompts of a frozen entry that keep the others from a server.
func TestStaleWaitingPromptsDoNotCount(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	p := &peer{arrivals: map[fleet.AdapterKey]int{}}
	h.entries[p] = struct{}{}
	h.record(p, waitingUpdate(1, 5000))
	assert.Equal(t, len(h.sumWaiting(p.updatedAt.Add(time.Second))), 1)
	assert.Equal(t, len(h.sumWaiting(p.updatedAt.Add(staleUpdateAge))), 0)
	assert.Equal(t, h.workTokens(p.updatedAt.Add(staleUpdateAge)), uint64(100))
}

// Guards against an idle server whose reports name an update that entries no longer keep.
func TestEqualSumsCoverLaterUpdates(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	p := &peer{notify: make(chan struct{}, 1), arrivals: map[fleet.AdapterKey]int{}}
	h.entries[p] = struct{}{}
	for number := range uint64(3) {
		h.record(p, &fescuev1.DemandUpdate{InstanceId: "i", Number: number + 1})
		h.publish(&fescuev1.ServerState{InstanceId: "i"})
	}
	assert.Equal(t, h.currentFor(p).covered, uint64(3))
}
