package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

const (
	zones            = 13
	slotsPerEndpoint = 8
	// reportInterval is the interval at which an endpoint under load sends status reports.
	reportInterval = 2 * time.Second
	// settleTime is the time that a process runs before the measurement starts.
	settleTime = 3 * time.Second
	// measureTime is the duration of a measurement. It is long compared with the 10 ms
	// resolution of CPU times.
	measureTime = 10 * time.Second
)

// fakeEndpoints serves the control streams of many endpoints on one address. An entry
// sets the endpoint ID of a status report to that of the endpoint it connected to, so
// the server need not know which endpoint a stream is for.
type fakeEndpoints struct {
	fescuev1.UnimplementedEndpointServer
	next     atomic.Int64
	reports  atomic.Int64
	version  atomic.Uint64
	adapters int
}

func (f *fakeEndpoints) fullReport(i int) *fescuev1.Report {
	r := &fescuev1.Report{
		EndpointId: endpointID(i), Incarnation: uint64(i + 1), Zone: fmt.Sprintf("zone-%d", i%zones),
		Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: fmt.Sprintf("model-%d", i%6),
		State: fescuev1.EndpointState_ENDPOINT_STATE_READY, PositionsTotal: 32, SlotsTotal: slotsPerEndpoint,
		CanLoad: true, ConnectedEntries: 330, QueueCapacity: 256, ResidentsChanged: true, BundleVersion: f.version.Load(),
	}
	for j := range slotsPerEndpoint {
		a := (i*slotsPerEndpoint + j) % f.adapters
		r.Residents = append(r.Residents, fmt.Sprintf("team-%d/adapter-%d@1", a%20, a))
	}
	return r
}

// Control sends a full status report, and then one with a changed load every
// reportInterval.
func (f *fakeEndpoints) Control(stream grpc.BidiStreamingServer[fescuev1.ControlRequest, fescuev1.ControlResponse]) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	r := f.fullReport(int(f.next.Add(1)))
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for n := uint32(0); ; n++ {
		if err := stream.Send(&fescuev1.ControlResponse{Body: &fescuev1.ControlResponse_Report{Report: r}}); err != nil {
			return err
		}
		f.reports.Add(1)
		select {
		case <-stream.Context().Done():
			return nil
		case <-tick.C:
		}
		r = &fescuev1.Report{
			EndpointId: r.EndpointId, Incarnation: r.Incarnation, State: r.State, BundleVersion: f.version.Load(),
			ClockMs: uint64(n) * 2000, PositionsTotal: 32, PositionsUsed: n % 32, Queued: n % 5, SlotsTotal: slotsPerEndpoint,
			CanLoad: true, ConnectedEntries: 330, QueueCapacity: 256,
		}
	}
}

func endpointID(i int) string { return fmt.Sprintf("endpoint-%04d", i) }

func vmListOf(n int, addr string) http.Handler {
	list := vmlist.List{}
	for i := range n {
		list.VMs = append(list.VMs, vmlist.VM{
			Endpoint: ident.EndpointID(endpointID(i)), Zone: ident.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones)),
			Address: addr, State: vmlist.StateLive,
		})
	}
	text, _ := json.Marshal(list) // marshaling this type cannot fail
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	})
}

// BenchmarkEntryProcess measures memory, CPU time and traffic of an entry process
// without requests, for several numbers of connected endpoints and of adapters in the
// bundle. Each endpoint reports a changed load every 2 s. One iteration takes 10 s; the
// reported figures are those of the last iteration.
func BenchmarkEntryProcess(b *testing.B) {
	for _, k := range []struct{ endpoints, adapters int }{
		{0, 100}, {215, 100}, {1000, 100}, {2800, 100}, {0, 10000}, {0, 98000}, {215, 98000}, {2800, 98000},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/adapters=%d", k.endpoints, k.adapters), func(b *testing.B) {
			benchEntry(b, k.endpoints, k.adapters)
		})
	}
}

func benchEntry(b *testing.B, endpoints, adapters int) {
	var control, vms traffic
	p := startFakePlatform(b, adapters)
	f := &fakeEndpoints{adapters: adapters}
	f.version.Store(uint64(p.root.Version))
	lis := listen(b, &control)
	srv := grpc.NewServer()
	fescuev1.RegisterEndpointServer(srv, f)
	go func() { _ = srv.Serve(lis) }()
	b.Cleanup(srv.Stop)
	list := serveHTTP(b, vmListOf(endpoints, lis.Addr().String()), &vms)
	d := startDaemon(b, "entry", "--id", "entry-1", "--zone", "zone-0", "--vm-list", list, "--kv", p.kv.Addr(),
		"--listen", "127.0.0.1:0", "--reviewers", p.reviewers, "--unready-delay", "0s", "--log-level", "warn")
	waitFor(b, func() bool { return f.reports.Load() >= int64(endpoints) })
	time.Sleep(settleTime)
	for b.Loop() {
		cpu, began := d.cpu(b), time.Now()
		bytes, listed, reports, calls := control.bytes.Load(), vms.bytes.Load(), f.reports.Load(), p.kv.Counts().Total()
		time.Sleep(measureTime)
		s := time.Since(began).Seconds()
		used := d.cpu(b) - cpu
		n := f.reports.Load() - reports
		b.ReportMetric(d.rss(b), "rss_bytes")
		b.ReportMetric(used.Seconds()/s*100, "cpu_percent")
		b.ReportMetric(float64(control.bytes.Load()-bytes)/s, "control_bytes/s")
		b.ReportMetric(float64(vms.bytes.Load()-listed)/s, "vm_list_bytes/s")
		b.ReportMetric(float64(p.kv.Counts().Total()-calls)/s, "kv_calls/s")
		if n > 0 {
			b.ReportMetric(float64(control.bytes.Load()-bytes)/float64(n), "wire_bytes/report")
			b.ReportMetric(float64(used.Microseconds())/float64(n), "cpu_us/report")
		}
	}
	before, ranges := d.cpu(b), p.kv.Counts().Range
	p.rollout(b)
	f.version.Store(uint64(p.root.Version))
	time.Sleep(settleTime)
	b.ReportMetric(float64((d.cpu(b) - before).Milliseconds()), "cpu_ms_in_rollout")
	b.ReportMetric(float64(p.kv.Counts().Range-ranges), "kv_reads_in_rollout")
	b.ReportMetric(d.rss(b), "rss_after_rollout_bytes")
	b.ReportMetric(0, "ns/op")
}

// waitFor polls ok until it returns true. It fails the benchmark after 2 minutes.
func waitFor(b *testing.B, ok func() bool) {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), 2*time.Minute)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			b.Fatal("timed out waiting for a condition")
		case <-time.After(20 * time.Millisecond):
		}
	}
}
