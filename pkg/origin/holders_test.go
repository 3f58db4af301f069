package origin

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// servers returns n servers spread over the given number of zones.
func servers(n, zones int) []*fleet.Endpoint {
	out := make([]*fleet.Endpoint, n)
	for i := range out {
		out[i] = &fleet.Endpoint{ID: fleet.ID(fmt.Sprintf("i-%d", i)), Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Zone: fmt.Sprintf("z%d", i%zones)}
	}
	return out
}

// Guards against entries that ask other servers than those that keep the record: the
// choice must not depend on the order of the list.
func TestHoldersAreTheSameAtAllEntries(t *testing.T) {
	list := servers(30, 4)
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	one, two := NewHolders(list), NewHolders(reversed)
	for s := range StreamID(500) {
		assert.DeepEqual(t, ids(one.Of(s)), ids(two.Of(s)))
	}
}

func ids(list []*fleet.Endpoint) []fleet.ID {
	var out []fleet.ID
	for _, e := range list {
		out = append(out, e.ID)
	}
	return out
}

// Guards against records that are all lost with one availability zone, and against too
// few holders in small fleets.
func TestHoldersAreInDifferentZones(t *testing.T) {
	for _, c := range []struct{ servers, zones, holders, distinct int }{
		{0, 1, 0, 0}, {1, 1, 1, 1}, {2, 1, 2, 1}, {9, 1, 3, 1}, {9, 2, 3, 2}, {9, 3, 3, 3}, {40, 13, 3, 3},
	} {
		h := NewHolders(servers(c.servers, c.zones))
		for s := range StreamID(100) {
			zones, holders := map[string]bool{}, map[fleet.ID]bool{}
			for _, e := range h.Of(s * 7919) {
				zones[e.Zone], holders[e.ID] = true, true
			}
			assert.Equal(t, len(holders), c.holders, "%+v", c)
			assert.Equal(t, len(zones), c.distinct, "%+v", c)
		}
	}
}

// Guards against losing more than one holder of a stream when a server leaves, and
// against servers that keep many more records than others.
func TestHoldersChangeLittle(t *testing.T) {
	list := servers(30, 3)
	all, fewer := NewHolders(list), NewHolders(list[1:])
	kept := map[fleet.ID]int{}
	for s := range StreamID(3000) {
		before, after := ids(all.Of(s)), ids(fewer.Of(s))
		moved := 0
		for _, id := range before {
			kept[id]++
			if !slices.Contains(after, id) {
				moved++
			}
		}
		if slices.Contains(before, list[0].ID) {
			assert.Equal(t, moved, 1)
		} else {
			assert.DeepEqual(t, before, after)
		}
	}
	for id, n := range kept {
		assert.Assert(t, n > 200 && n < 400, "%s keeps %d of 3000", id, n)
	}
}

// Guards against candidates that lack a holder, or all former holders of a stream after a
// server has joined in each zone.
func TestFormerHoldersAreCandidates(t *testing.T) {
	for _, zones := range []int{1, 2, 3, 13} {
		list := servers(60+zones, zones)
		before, after := NewHolders(list[:60]), NewHolders(list)
		for s := range StreamID(3000) {
			holders, candidates := ids(after.Of(s)), ids(after.Candidates(s))
			assert.Equal(t, len(candidates), maxCandidates)
			assert.DeepEqual(t, candidates[:maxHolders], holders)
			found := slices.ContainsFunc(ids(before.Of(s)), func(id fleet.ID) bool { return slices.Contains(candidates, id) })
			assert.Assert(t, found, "%d zones, stream %d", zones, s)
		}
	}
}

// Guards against other holders after servers have restarted under new ids at their
// addresses, where the sidecars still have the records, and against a sidecar that is
// chosen twice while the old items are still listed.
func TestHoldersBelongToTheMachine(t *testing.T) {
	before := servers(30, 2)
	var after []*fleet.Endpoint
	for i, e := range before {
		next := *e
		next.ID, next.Address = fleet.ID(fmt.Sprintf("i-new%d", 97*i%30)), HostOf(e)+":81"
		after = append(after, &next)
	}
	old, both, restarted := NewHolders(before), NewHolders(append(slices.Clone(before), after...)), NewHolders(after)
	for s := range StreamID(500) {
		want := hosts(old.Of(s))
		assert.DeepEqual(t, hosts(both.Of(s)), want)
		assert.DeepEqual(t, hosts(restarted.Of(s)), want)
	}
}

func hosts(list []*fleet.Endpoint) []string {
	var out []string
	for _, e := range list {
		out = append(out, HostOf(e))
	}
	return out
}

// BenchmarkHolders measures the choice at the target size.
func BenchmarkHolders(b *testing.B) {
	h := NewHolders(servers(2800, 13))
	for i := range b.N {
		h.Of(StreamID(i))
	}
}
