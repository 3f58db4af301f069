package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
)

const benchSlots = 8

func adapterName(i int) string { return fmt.Sprintf("team-%d/adapter-%d@1", i%50, i) }

func report(i, adapters int) *fescuev1.Report {
	r := &fescuev1.Report{
		EndpointId: fmt.Sprintf("endpoint-%04d", i), Incarnation: uint64(i + 1), Zone: fmt.Sprintf("zone-%d", i%3),
		Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "kuma-7b", State: fescuev1.EndpointState_ENDPOINT_STATE_READY,
		PositionsTotal: 32, PositionsUsed: uint32(i % 24), SlotsTotal: benchSlots, CanLoad: true, ConnectedEntries: 2, ResidentsChanged: true,
	}
	for j := range min(benchSlots, adapters) {
		r.Residents = append(r.Residents, adapterName((i*benchSlots+j)%adapters))
	}
	return r
}

func directory(endpoints, adapters int, now time.Time) *membership.Directory {
	d := membership.New()
	for i := range endpoints {
		d.Apply(now, report(i, adapters))
	}
	return d
}

func BenchmarkPlace(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000, 2800} {
		for _, adapters := range []int{100, 1000, 10000, 98000} {
			b.Run(fmt.Sprintf("endpoints=%d/adapters=%d", endpoints, adapters), func(b *testing.B) {
				now := time.Now()
				s := directory(endpoints, adapters, now).Snapshot()
				names := make([]ident.Adapter, adapters)
				for i := range names {
					names[i], _ = ident.ParseAdapter(adapterName(i))
				}
				p := newPolicy()
				r := placement.Request{Now: now, Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "kuma-7b", Zone: "zone-1"}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					r.Adapter = names[i%adapters]
					i += 7919
					if _, err := p.Place(&r, s); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func BenchmarkPublish(b *testing.B) {
	for _, endpoints := range []int{215, 2800} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			now := time.Now()
			d := directory(endpoints, 10000, now)
			r := report(7, 10000)
			b.ReportAllocs()
			for b.Loop() {
				d.Apply(now, r)
				d.Snapshot()
			}
		})
	}
}

// BenchmarkPlaceRefused measures a refusal, which looks at every endpoint of the
// base model. The case of 467 endpoints is one base model if 6 base models share
// 2,800 endpoints.
func BenchmarkPlaceRefused(b *testing.B) {
	for _, endpoints := range []int{10, 100, 467, 1000, 2800} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			now := time.Now()
			s := directory(endpoints, 10000, now).Snapshot()
			a, _ := ident.ParseAdapter(adapterName(1))
			p := newPolicy()
			r := placement.Request{Now: now.Add(time.Hour), Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "kuma-7b", Adapter: a}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Place(&r, s); err == nil {
					b.Fatal("stale endpoint chosen")
				}
			}
		})
	}
}

// BenchmarkPublishChangedResidents measures status reports that change the index of
// resident adapters.
func BenchmarkPublishChangedResidents(b *testing.B) {
	for _, endpoints := range []int{215, 2800} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			now := time.Now()
			d := directory(endpoints, 10000, now)
			reports := []*fescuev1.Report{report(7, 10000), report(7, 10000)}
			reports[1].Residents[0] = adapterName(9999)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				d.Apply(now, reports[i%2])
				d.Snapshot()
			}
		})
	}
}
