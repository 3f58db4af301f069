package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// newBackoff returns an exponential backoff whose nominal delay starts at lowest and
// doubles up to highest. Each delay is random between half the nominal delay and
// the full one, so that nodes that failed at the same time do not retry at the
// same time.
func newBackoff(lowest, highest time.Duration) *backoff.ExponentialBackOff {
	// 3/4 of the nominal delay, randomized by a third, is between one half of it
	// and the full delay.
	return &backoff.ExponentialBackOff{
		InitialInterval:     lowest * 3 / 4,
		MaxInterval:         highest * 3 / 4,
		Multiplier:          2,
		RandomizationFactor: 1.0 / 3,
	}
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
