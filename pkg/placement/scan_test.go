package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// Guards against a refusal by scan although an endpoint could serve the request, and
// against an error that differs from that of the filters.
func TestScanEqualsFilters(t *testing.T) {
	now := time.Unix(100, 0)
	adapters := []string{"t/a@1", "t/b@1", "t/c@1"}
	versions := rapid.SampledFrom([]string{"", "v1", "v2"})
	rapid.Check(t, func(t *rapid.T) {
		d := membership.New()
		for i := range rapid.IntRange(1, 8).Draw(t, "endpoints") {
			at := now.Add(-time.Duration(rapid.SampledFrom([]int{0, 5, 6, 7, 60}).Draw(t, "age")) * time.Second)
			d.Apply(at, &fescuev1.Report{
				EndpointId: fmt.Sprint(i), Incarnation: 1, Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "base", ResidentsChanged: true,
				State:          fescuev1.EndpointState(rapid.SampledFrom([]int{1, 2, 2, 2, 3}).Draw(t, "state")),
				PositionsTotal: rapid.Uint32Range(0, 4).Draw(t, "positions"),
				Queued:         rapid.Uint32Range(0, 4).Draw(t, "queued"),
				QueueCapacity:  rapid.Uint32Range(0, 4).Draw(t, "capacity"),
				CanLoad:        rapid.Bool().Draw(t, "can load"),
				EngineVersion:  &fescuev1.EngineVersion{Software: versions.Draw(t, "engine version")},
				Residents:      rapid.SliceOfNDistinct(rapid.SampledFrom(adapters), 0, 2, rapid.ID[string]).Draw(t, "residents"),
			})
		}
		s := d.Snapshot()
		g := s.Group(membership.BackendKey{Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "base"})
		g.ServiceTime.Observe(time.Duration(rapid.IntRange(1, 3).Draw(t, "service")) * time.Second)
		r := Request{Now: now, Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "base"}
		r.Remaining = time.Duration(rapid.IntRange(0, 4).Draw(t, "remaining")) * time.Second
		if rapid.Bool().Draw(t, "needs adapter") {
			r.Adapter, _ = ident.ParseAdapter(rapid.SampledFrom(adapters).Draw(t, "adapter"))
		}
		if rapid.Bool().Draw(t, "needs engine version") {
			r.EngineVersion = &ident.EngineVersion{Software: versions.Draw(t, "needed version")}
		}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, 7), 0, 3).Draw(t, "excluded") {
			r.Excluded = append(r.Excluded, ident.EndpointID(fmt.Sprint(i)))
		}
		want, wantErr := filter(&r, gatherAll(nil, &r, s, g))
		got, err := scan(nil, &r, s, g)
		assert.ErrorIs(t, err, wantErr)
		assert.Equal(t, len(got), len(want))
		for i := range got {
			assert.Equal(t, got[i], want[i])
		}
	})
}
