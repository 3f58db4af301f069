package rollout

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/test/bufconn"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

// propagationLimit is the longest time from the acceptance of a bundle until it is
// active on every node.
const propagationLimit = 8 * time.Second

// reportInterval is the interval at which endpoints report an unchanged version.
const reportInterval = 5 * time.Second

// listenFunc returns a listener for an endpoint and the dialer to connect to it.
type listenFunc func(t testing.TB) (net.Listener, func(context.Context, string) (net.Conn, error))

func inMemory(testing.TB) (net.Listener, func(context.Context, string) (net.Conn, error)) {
	lis := bufconn.Listen(1 << 20)
	return lis, func(ctx context.Context, _ string) (net.Conn, error) { return lis.DialContext(ctx) }
}

// traffic is the gRPC server of an endpoint, which measures its traffic: it counts
// bundle calls, uploads (transfers), fetches and bytes on the wire.
type traffic struct {
	fescuev1.UnimplementedEndpointServer
	*PeerServer
	// slow is the delay before each message of an upload is received.
	slow                    time.Duration
	calls, transfers, bytes atomic.Int64
	fetches                 atomic.Int64
}

func (p *traffic) OfferBundle(ctx context.Context, r *fescuev1.OfferBundleRequest) (*fescuev1.OfferBundleReply, error) {
	return p.PeerServer.OfferBundle(ctx, r)
}

func (p *traffic) PutParts(s grpc.ClientStreamingServer[fescuev1.BundlePart, fescuev1.PutPartsReply]) error {
	p.transfers.Add(1)
	return p.PeerServer.PutParts(slowUpload{s, p.slow})
}

func (p *traffic) FetchBundle(r *fescuev1.FetchBundleRequest, s grpc.ServerStreamingServer[fescuev1.FetchBundleFrame]) error {
	p.fetches.Add(1)
	return p.PeerServer.FetchBundle(r, s)
}

type slowUpload struct {
	grpc.ClientStreamingServer[fescuev1.BundlePart, fescuev1.PutPartsReply]
	delay time.Duration
}

func (s slowUpload) Recv() (*fescuev1.BundlePart, error) {
	time.Sleep(s.delay)
	return s.ClientStreamingServer.Recv()
}

// HandleRPC implements stats.Handler.
func (p *traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch m := s.(type) {
	case *stats.Begin:
		p.calls.Add(1)
	case *stats.InPayload:
		p.bytes.Add(int64(m.WireLength))
	case *stats.OutPayload:
		p.bytes.Add(int64(m.WireLength))
	}
}

