package sidecar

import (
	"context"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/quota"
)

// LeaseCredit implements fescuev1.ResidencyServer.
func (h *hub) LeaseCredit(ctx context.Context, r *fescuev1.LeaseCreditRequest) (*fescuev1.LeaseCreditResponse, error) {
	if err := ctx.Err(); err != nil {
		return nil, err //nolint:wrapcheck // the entry does not wait any more
	}
	g := h.quotas.Lease(time.Now(), quota.Demand{
		Entry:    r.GetEntryId(),
		Team:     r.GetTeam(),
		Limit:    quota.Limit{PerSecond: r.GetRatePerSecond(), Burst: r.GetBurst(), Version: r.GetConfigVersion()},
		Needed:   r.GetNeeded(),
		Expected: r.GetExpected(),
		Unspent:  r.GetUnspent(),
		Lifetime: time.Duration(r.GetLifetimeMs()) * time.Millisecond,
		Settled:  time.Duration(r.GetSettledMs()) * time.Millisecond,
	})
	return &fescuev1.LeaseCreditResponse{
		Granted:        g.Credit,
		RetryAfterMs:   uint32(g.RetryAfter.Milliseconds()),
		SpentPerSecond: g.SpentPerSecond,
	}, nil
}
