package soak_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/soak"
)

// Guards against a check that passes over a server that got more requests than its limit, or
// that counts those of the time in which the entries learn of it.
func TestExceededLimitsAreFound(t *testing.T) {
	began := time.Unix(1000, 0)
	every := func(from, to, step time.Duration) (out []time.Time) {
		for at := from; at < to; at += step {
			out = append(out, began.Add(at))
		}
		return out
	}
	assert.Equal(t, len(soak.CheckLimit("s", began, every(0, 9*time.Second, 500*time.Millisecond))), 0)
	assert.Equal(t, len(soak.CheckLimit("s", began, every(0, 3*time.Second, time.Millisecond))), 0)
	assert.Equal(t, len(soak.CheckLimit("s", began, every(0, 9*time.Second, 200*time.Millisecond))), 1)
}
