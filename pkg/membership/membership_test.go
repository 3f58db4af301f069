package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// model is the expected state: the last complete report of each endpoint by id.
type model map[string]*fescuev1.Report

// check compares a snapshot with the expected state.
func check(t *rapid.T, s *membership.Snapshot, m model) {
	assert.Equal(t, len(s.Endpoints), len(m))
	holders := map[ident.Adapter]int{}
	grouped := 0
	for id, want := range m {
		e, ok := s.Find(ident.EndpointID(id))
		assert.Assert(t, ok, "%s is missing", id)
		assert.Equal(t, e.Backend, want.Backend)
		assert.Equal(t, len(e.Residents), len(want.Residents))
		for _, a := range e.Residents {
			holders[a]++
			found := slices.ContainsFunc(s.Holders(a, membership.AdapterHash(a)), func(slot int32) bool { return s.At(slot) == e })
			assert.Assert(t, found, "%s is not indexed as holder of %s", id, a)
		}
	}
	for i := range 6 {
		a := ident.Adapter{Team: "t", Name: fmt.Sprint(i), Version: "1"}
		assert.Equal(t, len(s.Holders(a, membership.AdapterHash(a))), holders[a], "holders of %s", a)
	}
	for _, b := range []string{"a", "b"} {
		g := s.Group(membership.BackendKey{Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: b})
		if g == nil {
			continue
		}
		for i, slot := range g.Slots {
			grouped++
			assert.Equal(t, s.At(slot).Backend, b)
			assert.Equal(t, g.Hashes[i], s.At(slot).Hash)
		}
	}
	assert.Equal(t, grouped, len(m))
}

// Guards against an adapter index or a group that differs from the reports after any
// sequence of full and partial reports, restarts and removals, and against changes
// to a snapshot that was published earlier.
func TestIndexFollowsReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, m := membership.New(), model{}
		var old *membership.Snapshot
		var oldModel model
		incarnation := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 6).Draw(t, "endpoint"))
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action == 0:
				d.Remove(ident.EndpointID(id))
				delete(m, id)
			case action < 5 && m[id] != nil:
				d.Apply(time.Unix(0, 0), &fescuev1.Report{EndpointId: id, Incarnation: m[id].Incarnation})
			case action == 5:
				// A partial report of an unknown incarnation must be ignored.
				d.Apply(time.Unix(0, 0), &fescuev1.Report{EndpointId: id, Incarnation: 1 << 40})
			default:
				incarnation++
				r := &fescuev1.Report{EndpointId: id, Incarnation: incarnation, Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, ResidentsChanged: true}
				r.Backend = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "backend")
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID[int]).Draw(t, "residents") {
					r.Residents = append(r.Residents, fmt.Sprintf("t/%d@1", i))
				}
				d.Apply(time.Unix(0, 0), r)
				m[id] = r
			}
			s := d.Snapshot()
			check(t, s, m)
			if old != nil {
				check(t, old, oldModel)
			}
			old, oldModel = s, model{}
			for k, v := range m {
				oldModel[k] = v
			}
		}
	})
}
