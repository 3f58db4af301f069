package endpoint

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// errNoPropagation answers bundle calls of an endpoint that has no syncer.
var errNoPropagation = status.Error(codes.Unimplemented, "bundle propagation is not enabled")

// UseSyncer lets entries push bundles to the endpoint. Call it before Run.
func (e *Endpoint) UseSyncer(s *rollout.Syncer) { e.peer = rollout.NewPeerServer(s) }

// OfferBundle returns the parts that the endpoint lacks.
func (s *server) OfferBundle(ctx context.Context, req *fescuev1.OfferBundleRequest) (*fescuev1.OfferBundleReply, error) {
	if s.e.peer == nil {
		return nil, errNoPropagation
	}
	return s.e.peer.OfferBundle(ctx, req)
}

// PutParts accepts the missing parts and adopts the bundle.
func (s *server) PutParts(stream grpc.ClientStreamingServer[fescuev1.BundlePart, fescuev1.PutPartsReply]) error {
	if s.e.peer == nil {
		return errNoPropagation
	}
	return s.e.peer.PutParts(stream)
}

// FetchBundle sends the active bundle to an entry that is behind.
func (s *server) FetchBundle(req *fescuev1.FetchBundleRequest, stream grpc.ServerStreamingServer[fescuev1.FetchBundleFrame]) error {
	if s.e.peer == nil {
		return errNoPropagation
	}
	return s.e.peer.FetchBundle(req, stream)
}
