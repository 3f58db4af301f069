package sidecar

import (
	"context"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ratelimit"
)

// TakePermit implements fescuev1.ResidencyServer.
func (h *hub) TakePermit(_ context.Context, r *fescuev1.TakePermitRequest) (*fescuev1.TakePermitResponse, error) {
	now := time.Now()
	server := ratelimit.Server{ID: r.GetInstanceId(), Born: r.GetBorn()}
	if r.GetEnded() {
		h.limits.End(now, server)
		return &fescuev1.TakePermitResponse{Ended: true}, nil
	}
	g := h.limits.Take(now, ratelimit.Demand{
		Server:    server,
		PerSecond: r.GetLimitPerSecond(),
		NamedAgo:  time.Duration(r.GetNamedMsAgo()) * time.Millisecond,
		Fallback:  r.GetFallback(),
	})
	return &fescuev1.TakePermitResponse{Granted: g.Granted, RetryAfterMs: uint32(g.RetryAfter.Milliseconds()), Ended: g.Ended}, nil
}
