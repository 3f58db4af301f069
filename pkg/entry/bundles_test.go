package entry

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// bundlePeer is an endpoint that serves the bundle methods and records the maximum
// number of concurrent offers.
type bundlePeer struct {
	fescuev1.UnimplementedEndpointServer
	server  *rollout.PeerServer
	running atomic.Int32
	most    atomic.Int32
}

func (p *bundlePeer) OfferBundle(ctx context.Context, r *fescuev1.OfferBundleRequest) (*fescuev1.OfferBundleReply, error) {
	if n := p.running.Add(1); n > p.most.Load() {
		p.most.Store(n)
	}
	defer p.running.Add(-1)
	return p.server.OfferBundle(ctx, r)
}

func (p *bundlePeer) PutParts(s grpc.ClientStreamingServer[fescuev1.BundlePart, fescuev1.PutPartsReply]) error {
	return p.server.PutParts(s)
}

func (p *bundlePeer) FetchBundle(r *fescuev1.FetchBundleRequest, s grpc.ServerStreamingServer[fescuev1.FetchBundleFrame]) error {
	return p.server.FetchBundle(r, s)
}

func dialBundlePeer(t *testing.T, p *bundlePeer) *grpc.ClientConn {
	lis := bufconn.Listen(1 << 20)
	srv := grpc.NewServer()
	fescuev1.RegisterEndpointServer(srv, p)
	go func() { _ = srv.Serve(lis) }()
	t.Cleanup(srv.Stop)
	conn, err := grpc.NewClient("passthrough:///peer", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return lis.DialContext(ctx) }))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func reviewerKey(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

// adoptNext makes the syncer adopt a signed bundle with the next version number.
func adoptNext(t *testing.T, s *rollout.Syncer) {
	t.Helper()
	var base *bundle.Root
	if a := s.ActiveBundle(); a != nil {
		base = a.Root
	}
	text := fmt.Sprintf("[bundle]\nversion = %d\n[deployment]\nname = test\n", s.Version()+1)
	for _, r := range firstReviewers() {
		text += fmt.Sprintf("[reviewer %q]\npublic_key = %s\n", r.Name, base64.StdEncoding.EncodeToString(r.Key))
	}
	p, err := bundle.Propose("test", text, "op", base)
	assert.NilError(t, err)
	assert.NilError(t, p.Approve("a", reviewerKey("a")))
	assert.NilError(t, p.Approve("b", reviewerKey("b")))
	root, parts, err := p.Build()
	assert.NilError(t, err)
	record, err := root.Encode()
	assert.NilError(t, err)
	contents := map[string]string{}
	for _, part := range parts {
		contents[part.Name] = part.Content
	}
	assert.NilError(t, s.Adopt(record, contents))
}

func firstReviewers() bundle.Reviewers {
	var rs bundle.Reviewers
	for _, n := range []string{"a", "b"} {
		rs = append(rs, bundle.Reviewer{Name: n, Key: reviewerKey(n).Public().(ed25519.PublicKey)})
	}
	return rs
}

func versionReport(version uint64) *fescuev1.ControlResponse {
	return &fescuev1.ControlResponse{Body: &fescuev1.ControlResponse_Report{Report: &fescuev1.Report{BundleVersion: version}}}
}

// Guards against endpoints that receive a new bundle only after their next report,
// entries that do not fetch the newer bundle of an endpoint, and concurrent
// exchanges with one endpoint.
func TestExchangerPushesAndFetches(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	newSyncer := func() *rollout.Syncer {
		return rollout.NewSyncer(&rollout.Holder{}, firstReviewers(), logging.Nop())
	}
	endpoint := newSyncer()
	peer := &bundlePeer{server: rollout.NewPeerServer(endpoint)}
	conn := dialBundlePeer(t, peer)
	start := func(s *rollout.Syncer) (*bundleSyncer, chan struct{}) {
		x := newBundleSyncer(s, logging.Nop())
		x.exchanger.MaxDelay = 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			x.run(ctx)
		}()
		return x, done
	}

	ahead := newSyncer()
	adoptNext(t, ahead)
	pusher, pushed := start(ahead)
	changed := endpoint.NextAdoption()
	for range 10 {
		pusher.recordVersion("e1", versionReport(0), conn)
	}
	<-changed
	for v := 2; v <= 5; v++ {
		changed = endpoint.NextAdoption()
		adoptNext(t, ahead)
		for endpoint.Version() < ahead.Version() {
			<-changed
			changed = endpoint.NextAdoption()
		}
	}
	assert.Equal(t, int(endpoint.Version()), 5)

	behind := newSyncer()
	changed = behind.NextAdoption()
	fetcher, fetched := start(behind)
	fetcher.recordVersion("e1", versionReport(5), conn)
	<-changed
	assert.Equal(t, int(behind.Version()), 5)
	assert.Equal(t, int(peer.most.Load()), 1)
	cancel()
	<-pushed
	<-fetched
}
