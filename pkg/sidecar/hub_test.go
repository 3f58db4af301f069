package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
)

// demandOf returns the demand update of an entry for one adapter.
func demandOf(instance string, waiting uint32, backlog ...uint64) *fescuev1.DemandUpdate {
	return &fescuev1.DemandUpdate{InstanceId: instance, BacklogTokens: backlog, Adapters: []*fescuev1.AdapterDemand{
		{Model: "m", Adapter: "a1", InFlight: 2, Waiting: waiting, Arrivals: 3, WaitedMs: 40 * waiting, SlackMs: slacks(waiting)},
	}}
}

// slacks returns the slacks that an entry lists for waiting requests.
func slacks(waiting uint32) []int32 {
	if waiting == 0 {
		return nil
	}
	return []int32{600}
}

// Guards against demand that is counted twice or outlives the stream of its entry.
func TestHubSumsTheEntries(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	one := &peer{arrivals: map[fleet.AdapterKey]int{}, notify: make(chan struct{}, 1)}
	two := &peer{arrivals: map[fleet.AdapterKey]int{}, notify: make(chan struct{}, 1)}
	h.entries[one], h.entries[two] = struct{}{}, struct{}{}
	assert.Assert(t, !h.record(one, demandOf("i-1", 0, 100, 5)))
	assert.Assert(t, h.record(two, demandOf("i-1", 2, 10)))
	k := fleet.AdapterKey{Model: "m", Name: "a1"}
	w := h.demand(two.updatedAt.Add(time.Second), residency.New())[k]
	assert.DeepEqual(t, w, residency.Demand{InFlight: 4, Waiting: 2, Waited: 1080 * time.Millisecond, Slacks: []time.Duration{-400 * time.Millisecond}})
	assert.Equal(t, len(one.arrivals), 0)
	assert.DeepEqual(t, h.sumBacklog(), []uint64{110, 5, 0, 0})
	h.leave(two)
	assert.Equal(t, h.demand(time.Unix(9, 0), residency.New())[k].Waiting, 0)
	assert.Assert(t, !h.hasWaitingRequests())
}

// Guards against a server whose loads are held back by what a frozen entry said last,
// and against taking the number of an entry that is cut off from other servers.
func TestHubLoadsElsewhere(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	frozen, cutOff := &peer{}, &peer{}
	h.entries[frozen], h.entries[cutOff] = struct{}{}, struct{}{}
	h.record(frozen, &fescuev1.DemandUpdate{LoadsElsewhere: 20})
	h.record(cutOff, &fescuev1.DemandUpdate{LoadsElsewhere: 3})
	assert.Equal(t, h.loadsElsewhere(frozen.updatedAt.Add(time.Second)), 20)
	cutOff.updatedAt = frozen.updatedAt.Add(2 * time.Second)
	assert.Equal(t, h.loadsElsewhere(frozen.updatedAt.Add(3*time.Second)), 3)
}

// Guards against keeping the instance id of a lifetime that has ended.
func TestHubNoticesAnotherLifetime(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	p := &peer{arrivals: map[fleet.AdapterKey]int{}, notify: make(chan struct{}, 1)}
	h.entries[p] = struct{}{}
	h.record(p, demandOf("i-1", 0))
	assert.Assert(t, !h.namesOtherInstance("i-1"))
	h.record(p, demandOf("i-2", 0))
	assert.Assert(t, h.namesOtherInstance("i-1"))
	assert.Assert(t, !h.namesOtherInstance("i-1"), "the same update must not cause a second query")
}

// Guards against delaying changed holdings until the next interval, and against
// sending unchanged holdings with each changed figure.
func TestHubPublishesHoldingsOnce(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	p := &peer{arrivals: map[fleet.AdapterKey]int{}, notify: make(chan struct{}, 1)}
	h.entries[p] = struct{}{}
	state := func(inFlight uint32, adapters ...string) *fescuev1.ServerState {
		m := &fescuev1.ServerState{InstanceId: "i-1", Models: []string{"m"}, InFlight: inFlight}
		for _, a := range adapters {
			m.Residents = append(m.Residents, &fescuev1.ResidentAdapter{Model: "m", Adapter: a, Version: 1})
		}
		return m
	}
	h.publish(state(1, "a1"))
	<-p.notify
	h.publish(state(2, "a1"))
	assert.Equal(t, len(p.notify), 0)
	assert.Equal(t, h.current().compact.GetInFlight(), uint32(2))
	assert.Equal(t, len(h.current().compact.GetResidents()), 0)
	h.publish(state(2, "a1", "a2"))
	assert.Equal(t, len(p.notify), 1)
	h.publish(&fescuev1.ServerState{InstanceId: "i-1", Down: true})
	assert.Assert(t, h.current().holdingsKey != "")
	assert.Assert(t, h.current().message.GetDown())
}

// Guards against unloading the base model while an entry still sends requests to the
// server, and against waiting for an entry that is frozen.
func TestReloadNeedsAllEntries(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	assert.Equal(t, h.reloadModel(time.Now()), "", "without entries")
	one, two, frozen := newPeer(), newPeer(), newPeer()
	for _, p := range []*peer{one, two, frozen} {
		h.entries[p] = struct{}{}
	}
	h.record(frozen, &fescuev1.DemandUpdate{})
	frozen.updatedAt = time.Now().Add(-staleUpdateAge)
	h.record(one, &fescuev1.DemandUpdate{ReloadModel: "m"})
	assert.Equal(t, h.reloadModel(time.Now()), "", "an entry has sent no update yet")
	h.record(two, &fescuev1.DemandUpdate{})
	assert.Equal(t, h.reloadModel(time.Now()), "", "an entry does not agree")
	h.record(two, &fescuev1.DemandUpdate{ReloadModel: "n"})
	assert.Equal(t, h.reloadModel(time.Now()), "", "the entries name different models")
	h.record(two, &fescuev1.DemandUpdate{ReloadModel: "m"})
	assert.Equal(t, h.reloadModel(time.Now()), "m")
}
