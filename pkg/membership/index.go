package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// index holds the data of the directory in the form that snapshots need. Snapshots
// share its maps: a map that a snapshot refers to is copied before it is changed, so
// that publishing a snapshot copies no maps.
type index struct {
	// slots holds the endpoints, with nil for unused slots. An endpoint keeps its
	// slot while it belongs to the same backend.
	slots []*Endpoint
	// free lists the unused slots.
	free []int32
	// sorted lists the used slots, ordered by endpoint id.
	sorted []int32
	groups map[BackendKey]*Group
	// holders is as in Snapshot.
	holders [indexShards]map[ident.Adapter][]int32
	// shardShared and groupsShared tell whether the last snapshot refers to the
	// current shard or to the current groups.
	shardShared  [indexShards]bool
	groupsShared bool
}

func newIndex() index { return index{groups: map[BackendKey]*Group{}} }

// put adds an endpoint, or replaces old if it is not nil.
func (x *index) put(old, e *Endpoint) {
	if old != nil && (old.Kind != e.Kind || old.Backend != e.Backend) {
		x.remove(old)
		old = nil
	}
	if old == nil {
		x.add(e)
		return
	}
	e.slot = old.slot
	x.slots[e.slot] = e
	if !slices.Equal(old.Residents, e.Residents) || !slices.Equal(old.Loading, e.Loading) {
		x.removeHolder(old)
		x.addHolder(e)
	}
}

func (x *index) add(e *Endpoint) {
	e.slot = x.takeSlot()
	x.slots[e.slot] = e
	i, _ := x.sortedPosition(e.ID)
	x.sorted = slices.Insert(x.sorted, i, e.slot)
	x.updateGroup(e, func(g *Group) {
		g.Slots = append(g.Slots, e.slot)
		g.Hashes = append(g.Hashes, e.Hash)
	})
	x.addHolder(e)
}

func (x *index) remove(e *Endpoint) {
	x.removeHolder(e)
	x.updateGroup(e, func(g *Group) {
		i := slices.Index(g.Slots, e.slot)
		g.Slots = slices.Delete(g.Slots, i, i+1)
		g.Hashes = slices.Delete(g.Hashes, i, i+1)
	})
	if i, ok := x.sortedPosition(e.ID); ok {
		x.sorted = slices.Delete(x.sorted, i, i+1)
	}
	x.slots[e.slot] = nil
	x.free = append(x.free, e.slot)
}

// sortedPosition returns the index of an endpoint id in sorted, or the index at
// which to insert it, and whether it is present.
func (x *index) sortedPosition(id ident.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(x.sorted, id, func(slot int32, id ident.EndpointID) int {
		return strings.Compare(string(x.slots[slot].ID), string(id))
	})
}

func (x *index) takeSlot() int32 {
	if n := len(x.free); n > 0 {
		slot := x.free[n-1]
		x.free = x.free[:n-1]
		return slot
	}
	x.slots = append(x.slots, nil)
	return int32(len(x.slots) - 1)
}

// updateGroup applies a change to a copy of the endpoint's group and replaces the
// group by the copy.
func (x *index) updateGroup(e *Endpoint, change func(*Group)) {
	if x.groupsShared {
		x.groups = maps.Clone(x.groups)
		x.groupsShared = false
	}
	key := BackendKey{Kind: e.Kind, Backend: e.Backend}
	next := &Group{ServiceTime: &MeanServiceTime{}}
	if g := x.groups[key]; g != nil {
		next.ServiceTime = g.ServiceTime
		next.Slots = slices.Clone(g.Slots)
		next.Hashes = slices.Clone(g.Hashes)
	}
	change(next)
	if len(next.Slots) == 0 {
		delete(x.groups, key)
		return
	}
	x.groups[key] = next
}

// addHolder adds an endpoint to the holders of its resident and loading adapters.
func (x *index) addHolder(e *Endpoint) {
	for _, list := range [][]ident.Adapter{e.Residents, e.Loading} {
		for _, a := range list {
			shard := x.shard(a)
			if !slices.Contains(shard[a], e.slot) {
				shard[a] = append(slices.Clone(shard[a]), e.slot)
			}
		}
	}
}

// removeHolder undoes addHolder.
func (x *index) removeHolder(e *Endpoint) {
	for _, list := range [][]ident.Adapter{e.Residents, e.Loading} {
		for _, a := range list {
			shard := x.shard(a)
			rest := slices.DeleteFunc(slices.Clone(shard[a]), func(s int32) bool { return s == e.slot })
			if len(rest) == 0 {
				delete(shard, a)
				continue
			}
			shard[a] = rest
		}
	}
}

// shard returns the shard of an adapter for writing, after copying it if a snapshot
// refers to it.
func (x *index) shard(a ident.Adapter) map[ident.Adapter][]int32 {
	i := AdapterHash(a) % indexShards
	if x.holders[i] == nil {
		x.holders[i] = map[ident.Adapter][]int32{}
	}
	if x.shardShared[i] {
		x.holders[i] = maps.Clone(x.holders[i])
		x.shardShared[i] = false
	}
	return x.holders[i]
}

// snapshot returns a snapshot of the current state.
func (x *index) snapshot() *Snapshot {
	s := &Snapshot{slots: slices.Clone(x.slots), groups: x.groups, holders: x.holders, Entries: 1}
	s.Endpoints = make([]*Endpoint, len(x.sorted))
	for i, slot := range x.sorted {
		s.Endpoints[i] = x.slots[slot]
		s.Entries = max(s.Entries, s.Endpoints[i].ConnectedEntries)
	}
	s.LoadWait = loadWait(s.Endpoints)
	x.groupsShared = true
	for i := range x.shardShared {
		x.shardShared[i] = true
	}
	return s
}

// defaultLoadTime is the load time assumed until an endpoint has reported one.
const defaultLoadTime = 500 * time.Millisecond

// loadWait estimates how long a load takes that is requested now. Loads run one at a
// time, so it has to wait for all loads that are running or waiting for a permit.
func loadWait(list []*Endpoint) time.Duration {
	var shortest time.Duration
	loading := 0
	for _, e := range list {
		loading += len(e.Loading)
		if e.LoadTime > 0 && (shortest == 0 || e.LoadTime < shortest) {
			shortest = e.LoadTime
		}
	}
	if shortest == 0 {
		shortest = defaultLoadTime
	}
	return time.Duration(loading+1) * shortest
}
