package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pause between watch calls that leaves too little of the time within
// which changes must be in force, and against entries that call the store more often than
// that time requires: with many entries these calls are a large part of all.
func TestWatchPauseFollowsTheTimeLimits(t *testing.T) {
	for _, c := range []struct{ config, drain, want time.Duration }{
		{2 * time.Second, 2 * time.Second, 900 * time.Millisecond},
		{4 * time.Second, 4 * time.Second, 1800 * time.Millisecond},
		{4 * time.Second, 2 * time.Second, 900 * time.Millisecond},
		{time.Second, 4 * time.Second, 450 * time.Millisecond},
		{8 * time.Second, 9 * time.Second, 2 * time.Second},
	} {
		set := Settings{ConfigLimit: c.config, DrainLimit: c.drain}
		assert.Equal(t, set.WatchPause(), c.want, "configuration %v, drain %v", c.config, c.drain)
	}
}
