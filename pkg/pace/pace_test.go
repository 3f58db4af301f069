package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/pace"
)

var start = time.Unix(1000, 0)

// feed adds samples of the given slowdown at the given interval for a time, and returns the
// end of that time. Single samples vary by half in both directions.
func feed(e *pace.Estimator, from time.Time, slowdown float64, every, during time.Duration, rng *rand.Rand) time.Time {
	for at := from; at.Before(from.Add(during)); at = at.Add(every) {
		expected := time.Duration(20+rng.IntN(240)) * time.Millisecond
		var s pace.Samples
		s.Add(expected, time.Duration(float64(expected)*slowdown*(0.5+rng.Float64())))
		e.Add(at, s)
	}
	return from.Add(during)
}

// Guards against a slow server that keeps its share of the requests because its health
// check is good, and against one that is avoided for good after it has recovered.
func TestSlowServerIsKnownWithinSecondsAndForgotten(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var e pace.Estimator
		now := feed(&e, start, 1, 270*time.Millisecond, 10*time.Second, rng)
		now = feed(&e, now, 3.5, 270*time.Millisecond, 2*time.Second, rng)
		assert.Assert(t, e.Slowdown(now) > 1, "seed %d: slowdown %.2f after 2 s of 3.5", seed, e.Slowdown(now))
		recovered := feed(&e, now, 1, 270*time.Millisecond, 4*time.Second, rng)
		assert.Assert(t, e.Slowdown(recovered) < 3.5/2, "seed %d: slowdown %.2f after recovery", seed, e.Slowdown(recovered))
		idle := now.Add(10 * time.Second)
		assert.Equal(t, e.Slowdown(idle), 1.0, "seed %d: without requests", seed)
	}
}

// Guards against a server of the usual pace that counts as slow because of a single late
// event or a busy batch.
func TestUsualPaceIsTolerated(t *testing.T) {
	var e pace.Estimator
	assert.Equal(t, e.Slowdown(start), 1.0, "without samples")
	e.Add(start, pace.Samples{Expected: 20 * time.Millisecond, Actual: 100 * time.Millisecond})
	assert.Equal(t, e.Slowdown(start), 1.0, "one late event")
	busy := pace.Estimator{}
	for i := range 50 {
		busy.Add(start.Add(time.Duration(i)*100*time.Millisecond), pace.Samples{Expected: 100 * time.Millisecond, Actual: 135 * time.Millisecond})
	}
	assert.Equal(t, busy.Slowdown(start.Add(5*time.Second)), 1.0, "a busy batch")
}

// Guards against samples that make no sense, which a peer could send.
func TestSlowdownStaysInItsRange(t *testing.T) {
	var e pace.Estimator
	e.Add(start, pace.Samples{Expected: -time.Second, Actual: time.Second})
	e.Add(start, pace.Samples{Expected: 0, Actual: time.Hour})
	e.Add(start, pace.Samples{Expected: time.Second, Actual: -time.Hour})
	assert.Equal(t, e.Slowdown(start), 1.0)
	e.Add(start, pace.Samples{Expected: time.Second, Actual: time.Hour})
	assert.Equal(t, e.Slowdown(start), float64(pace.MaxSlowdown))
	assert.Equal(t, e.Slowdown(start.Add(-time.Second)), float64(pace.MaxSlowdown), "a time before the last sample")
}
