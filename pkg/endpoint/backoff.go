package endpoint

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// backoff is the time for which the engine or service wants no calls. Of several times the
// latest end counts.
type backoff struct {
	mu    sync.Mutex
	until time.Time
}

func (b *backoff) record(now time.Time, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := now.Add(d); d > 0 && until.After(b.until) {
		b.until = until
	}
}

// remaining returns the time until calls are wanted again, or 0.
func (b *backoff) remaining(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.until.Sub(now), 0)
}

// clear ends the backoff, which belonged to an earlier lifetime of the engine.
func (b *backoff) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = time.Time{}
}

// callEngine makes a call of the engine, unless it wants none now. Both that and a refusal
// with a backoff give an upstream.BackoffError, and the engine has not executed the call.
// The call is named in logs.
func (e *Endpoint) callEngine(name string, call func() error) error {
	if wait := e.backoff.remaining(time.Now()); wait > 0 {
		return errors.Mark(&upstream.BackoffError{For: wait}, engine.ErrRefused)
	}
	err := call()
	e.recordRefusal(name, err)
	return err
}

// recordRefusal records the backoff of a refused call.
func (e *Endpoint) recordRefusal(name string, err error) {
	var refused *upstream.BackoffError
	if errors.As(err, &refused) {
		e.recordBackoff(name, refused.For)
	}
}

// recordBackoff records that the engine or service wants no calls for the given time, as it
// has answered the named call.
func (e *Endpoint) recordBackoff(name string, d time.Duration) {
	e.backoff.record(time.Now(), d)
	e.log.For(logging.ComponentEndpoint).Info().
		Str("call", name).
		Dur("backoff_ms", d).
		Msg("backend asks for a backoff")
}

// inBackoff returns the refusal of an attempt that the engine or service does not want now, but
// after the given time.
func inBackoff(wait time.Duration) *fescuev1.NotRun {
	return &fescuev1.NotRun{
		Reason:       fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY,
		Detail:       "the backend wants no calls now",
		RetryAfterMs: uint64(wait.Milliseconds()),
	}
}
