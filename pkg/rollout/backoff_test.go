package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against pauses outside of their bounds: shorter ones would overload a
// key-value service that recovers, longer ones delay a bundle.
func TestPausesStayWithinTheirBounds(t *testing.T) {
	const rounds = 1000
	pause := newBackoff(watchPauseMin, watchPauseMax)
	for range rounds {
		pause.Reset()
		whole := watchPauseMin
		for range 10 {
			d := pause.NextBackOff()
			assert.Assert(t, d >= whole/2-time.Nanosecond && d <= whole+time.Nanosecond, "pause %v of %v", d, whole)
			whole = min(2*whole, watchPauseMax)
		}
	}
}
