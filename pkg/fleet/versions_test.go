package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a required version that goes back, that comes earlier than the grace
// allows or later than its own grace, and against a record that grows with a long
// series of announcements.
func TestRequiredVersionOfASeries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		var (
			v    Versions
			at   []time.Time // of version i+2
			last int
			now  = start
		)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "announced") {
				at = append(at, now)
				v, _ = v.announce(now, len(at)+1)
			}
			required := v.Required(now)
			assert.Assert(t, required >= last, "%d after %d", required, last)
			assert.Equal(t, v.Newest() > 0, len(at) > 0)
			assert.Assert(t, len(v.pending) <= int(VersionGrace/announcementSpacing)+1)
			for i, a := range at {
				if now.Sub(a) >= VersionGrace {
					assert.Assert(t, required >= i+2, "version %d is not required after %v", i+2, now.Sub(a))
				}
				if now.Sub(a) < VersionGrace-announcementSpacing {
					assert.Assert(t, required < i+2, "version %d is required after %v", i+2, now.Sub(a))
				}
			}
			last = required
		}
	})
}

// Guards against a repeated or an older announcement that changes what may serve.
func TestOlderAnnouncementsHaveNoEffect(t *testing.T) {
	start := time.Unix(1000, 0)
	v, ok := Versions{}.announce(start, 5)
	assert.Assert(t, ok)
	for _, version := range []int{5, 4} {
		_, ok = v.announce(start.Add(time.Second), version)
		assert.Assert(t, !ok)
	}
	later, ok := v.announce(time.Time{}, 6) // a version read in the first list
	assert.Assert(t, ok)
	assert.Equal(t, later.Required(start.Add(VersionGrace-1)), 0)
	assert.Equal(t, later.Required(start.Add(VersionGrace)), 6)
}
