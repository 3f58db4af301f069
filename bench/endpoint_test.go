package bench

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
)

// leaseTTL is shorter than the default, so that a run contains some renewals. A lease
// is renewed three times within its TTL.
const leaseTTL = 6 * time.Second

// fakeEntry is the client side of the control stream of one entry.
type fakeEntry struct {
	conn    *grpc.ClientConn
	version atomic.Uint64
}

func dialEntry(b *testing.B, addr string, i int, t *traffic, reports *atomic.Int64) *fakeEntry {
	b.Helper()
	dial := func(ctx context.Context, a string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a)
		return countedConn{Conn: c, t: t}, err
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	f := &fakeEntry{conn: conn}
	stream, err := fescuev1.NewEndpointClient(conn).Control(b.Context(), grpc.WaitForReady(true))
	if err != nil {
		b.Fatal(err)
	}
	hello := &fescuev1.Hello{EntryId: fmt.Sprintf("entry-%d", i)}
	if err := stream.Send(&fescuev1.ControlRequest{Body: &fescuev1.ControlRequest_Hello{Hello: hello}}); err != nil {
		b.Fatal(err)
	}
	go func() {
		for {
			m, err := stream.Recv()
			if err != nil {
				return
			}
			if r := m.GetReport(); r != nil {
				f.version.Store(r.GetBundleVersion())
				reports.Add(1)
			}
		}
	}()
	return f
}

// BenchmarkEndpointProcess measures an endpoint process without requests, for several
// numbers of connected entries and of adapters in the bundle. It also measures the
// adoption of a bundle in which one adapter has changed.
func BenchmarkEndpointProcess(b *testing.B) {
	for _, k := range []struct{ entries, adapters int }{{1, 100}, {26, 100}, {330, 100}, {1, 10000}, {1, 98000}, {26, 98000}, {330, 98000}} {
		b.Run(fmt.Sprintf("entries=%d/adapters=%d", k.entries, k.adapters), func(b *testing.B) {
			benchEndpoint(b, k.entries, k.adapters)
		})
	}
}

func benchEndpoint(b *testing.B, entries, adapters int) {
	var control, engineTraffic traffic
	var reports atomic.Int64
	p := startFakePlatform(b, adapters)
	engine := fakeengine.New(fakeengine.Options{BaseModel: "model-0", Slots: slotsPerEndpoint, Positions: 32, ChecksFencing: true,
		Residents: []ident.Adapter{{Team: "team-0", Name: "adapter-0", Version: "1"}}})
	backend := serveHTTP(b, engine.Handler(), &engineTraffic)
	addr := freeAddr(b)
	d := startDaemon(b, "endpoint", "--id", "model-1", "--zone", "zone-0", "--listen", addr, "--kind", "model", "--backend", "model-0",
		"--backend-address", backend, "--fencing", "checked", "--kv", p.kv.Addr(), "--reviewers", p.reviewers, "--log-level", "warn",
		"--lease-ttl", leaseTTL.String())
	var list []*fakeEntry
	for i := range entries {
		list = append(list, dialEntry(b, addr, i, &control, &reports))
	}
	s := p.syncer(b)
	pushBundle(b, s, list, p.root.Version)
	time.Sleep(settleTime)
	b.ReportMetric(float64(p.kv.Counts().Grant+p.kv.Counts().Txn), "kv_writes_until_ready")
	for b.Loop() {
		cpu, began := d.cpu(b), time.Now()
		bytes, n, calls := control.bytes.Load(), reports.Load(), p.kv.Counts()
		time.Sleep(measureTime)
		sec := time.Since(began).Seconds()
		b.ReportMetric(d.rss(b), "rss_bytes")
		b.ReportMetric((d.cpu(b)-cpu).Seconds()/sec*100, "cpu_percent")
		b.ReportMetric(float64(control.bytes.Load()-bytes)/sec, "control_bytes/s")
		b.ReportMetric(float64(reports.Load()-n)/sec, "reports/s")
		b.ReportMetric(float64(control.bytes.Load()-bytes)/float64(max(reports.Load()-n, 1)), "wire_bytes/report")
		b.ReportMetric(float64(p.kv.Counts().Total()-calls.Total())/(sec/(leaseTTL/3).Seconds()), "kv_calls/renewal")
	}
	p.rollout(b)
	s = p.syncer(b)
	before, sent := d.cpu(b), control.bytes.Load()
	pushBundle(b, s, list, p.root.Version)
	time.Sleep(settleTime)
	b.ReportMetric(float64((d.cpu(b) - before).Milliseconds()), "cpu_ms_in_adoption")
	b.ReportMetric(float64(control.bytes.Load()-sent), "wire_bytes_in_adoption")
	b.ReportMetric(d.rss(b), "rss_after_adoption_bytes")
	b.ReportMetric(0, "ns/op")
}

// pushBundle transfers the bundle over the first connection and waits until every entry
// has received a status report with its version.
func pushBundle(b *testing.B, s *rollout.Syncer, list []*fakeEntry, version ident.BundleVersion) {
	b.Helper()
	if _, err := s.PushTo(b.Context(), fescuev1.NewEndpointClient(list[0].conn)); err != nil {
		b.Fatal(err)
	}
	waitFor(b, func() bool {
		for _, e := range list {
			if e.version.Load() < uint64(version) {
				return false
			}
		}
		return true
	})
}

// syncer returns a syncer that holds the active bundle.
func (p *fakePlatform) syncer(b *testing.B) *rollout.Syncer {
	b.Helper()
	reviewers, found := bundle.ParseReviewers("bench", reviewersText())
	if found != nil {
		b.Fatal(found)
	}
	s := rollout.NewSyncer(&rollout.Holder{}, reviewers, logging.Nop())
	if _, err := s.Sync(b.Context(), etcd.New(p.kv.Addr(), etcd.Options{})); err != nil {
		b.Fatal(err)
	}
	return s
}

// freeAddr returns a loopback address (host:port) that nothing listens on.
func freeAddr(b *testing.B) string {
	b.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer lis.Close()
	return strings.Clone(lis.Addr().String())
}
