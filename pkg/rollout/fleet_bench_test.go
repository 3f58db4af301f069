package rollout

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

func loopback(t testing.TB) (net.Listener, func(context.Context, string) (net.Conn, error)) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return lis, func(ctx context.Context, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", lis.Addr().String())
	}
}

// BenchmarkActiveEverywhere measures the time from the compare-and-swap of the root
// to the adoption by the last node, over loopback connections. Bundles have 3,000
// adapters, one of which changes.
func BenchmarkActiveEverywhere(b *testing.B) {
	for _, entries := range []int{3, 25} {
		for _, down := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/down=%t", entries, down), func(b *testing.B) { benchActive(b, entries, 30, down) })
		}
	}
}

func benchActive(b *testing.B, entries, endpoints int, down bool) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	server, err := kvstore.New("127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = server.Run(ctx) }()
	var stores []kv.Store
	for range entries {
		client := etcd.New(server.Addr(), etcd.Options{})
		defer client.Close()
		stores = append(stores, client)
	}
	f := startFleet(ctx, b, stores, endpoints, 3000, 0, loopback)
	var worst, sum time.Duration
	var n, calls, transfers, bytes int64
	var kvCalls int
	var fetches int64
	version := 1
	for b.Loop() {
		time.Sleep(4 * time.Second) // until all watches are open again
		version++
		p := f.next(version)
		c0, x0, b0 := f.totals()
		k0 := server.Counts().Total()
		g0 := f.fetches()
		accepted := f.rollout(b, stores[0], p)
		if down {
			awaitAny(f.entries, version)
			server.SetFaults(kvstore.Faults{Down: true, MuteWatches: true})
		}
		f.wait(b, version)
		took := time.Since(accepted)
		server.SetFaults(kvstore.Faults{})
		c1, x1, b1 := f.totals()
		kvCalls += server.Counts().Total() - k0
		fetches += f.fetches() - g0
		calls, transfers, bytes = calls+c1-c0, transfers+x1-x0, bytes+b1-b0
		worst, sum, n = max(worst, took), sum+took, n+1
	}
	nodes := float64(n) * float64(endpoints)
	b.ReportMetric(float64(worst.Milliseconds()), "worst_ms")
	b.ReportMetric(float64((sum / time.Duration(n)).Milliseconds()), "mean_ms")
	b.ReportMetric(float64(calls)/nodes, "calls/endpoint")
	b.ReportMetric(float64(transfers)/nodes, "transfers/endpoint")
	b.ReportMetric(float64(bytes)/nodes, "bytes/endpoint")
	b.ReportMetric(float64(fetches)/float64(n)/float64(entries), "fetches/entry")
	b.ReportMetric(float64(kvCalls)/float64(n)/float64(entries), "kv_calls/entry")
}
