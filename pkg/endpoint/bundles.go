package endpoint

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// errNoPropagation is the reply to bundle calls if no syncer has been set.
var errNoPropagation = status.Error(codes.Unimplemented, "bundle propagation is not enabled")

// UseSyncer enables the exchange of configuration bundles with entries through s.
// Call it before Run.
func (e *Endpoint) UseSyncer(s *rollout.Syncer) { e.peer = rollout.NewPeerServer(s) }

// OfferBundle returns the parts of the offered bundle that the endpoint does not
// have yet. It fails with codes.Unimplemented if no syncer has been set.
func (s *server) OfferBundle(ctx context.Context, req *fescuev1.OfferBundleRequest) (*fescuev1.OfferBundleReply, error) {
	if s.e.peer == nil {
		return nil, errNoPropagation
	}
	return s.e.peer.OfferBundle(ctx, req)
}

// PutParts receives the missing parts and makes the bundle the active one. It fails
// with codes.Unimplemented if no syncer has been set.
func (s *server) PutParts(stream grpc.ClientStreamingServer[fescuev1.BundlePart, fescuev1.PutPartsReply]) error {
	if s.e.peer == nil {
		return errNoPropagation
	}
	return s.e.peer.PutParts(stream)
}

// FetchBundle sends the active bundle to an entry that has an older version. It
// fails with codes.Unimplemented if no syncer has been set.
func (s *server) FetchBundle(req *fescuev1.FetchBundleRequest, stream grpc.ServerStreamingServer[fescuev1.FetchBundleFrame]) error {
	if s.e.peer == nil {
		return errNoPropagation
	}
	return s.e.peer.FetchBundle(req, stream)
}