// TagRPC implements stats.Handler.
func (p *traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (p *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (p *traffic) HandleConn(context.Context, stats.ConnStats) {}

// fleet is a deployment in which all entries are connected to all endpoints.
type fleet struct {
	entries, endpoints []*Syncer
	traffic            []*traffic
	root               *bundle.Root
	text               string
}

// startFleet starts a fleet and waits until version 1 is active on every node. Entry
// i reads bundles from stores[i].
func startFleet(ctx context.Context, t testing.TB, stores []kv.Store, endpoints, adapters int, slow time.Duration, connect listenFunc) *fleet {
	f := &fleet{text: testText(1, adapters, 0, initialReviewers)}
	var err error
	f.root, err = Rollout(ctx, stores[0], propose("op", f.text, nil, "a", "b"), initialReviewers)
	assert.NilError(t, err)
	exchangers := make([]*Exchanger, len(stores))
	for i, store := range stores {
		s := NewSyncer(&Holder{}, initialReviewers, logging.Nop())
		f.entries = append(f.entries, s)
		exchangers[i] = NewExchanger(s, logging.Nop())
		go s.Run(ctx, store)
		go exchangers[i].Run(ctx)
	}
	for i := range endpoints {
		f.addEndpoint(ctx, t, ident.EndpointID(fmt.Sprint("e", i)), exchangers, slow, connect)
	}
	f.wait(t, 1)
	return f
}

func (f *fleet) addEndpoint(ctx context.Context, t testing.TB, id ident.EndpointID, exchangers []*Exchanger, slow time.Duration, connect listenFunc) {
	s := NewSyncer(&Holder{}, initialReviewers, logging.Nop())
	tr := &traffic{PeerServer: NewPeerServer(s), slow: slow}
	f.endpoints = append(f.endpoints, s)
	f.traffic = append(f.traffic, tr)
	lis, dial := connect(t)
	srv := grpc.NewServer(grpc.StatsHandler(tr))
	fescuev1.RegisterEndpointServer(srv, tr)
	go func() { _ = srv.Serve(lis) }()
	context.AfterFunc(ctx, srv.Stop)
	for _, x := range exchangers {
		conn, err := grpc.NewClient("passthrough:///peer", grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
		assert.NilError(t, err)
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		go report(ctx, id, s, x, fescuev1.NewEndpointClient(conn))
	}
}

// report replaces the control stream on which an endpoint reports its bundle version
// to an entry.
func report(ctx context.Context, id ident.EndpointID, s *Syncer, x *Exchanger, client fescuev1.EndpointClient) {
	const oneWay = time.Millisecond
	for wait.For(ctx, oneWay) {
		changed := s.NextAdoption()
		x.ReportVersion(id, uint64(s.Version()), client)
		heartbeat := time.NewTimer(reportInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-heartbeat.C:
		}
		heartbeat.Stop()
	}
}

// next returns a proposal of version v in which one adapter differs from the version
// before.
func (f *fleet) next(v int) *bundle.Proposal {
	f.text = strings.Replace(f.text, fmt.Sprintf("version = %d\n", v-1), fmt.Sprintf("version = %d\n", v), 1)
	section := fmt.Sprintf("[adapter \"t/a%d\"]\nbase_model = m", v)
	f.text = strings.Replace(f.text, section+"0\n", section+"1\n", 1)
	return propose("op", f.text, f.root, "a", "b")
}

// rollout rolls out a proposal and returns the time of its acceptance.
func (f *fleet) rollout(t testing.TB, store kv.Store, p *bundle.Proposal) time.Time {
	root, err := Rollout(t.Context(), store, p, initialReviewers)
	assert.NilError(t, err)
	f.root = root
	return time.Now()
}

// wait returns when version v, or a later one, is active on all nodes.
func (f *fleet) wait(t testing.TB, v int) {
	t.Helper()
	for _, s := range append(f.entries[:len(f.entries):len(f.entries)], f.endpoints...) {
		waitNode(t, s, v)
	}
}

func waitNode(t testing.TB, s *Syncer, v int) {
	t.Helper()
	limit := time.NewTimer(time.Minute)
	defer limit.Stop()
	for {
		changed := s.NextAdoption()
		if int(s.Version()) >= v {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			t.Fatalf("a node has version %d, not %d, after a minute", s.Version(), v)
		}
	}
}

// totals returns the sums of the counters of all endpoints.
func (f *fleet) totals() (calls, transfers, bytes int64) {
	for _, tr := range f.traffic {
		calls += tr.calls.Load()
		transfers += tr.transfers.Load()
		bytes += tr.bytes.Load()
	}
	return calls, transfers, bytes
}

// fetches returns how often entries have fetched a bundle from any endpoint.
func (f *fleet) fetches() int64 {
	n := int64(0)
	for _, tr := range f.traffic {
		n += tr.fetches.Load()
	}
	return n
}

func sameStore(store kv.Store, n int) []kv.Store {
	stores := make([]kv.Store, n)
	for i := range stores {
		stores[i] = store
	}
	return stores
}

// Guards against a bundle that is not active on every node within 8 s of its
// acceptance, also if the key-value service fails as soon as one node has adopted it.
func TestActiveEverywhere(t *testing.T) {
	for _, tc := range []string{"store up", "store down after one entry", "store down after one endpoint"} {
		t.Run(tc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				store := newFakeStore()
				f := startFleet(ctx, t, sameStore(store, 3), 30, 300, 0, inMemory)
				for v := 2; v <= 6; v++ {
					p := f.next(v)
					accepted := f.rollout(t, store, p)
					switch tc {
					case "store down after one entry":
						awaitAny(f.entries, v)
						store.setDown(true)
					case "store down after one endpoint":
						store.setDown(true)
						adoptDirectly(t, f.endpoints[v], f.root, p)
					}
					f.wait(t, v)
					took := time.Since(accepted)
					t.Logf("version %d active everywhere after %v", v, took)
					assert.Assert(t, took <= propagationLimit, "active everywhere only after %v", took)
					store.setDown(false)
					time.Sleep(10 * time.Second)
				}
			})
		})
	}
}

