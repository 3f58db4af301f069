package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against backoff delays outside their limits: shorter ones would overload a
// recovering key-value service, and longer ones delay a bundle.
func TestBackoffStaysWithinLimits(t *testing.T) {
	const rounds = 1000
	backoff := newBackoff(watchBackoffMin, watchBackoffMax)
	for range rounds {
		backoff.Reset()
		nominal := watchBackoffMin
		for range 10 {
			d := backoff.NextBackOff()
			assert.Assert(t, d >= nominal/2-time.Nanosecond && d <= nominal+time.Nanosecond, "delay %v at nominal delay %v", d, nominal)
			nominal = min(2*nominal, watchBackoffMax)
		}
	}
}
