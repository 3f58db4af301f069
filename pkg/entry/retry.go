package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	end    retry.Result
	reason fescuev1.NotRunReason
	// cause is why the attempt was cancelled before it got a complete response, or
	// endcause.None.
	cause  endcause.Cause
	detail string
	// timeout is true if the attempt ended because of the deadline or after it.
	timeout bool
	// retryAfter is the delay before a retry that the endpoint suggests, or 0.
	retryAfter time.Duration
	// bundleVersion is the endpoint's bundle version. It is set if reason is
	// OLD_BUNDLE.
	bundleVersion ident.BundleVersion
}

// retryFilter is the filter that retries failed attempts within the retry rules and
// the retry budget.
type retryFilter struct{ e *Entry }

func (retryFilter) Name() string { return "retry" }

func (f retryFilter) Do(ctx context.Context, x *Exchange, next Handler) *Failure {
	f.e.budget.RecordRequest(time.Now())
	for {
		x.attempt++
		if fail := next(ctx, x); fail != nil {
			return f.interrupted(x, fail)
		}
		x.history.Record(x.result.end)
		x.history.Expired = x.result.timeout || endcause.Of(ctx) != endcause.None
		if x.history.Last == retry.Answered || x.history.Last == retry.CallerGone {
			return nil
		}
		if !f.mayRepeat(x) {
			return f.failure(x)
		}
		if fail := f.prepare(ctx, x); fail != nil {
			return f.interrupted(x, fail)
		}
	}
}

// mayRepeat applies the retry rules and the retry budget. Refusals before queueing
// cost the endpoint nothing and are not charged to the budget, so that a restart of
// many endpoints cannot exhaust it.
func (f retryFilter) mayRepeat(x *Exchange) bool {
	if !retry.MayRepeat(x.history, maxAttempts) {
		return false
	}
	f.e.metrics.retries.Inc(1)
	if x.history.Last == retry.NotRun && refusedUnqueued(x.result.reason) {
		return true
	}
	slack := retry.MinRetries(f.e.directory.Load().Entries)
	if f.e.budget.TakeRetry(time.Now(), x.bundle.Deployment().RetryBudget, slack) {
		return true
	}
	f.e.log.For(logging.ComponentRoute).Info().Str("request", string(x.ID)).Str("reason", x.result.detail).Msg("retry refused, budget spent")
	return false
}

// refusedUnqueued reports whether the reason means that the endpoint refused the
// attempt without queueing it.
func refusedUnqueued(r fescuev1.NotRunReason) bool {
	switch r {
	case fescuev1.NotRunReason_NOT_RUN_REASON_LEAVING,
		fescuev1.NotRunReason_NOT_RUN_REASON_WRONG_INCARNATION,
		fescuev1.NotRunReason_NOT_RUN_REASON_OLD_BUNDLE,
		fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY,
		fescuev1.NotRunReason_NOT_RUN_REASON_NO_AUTHORITY,
		fescuev1.NotRunReason_NOT_RUN_REASON_STALE_ATTEMPT:
		return true
	default:
		return false
	}
}

// prepare prepares the request for another attempt. It renews the bundle if the
// endpoint has a newer one, and otherwise excludes the endpoint.
func (f retryFilter) prepare(ctx context.Context, x *Exchange) *Failure {
	if x.result.reason == fescuev1.NotRunReason_NOT_RUN_REASON_OLD_BUNDLE {
		return f.e.renewBundle(ctx, x, x.result.bundleVersion)
	}
	x.excluded = append(x.excluded, x.endpoint.ID)
	return nil
}

// interrupted returns the Failure of a request whose next attempt could not be sent.
// If the result of an earlier attempt is unknown, the outcome stays unknown.
func (f retryFilter) interrupted(x *Exchange, fail *Failure) *Failure {
	if x.history.Uncertain {
		return f.failure(x)
	}
	return fail
}

// failure returns the Failure of a request after its last attempt.
func (f retryFilter) failure(x *Exchange) *Failure {
	last := x.result
	if x.history.Outcome() == ident.Unknown {
		fail := unknownResult(unknownStatus(last), "result_unknown", "the request was sent and its result is not known: "+last.detail)
		if x.idempotent || x.key != "" {
			fail.RetryAfter = retryAfterUnknown
		}
		return fail
	}
	code := "not_run"
	if last.reason == fescuev1.NotRunReason_NOT_RUN_REASON_DEADLINE {
		code = "deadline"
	}
	return unavailable(code, "the request was not run: "+last.reason.String(), max(last.retryAfter, retryAfterCapacity))
}

func unknownStatus(last attemptResult) int {
	if last.timeout {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
