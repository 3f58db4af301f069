package endpoint

import (
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
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

// inBackoff returns the refusal of an attempt that the engine or service does not want now, but
// after the given time.
func inBackoff(wait time.Duration) *fescuev1.NotRun {
	return &fescuev1.NotRun{
		Reason:       fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY,
		Detail:       "the backend wants no calls now",
		RetryAfterMs: uint64(wait.Milliseconds()),
	}
}
