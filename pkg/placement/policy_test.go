package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
)

func newPolicy() placement.Policy { return placement.NewAffinity(1) }

func drawReport(t *rapid.T, i int) *fescuev1.Report {
	r := report(i, 12)
	r.Backend = rapid.SampledFrom([]string{"kuma-7b", "kuma-7b", "other"}).Draw(t, "backend")
	r.State = rapid.SampledFrom([]fescuev1.EndpointState{
		fescuev1.EndpointState_ENDPOINT_STATE_READY, fescuev1.EndpointState_ENDPOINT_STATE_READY,
		fescuev1.EndpointState_ENDPOINT_STATE_LEAVING, fescuev1.EndpointState_ENDPOINT_STATE_STARTING,
	}).Draw(t, "state")
	r.CanLoad = rapid.Bool().Draw(t, "can load")
	r.QueueCapacity = 4
	r.Queued = rapid.Uint32Range(0, 4).Draw(t, "queued")
	r.Residents = r.Residents[:rapid.IntRange(0, len(r.Residents)).Draw(t, "residents")]
	return r
}

// oracle reports whether an endpoint may serve the request, without use of the
// filters.
func oracle(r *placement.Request, e *membership.Endpoint) bool {
	for _, id := range r.Excluded {
		if id == e.ID {
			return false
		}
	}
	return e.Backend == r.Backend && e.State == fescuev1.EndpointState_ENDPOINT_STATE_READY &&
		r.Now.Sub(e.ReportedAt) <= placement.StaleAfter && (e.CanLoad || e.Holds(r.Adapter)) && e.Queued < e.QueueCapacity
}

// Guards against a request that is sent to an endpoint that cannot serve it, and
// against a refusal although an endpoint outside the short list of candidates could
// serve the request.
func TestPoliciesChooseEligibleEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start.Add(10 * time.Second)
		d := membership.New()
		for i := range rapid.IntRange(0, 40).Draw(t, "endpoints") {
			age := rapid.SampledFrom([]time.Duration{0, 6 * time.Second, 7 * time.Second}).Draw(t, "age")
			d.Apply(now.Add(-age), drawReport(t, i))
		}
		s := d.Snapshot()
		a, err := ident.ParseAdapter(adapterName(rapid.IntRange(0, 11).Draw(t, "adapter")))
		assert.NilError(t, err)
		r := &placement.Request{Now: now, Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "kuma-7b", Adapter: a, Zone: "zone-0"}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, 40), 0, 3).Draw(t, "excluded") {
			r.Excluded = append(r.Excluded, ident.EndpointID(fmt.Sprintf("endpoint-%04d", i)))
		}
		possible := 0
		for _, e := range s.Endpoints {
			if oracle(r, e) {
				possible++
			}
		}
		for _, p := range []placement.Policy{newPolicy(), placement.NewRandom(1), placement.LeastLoaded{}, placement.PlainHash{}} {
			got, err := p.Place(r, s)
			assert.Equal(t, err == nil, possible > 0, "%s: error %v with %d eligible endpoints", p.Name(), err, possible)
			if err == nil {
				assert.Assert(t, oracle(r, got.Endpoint), "%s chose %s", p.Name(), got.Endpoint.ID)
			}
		}
	})
}

// Guards against all requests for a frequently used adapter going to one endpoint,
// and against a rarely used adapter being spread over many endpoints.
func TestHotAdapterSpreads(t *testing.T) {
	now := time.Unix(1000, 0)
	d := membership.New()
	for i := range 40 {
		r := report(i, 100)
		r.Residents, r.PositionsUsed = nil, 0
		d.Apply(now, r)
	}
	s := d.Snapshot()
	spread := func(perSecond int) int {
		p := placement.NewAffinity(1)
		seen := map[ident.EndpointID]bool{}
		a := ident.Adapter{Team: "tokachi", Name: "summary", Version: "1"}
		for i := range 2000 {
			at := now.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			r := &placement.Request{Now: at, Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "kuma-7b", Adapter: a}
			if at.Sub(now) > placement.StaleAfter {
				break
			}
			got, err := p.Place(r, s)
			assert.NilError(t, err)
			seen[got.Endpoint.ID] = true
		}
		return len(seen)
	}
	assert.Equal(t, spread(1), 1)
	assert.Assert(t, spread(300) >= 4, "hot adapter is placed on %d endpoints", spread(300))
}

// Guards against deployment weights that have no effect. An endpoint with the
// adapter resident must score higher with a high stall weight than with a high batch
// weight.
func TestDeploymentWeightsChangeTheScore(t *testing.T) {
	now := time.Unix(1000, 0)
	s := directory(20, 100, now).Snapshot()
	p := placement.NewAffinity(1)
	a, err := ident.ParseAdapter(adapterName(3))
	assert.NilError(t, err)
	r := &placement.Request{Now: now, Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "kuma-7b", Adapter: a}
	p.ApplyConfig(bundle.Deployment{StallWeight: 1})
	stall, err := p.Place(r, s)
	assert.NilError(t, err)
	p.ApplyConfig(bundle.Deployment{BatchWeight: 1})
	batch, err := p.Place(r, s)
	assert.NilError(t, err)
	assert.Equal(t, stall.Reason, "adapter resident")
	assert.Assert(t, stall.Score > batch.Score, "stall %v, batch %v", stall.Score, batch.Score)
}

// Guards against placing a load where it evicts an adapter in demand or waits for a
// slot in use although another endpoint has an idle slot, and against a batch weight
// that does not fill partly used batches first.
func TestLoadGoesWhereItCostsLeast(t *testing.T) {
	now := time.Unix(1000, 0)
	a := ident.Adapter{Team: "tokachi", Name: "cold", Version: "1"}
	place := func(w bundle.Deployment, change func(i int, r *fescuev1.Report)) ident.EndpointID {
		d := membership.New()
		for i := range 4 {
			r := report(i, 100)
			r.PositionsTotal, r.PositionsUsed, r.Queued = 16, 0, 0
			r.SlotsTotal, r.Openings = uint32(len(r.Residents)), 1
			change(i, r)
			d.Apply(now, r)
		}
		p := placement.NewAffinity(1)
		p.ApplyConfig(w)
		r := &placement.Request{Now: now, Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "kuma-7b", Adapter: a}
		got, err := p.Place(r, d.Snapshot())
		assert.NilError(t, err)
		return got.Endpoint.ID
	}
	stall, batch := bundle.Deployment{StallWeight: 1}, bundle.Deployment{BatchWeight: 1}
	for busy := range 4 {
		id := ident.EndpointID(fmt.Sprintf("endpoint-%04d", busy))
		inUse := func(i int, r *fescuev1.Report) {
			if i == busy {
				r.PositionsUsed = 15
			}
		}
		assert.Equal(t, place(batch, inUse), id)
		assert.Assert(t, place(stall, inUse) != id)
		full := func(i int, r *fescuev1.Report) {
			inUse(i, r)
			if i == busy {
				r.Openings = 0
			}
		}
		assert.Assert(t, place(batch, full) != id)
	}
}
