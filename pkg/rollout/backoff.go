package rollout

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff gives jittered pauses that double up to a limit.
type backoff struct {
	min, max time.Duration
	next     time.Duration
}

func newBackoff(lowest, highest time.Duration) *backoff {
	return &backoff{min: lowest, max: highest, next: lowest}
}

func (b *backoff) reset() { b.next = b.min }

// pause returns the next pause, between half of it and the whole.
func (b *backoff) pause() time.Duration {
	d := b.next
	b.next = min(2*b.next, b.max)
	return jitter(d)
}

// wait pauses. It returns false if ctx ended.
func (b *backoff) wait(ctx context.Context) bool { return sleep(ctx, b.pause()) }

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
