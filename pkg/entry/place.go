package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// admit is the filter that enforces the limits of the team.
type admit struct{ e *Entry }

func (admit) Name() string { return "admit" }

func (f admit) Do(ctx context.Context, x *Exchange, next Handler) *Failure {
	refusal, ok := f.e.limiter.Acquire(time.Now(), x.team, f.e.directory.Load().Entries)
	if !ok {
		return overLimit(string(refusal.Reason), refusal.RetryAfter)
	}
	defer f.e.limiter.Release(x.team.Team)
	return next(ctx, x)
}

// place is the filter that chooses the endpoint of an attempt.
type place struct{ e *Entry }

func (place) Name() string { return "place" }

func (f place) Do(ctx context.Context, x *Exchange, next Handler) *Failure {
	snapshot := f.e.directory.Load()
	d, err := f.choose(x, snapshot)
	if err != nil && f.restart(x, err) {
		d, err = f.choose(x, snapshot)
	}
	if errors.Is(err, placement.ErrNoEndpoint) && x.history.Last == retry.Unknown {
		// Every endpoint has been tried and the result of the last attempt is unknown.
		x.excluded = nil
		d, err = f.choose(x, snapshot)
	}
	line := f.e.log.For(logging.ComponentRoute).Info().Str("request", string(x.ID)).Int("attempt", int(x.attempt)).Str("adapter", x.adapter.String())
	if v := x.resumeVersion(); v != nil {
		line = line.Str("resumes_version", v.String()).Uint("resumes_events", x.response.received())
	}
	if err != nil {
		line.Str("reason", err.Error()).Msg("no endpoint chosen")
		return refusedPlacement(err)
	}
	line.Str("endpoint", string(d.Endpoint.ID)).Str("reason", d.Reason).Int("candidates", d.Candidates).Float("score", d.Score).Str("engine_version", d.Endpoint.EngineVersion.String()).Msg("endpoint chosen")
	x.endpoint = d.Endpoint
	x.group = snapshot.Group(membership.BackendKey{Kind: x.kind, Backend: x.backend})
	return next(ctx, x)
}

// restart prepares a request that cannot continue at any engine of the version that began
// its response to begin anew. It returns false if the caller already has a part of it.
func (f place) restart(x *Exchange, reason error) bool {
	began, events := x.resumeVersion(), x.response.received()
	if began == nil || !x.response.restart() {
		return false
	}
	f.e.log.For(logging.ComponentRoute).Info().Str("request", string(x.ID)).Str("began_with", began.String()).Uint("events", events).Str("reason", reason.Error()).Msg("response begins anew, no engine of its version")
	return true
}

// choose asks the placement policy for an endpoint, at first without suspected
// endpoints.
func (f place) choose(x *Exchange, s *membership.Snapshot) (placement.Decision, error) {
	r := x.placementRequest(time.Now(), f.e.zone)
	if suspected := f.e.connector.suspected(); len(suspected) > 0 {
		r.Excluded = slices.Concat(x.excluded, suspected)
		if d, err := f.e.policy.Place(r, s); err == nil {
			return d, nil
		}
		r.Excluded = x.excluded
	}
	return f.e.policy.Place(r, s)
}

func refusedPlacement(err error) *Failure {
	code := "no_endpoint"
	switch {
	case errors.Is(err, placement.ErrQueueFull):
		code = "queue_full"
	case errors.Is(err, placement.ErrDeadline):
		code = "deadline"
	}
	return unavailable(code, err.Error(), retryAfterCapacity)
}
