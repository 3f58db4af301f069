package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// attemptResult describes the end of one attempt.
type attemptResult struct {
	end    retry.Result
	reason fescuev1.NotRunReason
	detail string
	// timeout is true if the deadline passed.
	timeout bool
	// retryAfter is the endpoint's advice, or 0.
	retryAfter time.Duration
	// bundleVersion is the endpoint's bundle version, set with OLD_BUNDLE.
	bundleVersion ident.BundleVersion
}

// retryFilter repeats attempts as far as the request may be repeated.
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
		x.history.Expired = x.result.timeout || ctx.Err() != nil
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

// mayRepeat applies the rule and the budget. Refusals that cost the endpoint
// nothing do not count, so that a restart of many endpoints cannot use up the
// budget.
func (f retryFilter) mayRepeat(x *Exchange) bool {
	if !retry.MayRepeat(x.history, maxAttempts) {
		return false
	}
	f.e.metrics.retries.Inc(1)
	if x.history.Last == retry.NotRun && redirected(x.result.reason) {
		return true
	}
	if f.e.budget.TakeRetry(time.Now(), x.bundle.Deployment().RetryBudget, retry.DefaultMinRetries) {
		return true
	}
	f.e.log.For(logging.ComponentRoute).Info().Str("request", string(x.ID)).Str("reason", x.result.detail).Msg("retry refused, budget spent")
	return false
}

// redirected reports whether an endpoint refused an attempt without queueing it.
func redirected(r fescuev1.NotRunReason) bool {
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

// prepare readies the exchange for another attempt.
func (f retryFilter) prepare(ctx context.Context, x *Exchange) *Failure {
	if x.result.reason == fescuev1.NotRunReason_NOT_RUN_REASON_OLD_BUNDLE {
		return f.e.renewBundle(ctx, x, x.result.bundleVersion)
	}
	x.excluded = append(x.excluded, x.endpoint.ID)
	return nil
}

// interrupted ends a request whose next attempt could not be sent. An earlier
// attempt with an unknown result keeps the outcome unknown.
func (f retryFilter) interrupted(x *Exchange, fail *Failure) *Failure {
	if x.history.Uncertain {
		return f.failure(x)
	}
	return fail
}

// failure ends a request without an answer.
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
