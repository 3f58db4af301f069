package rollout

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

var initialReviewers = testReviewers("a", "b")

func rolloutVersion(t *testing.T, store *fakeStore, base *bundle.Root, version, adapters int) *bundle.Root {
	t.Helper()
	root, err := Rollout(t.Context(), store, propose("op", testText(version, adapters, version, initialReviewers), base, "a", "b"), initialReviewers)
	assert.NilError(t, err)
	return root
}

// Guards against entries that miss a rollout after an outage, a closed watch or
// a watch that delivers nothing, and against adoption more than 8 s after the
// acceptance of a bundle.
func TestRunAdoptsNewRoots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		s := NewSyncer(&Holder{}, initialReviewers, logging.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx, store)
		root := rolloutVersion(t, store, nil, 1, 3)
		time.Sleep(8 * time.Second)
		assert.Equal(t, int(s.Version()), 1)
		for range 20 {
			store.setDown(true)
			time.Sleep(time.Minute)
			store.setDown(false)
			root = rolloutVersion(t, store, root, int(root.Version)+1, 3)
			time.Sleep(8 * time.Second)
			assert.Equal(t, s.Version(), root.Version)
			root = rolloutVersion(t, store, root, int(root.Version)+1, 3)
			time.Sleep(8 * time.Second)
			assert.Equal(t, s.Version(), root.Version)
		}
		store.mu.Lock()
		store.watches = nil // the watches stay open but deliver nothing
		store.mu.Unlock()
		root = rolloutVersion(t, store, root, int(root.Version)+1, 3)
		time.Sleep(pollInterval + watchBackoffMax)
		assert.Equal(t, s.Version(), root.Version)
	})
}

// silentStore opens watches that deliver nothing and end after the idle timeout.
type silentStore struct{ *fakeStore }

func (silentStore) Watch(ctx context.Context, _ string, _ int64) (<-chan kv.Event, error) {
	ch := make(chan kv.Event)
	time.AfterFunc(etcd.DefaultWatchIdleTimeout, func() { close(ch) })
	return ch, nil
}

// Guards against a growing backoff between watches that deliver nothing. An entry
// would then adopt a bundle so late that the endpoints get it more than 8 s after
// its acceptance.
func TestSilentWatchesDelayByOneIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := silentStore{newFakeStore()}
		s := NewSyncer(&Holder{}, initialReviewers, logging.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx, store)
		var root *bundle.Root
		for i := range 50 {
			time.Sleep(time.Minute + time.Duration(i)*100*time.Millisecond)
			root = rolloutVersion(t, store.fakeStore, root, i+1, 3)
			time.Sleep(etcd.DefaultWatchIdleTimeout + watchBackoffMin)
			assert.Equal(t, s.Version(), root.Version)
		}
	})
}

// Guards against a rollout that fails or is accepted twice if replies are lost, and
// against one that never returns during an outage.
func TestRolloutResolvesLostReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, f := range []txnFault{faultLostReply, faultLostRequest} {
			store := newFakeStore()
			store.nextRootFault = f
			rolloutVersion(t, store, nil, 1, 3)
			assert.Equal(t, len(store.accepted), 1)
		}
		store := newFakeStore()
		store.nextRootFault = faultDelayed
		store.beforeRoot = func() { store.down = false }
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		time.AfterFunc(10*time.Millisecond, func() { store.setDown(true) })
		_, err := Rollout(ctx, store, propose("op", testText(1, 3, 0, initialReviewers), nil, "a", "b"), initialReviewers)
		assert.Assert(t, errors.Is(err, ErrResultUnknown), "%v", err)
	})
}

