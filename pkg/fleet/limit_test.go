package fleet

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a limit that ends with a single response that overtook others, that never
// ends, or that a value that cannot be read ends.
func TestLimitOfAServer(t *testing.T) {
	r := NewRuntime()
	now := time.Unix(1000, 0)
	limit := func() float64 { l, _ := r.Limit(); return l }
	none, malformed := NamedLimit{}, NamedLimit{Malformed: true}
	assert.Assert(t, math.IsInf(limit(), 1))
	assert.Assert(t, !r.RecordLimit(now, none))
	assert.Assert(t, r.RecordLimit(now, NamedLimit{Named: true, PerSecond: 2}))
	assert.Assert(t, !r.RecordLimit(now, NamedLimit{Named: true, PerSecond: 2}))
	assert.Assert(t, r.RecordLimit(now, NamedLimit{Named: true, PerSecond: 1.5}))
	for range 5 {
		assert.Assert(t, !r.RecordLimit(now.Add(limitLinger/2), none))
		assert.Assert(t, !r.RecordLimit(now.Add(2*limitLinger), malformed))
	}
	assert.Equal(t, limit(), 1.5)
	now = now.Add(time.Minute)
	assert.Assert(t, !r.RecordLimit(now, NamedLimit{Named: true, PerSecond: 1.5}))
	assert.Assert(t, !r.RecordLimit(now.Add(limitLinger), none))
	assert.Assert(t, r.RecordLimit(now.Add(limitLinger), none))
	assert.Assert(t, math.IsInf(limit(), 1))
}