func awaitAny(nodes []*Syncer, v int) {
	found := make(chan struct{}, len(nodes))
	for _, s := range nodes {
		go func() {
			for int(s.Version()) < v {
				changed := s.NextAdoption()
				if int(s.Version()) < v {
					<-changed
				}
			}
			found <- struct{}{}
		}()
	}
	<-found
}

func adoptDirectly(t testing.TB, s *Syncer, root *bundle.Root, p *bundle.Proposal) {
	_, list, err := p.Build()
	assert.NilError(t, err)
	parts := map[string]string{}
	for _, part := range list {
		parts[part.Name] = part.Content
	}
	record, err := root.Encode()
	assert.NilError(t, err)
	assert.NilError(t, s.Adopt(record, parts))
}

// Guards against endpoints that receive the same bundle from many of the entries
// connected to them.
func TestOneTransferPerEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := newFakeStore()
		const endpoints, rollouts = 10, 5
		f := startFleet(ctx, t, sameStore(store, 25), endpoints, 300, 100*time.Millisecond, inMemory)
		calls, transfers, bytes := f.totals()
		for v := 2; v < 2+rollouts; v++ {
			accepted := f.rollout(t, store, f.next(v))
			f.wait(t, v)
			assert.Assert(t, time.Since(accepted) <= propagationLimit)
			time.Sleep(10 * time.Second)
		}
		c, x, b := f.totals()
		const n = endpoints * rollouts
		perEndpoint := float64(x-transfers) / n
		t.Logf("per endpoint and rollout: %.2f calls, %.2f transfers, %d bytes", float64(c-calls)/n, perEndpoint, (b-bytes)/n)
		assert.Assert(t, perEndpoint <= 1.5, "%.2f transfers per endpoint and rollout", perEndpoint)
	})
}

// Guards against a stalled upload that keeps all other entries from uploading the
// bundle to the endpoint in time.
func TestStalledUploadIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := newFakeStore()
		f := startFleet(ctx, t, sameStore(store, 3), 1, 300, 0, inMemory)
		ahead := NewSyncer(&Holder{}, initialReviewers, logging.Nop())
		lis, dial := inMemory(t)
		srv := grpc.NewServer()
		fescuev1.RegisterEndpointServer(srv, peerService{PeerServer: f.traffic[0].PeerServer})
		go func() { _ = srv.Serve(lis) }()
		context.AfterFunc(ctx, srv.Stop)
		conn, err := grpc.NewClient("passthrough:///peer", grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
		assert.NilError(t, err)
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		client := fescuev1.NewEndpointClient(conn)
		for v := 2; v <= 6; v++ {
			accepted := f.rollout(t, store, f.next(v))
			_, err := ahead.Sync(ctx, store)
			assert.NilError(t, err)
			_, err = client.OfferBundle(ctx, &fescuev1.OfferBundleRequest{Root: rootMessage(ahead.ActiveBundle())})
			assert.NilError(t, err)
			if v%2 == 0 {
				stream, err := client.PutParts(ctx)
				assert.NilError(t, err)
				assert.NilError(t, stream.Send(&fescuev1.BundlePart{Root: rootMessage(ahead.ActiveBundle())}))
			}
			f.wait(t, v)
			took := time.Since(accepted)
			t.Logf("version %d active everywhere after %v", v, took)
			assert.Assert(t, took > uploadStallTimeout, "the slot was not held")
			// A longer time would mean that the entries waited for the next report of
			// the endpoint.
			assert.Assert(t, took <= uploadStallTimeout+2*defaultMaxDelay, "active everywhere only after %v", took)
			time.Sleep(10 * time.Second)
		}
	})
}
