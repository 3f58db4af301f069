package endpoint

import (
	"time"

	"google.golang.org/grpc"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

const (
	// receiveSlots is the number of attempts whose messages are received at the same time. The
	// others wait in the flow-control windows of their connections, where they hold less.
	receiveSlots = 4
	// receiveWait is how long a message waits for a slot. Afterwards it is received without
	// one, because entries that have stopped in the middle of their messages hold the slots.
	receiveWait = time.Second
)

// receiveLimiter bounds how many attempts are received at the same time, before the size of
// their bodies is known.
type receiveLimiter chan struct{}

func newReceiveLimiter() receiveLimiter { return make(receiveLimiter, receiveSlots) }

// intercept is the interceptor of the gRPC server.
func (l receiveLimiter) intercept(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if info.FullMethod == fescuev1.Endpoint_Run_FullMethodName {
		stream = &limitedStream{ServerStream: stream, limiter: l}
	}
	return handler(srv, stream)
}

// limitedStream receives messages in a slot of the limiter.
type limitedStream struct {
	grpc.ServerStream
	limiter receiveLimiter
}

// RecvMsg receives the next message.
func (s *limitedStream) RecvMsg(m any) error {
	timeout := time.NewTimer(receiveWait)
	defer timeout.Stop()
	select {
	case s.limiter <- struct{}{}:
		defer func() { <-s.limiter }()
	case <-timeout.C:
	case <-s.Context().Done():
	}
	return s.ServerStream.RecvMsg(m) //nolint:wrapcheck // the errors are those of gRPC
}
