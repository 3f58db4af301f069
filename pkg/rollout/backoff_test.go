package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against backoff delays outside their limits: shorter ones would overload a
// recovering key-value store, and longer ones delay a bundle.
func TestPausesStayWithinTheirBounds(t *testing.T) {
	const rounds = 1000
	pause := newBackoff(watchBackoffMin, watchBackoffMax)
	for range rounds {
		pause.Reset()
		whole := watchBackoffMin
		for range 10 {
			d := pause.NextBackOff()
			assert.Assert(t, d >= whole/2-time.Nanosecond && d <= whole+time.Nanosecond, "pause %v of %v", d, whole)
			whole = min(2*whole, watchBackoffMax)
		}
	}
}