// Guards against a rollout that writes unchanged parts. At the target rate of
// changes the key-value service cannot take these additional writes.
func TestRolloutWritesChangedPartsOnly(t *testing.T) {
	store := newFakeStore()
	root := rolloutVersion(t, store, nil, 1, 10_000)
	assert.Equal(t, store.txns, len(root.Parts)+2) // one each for the list of dropped parts, every part and the root
	store.txns = 0
	stored := len(store.pairs)
	text := strings.Replace(testText(2, 10_000, 1, initialReviewers), "[adapter \"t/a7000\"]\nbase_model = m0", "[adapter \"t/a7000\"]\nbase_model = m1", 1)
	_, err := Rollout(t.Context(), store, propose("op", text, root, "a", "b"), initialReviewers)
	assert.NilError(t, err)
	assert.Equal(t, store.txns, 1) // the root with the part of the changed adapter
	assert.Equal(t, len(store.pairs), stored+1)
}

// peerService serves the bundle calls of a PeerServer. It forwards them explicitly,
// because both embedded types define these methods.
type peerService struct {
	fescuev1.UnimplementedEndpointServer
	*PeerServer
}

func (p peerService) OfferBundle(ctx context.Context, r *fescuev1.OfferBundleRequest) (*fescuev1.OfferBundleReply, error) {
	return p.PeerServer.OfferBundle(ctx, r)
}

func (p peerService) PutParts(s grpc.ClientStreamingServer[fescuev1.BundlePart, fescuev1.PutPartsReply]) error {
	return p.PeerServer.PutParts(s)
}

func (p peerService) FetchBundle(r *fescuev1.FetchBundleRequest, s grpc.ServerStreamingServer[fescuev1.FetchBundleFrame]) error {
	return p.PeerServer.FetchBundle(r, s)
}

func dialPeer(t *testing.T, s *Syncer) fescuev1.EndpointClient {
	lis := bufconn.Listen(1 << 20)
	srv := grpc.NewServer()
	fescuev1.RegisterEndpointServer(srv, peerService{PeerServer: NewPeerServer(s)})
	go func() { _ = srv.Serve(lis) }()
	t.Cleanup(srv.Stop)
	conn, err := grpc.NewClient("passthrough:///peer", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return lis.DialContext(ctx) }))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return fescuev1.NewEndpointClient(conn)
}

// Guards against bundles that are not transferred between nodes, transfers of parts
// that the peer already has, and parts that are accepted without a verified root.
func TestPeersExchangeBundles(t *testing.T) {
	store := newFakeStore()
	entry := NewSyncer(&Holder{}, initialReviewers, logging.Nop())
	endpoint := NewSyncer(&Holder{}, initialReviewers, logging.Nop())
	late := NewSyncer(&Holder{}, initialReviewers, logging.Nop())
	client := dialPeer(t, endpoint)
	var root *bundle.Root
	for v := 1; v <= 3; v++ {
		root = rolloutVersion(t, store, root, v, 3000)
		_, err := entry.Sync(t.Context(), store)
		assert.NilError(t, err)
		_, names, err := endpoint.Check(entry.ActiveBundle().Record)
		assert.NilError(t, err)
		if v > 1 {
			assert.Assert(t, len(names) < len(root.Parts), "%d of %d parts are missing", len(names), len(root.Parts))
		}
		got, err := entry.PushTo(t.Context(), client)
		assert.NilError(t, err)
		assert.Equal(t, int(got), v)
		assert.Equal(t, int(endpoint.Version()), v)
	}
	assert.NilError(t, late.FetchFrom(t.Context(), client))
	assert.Equal(t, int(late.Version()), 3)
	assert.NilError(t, late.FetchFrom(t.Context(), client))

	stream, err := client.PutParts(t.Context())
	assert.NilError(t, err)
	_ = stream.Send(&fescuev1.BundlePart{Name: bundle.PartName("x"), Content: []byte("x")})
	_, err = stream.CloseAndRecv()
	assert.Equal(t, status.Code(err), codes.FailedPrecondition)
	forged := *root
	forged.Version = 9
	record, _ := forged.Encode()
	_, err = client.OfferBundle(t.Context(), &fescuev1.OfferBundleRequest{Root: &fescuev1.BundleRoot{Record: record}})
	assert.Equal(t, status.Code(err), codes.PermissionDenied)
}
