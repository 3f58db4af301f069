// Package pace estimates how much slower than usual a model server processes prompts.
//
// A server can be slow while its health check and its reports are good. Only the times to
// the first events of its responses show it, and each entry sees few of them, so the
// sidecar of the server combines the samples of all entries.
package pace

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which samples lose half of their weight.
	halfLife = 1500 * time.Millisecond
	// prior is the weight of the assumption that the server has its usual pace, as the
	// expected time of samples. It keeps single late events from counting, and it makes a
	// server that gets no requests count as recovered in the end.
	prior = 250 * time.Millisecond
	// tolerance is the slowdown up to which a server has its usual pace. Batching with
	// other requests delays first events by about that much.
	tolerance = 1.4
	// MaxSlowdown is the highest slowdown that is reported.
	MaxSlowdown = 8
)

// Samples are the sums of the expected and the actual times to the first events of some
// attempts at one server.
type Samples struct {
	Expected time.Duration
	Actual   time.Duration
}

// Add adds one attempt.
func (s *Samples) Add(expected, actual time.Duration) {
	s.Expected += expected
	s.Actual += actual
}

// Estimator estimates the slowdown of one lifetime of a server. The zero value has no
// samples. It is not safe for concurrent use.
type Estimator struct {
	expected, actual float64 // seconds, decayed up to at
	at               time.Time
}

// Add records samples.
func (e *Estimator) Add(now time.Time, s Samples) {
	if s.Expected <= 0 || s.Actual < 0 {
		return
	}
	e.expected, e.actual = e.decayed(now)
	e.at = now
	e.expected += s.Expected.Seconds()
	e.actual += s.Actual.Seconds()
}

// Slowdown returns the factor by which the server takes longer than usual, from 1 to
// MaxSlowdown.
func (e *Estimator) Slowdown(now time.Time) float64 {
	expected, actual := e.decayed(now)
	slowdown := (actual + prior.Seconds()) / (expected + prior.Seconds())
	if slowdown < tolerance {
		return 1
	}
	return min(slowdown, MaxSlowdown)
}

func (e *Estimator) decayed(now time.Time) (expected, actual float64) {
	weight := math.Exp2(-max(now.Sub(e.at), 0).Seconds() / halfLife.Seconds())
	return e.expected * weight, e.actual * weight
}
