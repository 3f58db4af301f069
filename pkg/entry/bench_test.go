package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

func benchReport(i, version int) *fescuev1.Report {
	r := &fescuev1.Report{
		EndpointId: fmt.Sprintf("endpoint-%04d", i), Incarnation: uint64(i + 1), Zone: "zone-1", Backend: "kuma-7b",
		Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, State: fescuev1.EndpointState_ENDPOINT_STATE_READY,
		PositionsTotal: 32, SlotsTotal: 8, CanLoad: true, ConnectedEntries: 26, ResidentsChanged: true,
	}
	for j := range 8 {
		r.Residents = append(r.Residents, fmt.Sprintf("team-%d/adapter-%d@%d", j, i*8+j, version))
	}
	return r
}

// BenchmarkReportReceived measures the processing of a decoded report by an entry:
// the bus topic, the directory and the snapshot, which is rebuilt at most 50 times a
// second.
func BenchmarkReportReceived(b *testing.B) {
	for _, endpoints := range []int{215, 2800} {
		for _, residents := range []bool{false, true} {
			b.Run(fmt.Sprintf("endpoints=%d/residents=%t", endpoints, residents), func(b *testing.B) {
				benchReceived(b, endpoints, residents)
			})
		}
	}
}

func benchReceived(b *testing.B, endpoints int, residents bool) {
	e, err := New(Settings{ID: "entry-1", Zone: "zone-1"}, &rollout.Holder{}, logging.Nop())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.controlLoop.run(ctx)
	go func() { _ = e.bus.Run(ctx) }()
	<-e.bus.Running()
	send := func(r *fescuev1.Report) {
		e.events.received(streamID{endpoint: ident.EndpointID(r.EndpointId), sequence: 1}, &fescuev1.ControlResponse{Body: &fescuev1.ControlResponse_Report{Report: r}})
	}
	for i := range endpoints {
		send(benchReport(i, 1))
	}
	for e.ReadyEndpoints() < endpoints {
		time.Sleep(time.Millisecond)
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		r := benchReport(i%endpoints, 1+i/endpoints%2)
		if !residents {
			r.ResidentsChanged, r.Residents = false, nil
		}
		send(r)
		i++
	}
}
