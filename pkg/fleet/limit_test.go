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
	limit := func() float64 {
		if l, _, limited := r.Limit(); limited {
			return l
		}
		return math.Inf(1)
	}
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

// Guards against limits that processes keep alive by telling each other, and against a limit
// of its own that a process loses because others do not know it.
func TestLearnedLimit(t *testing.T) {
	r := NewRuntime()
	learned := time.Unix(1000, 0)
	r.LearnLimit(learned, 2)
	r.LearnLimit(learned.Add(time.Minute), 3)
	perSecond, at, limited := r.Limit()
	assert.Assert(t, limited && perSecond == 3 && at.Equal(learned))
	r.EndLearnedLimit()
	assert.Assert(t, !r.Limited())
	r.RecordLimit(learned, NamedLimit{Named: true, PerSecond: 1})
	r.LearnLimit(learned, 4)
	r.EndLearnedLimit()
	perSecond, _, limited = r.Limit()
	assert.Assert(t, limited && perSecond == 1)
	r.Throttle(learned.Add(time.Second))
	r.EndLimit()
	assert.Assert(t, !r.Limited() && r.ThrottledUntil().IsZero())
}

// Guards against a limit that is forgotten because the item of a server was missing for a
// moment, after an outage of the store, and against one that passes to another lifetime.
func TestLimitOutlivesAMissingItem(t *testing.T) {
	d := NewDirectory()
	now := time.Unix(1000, 0)
	e := Endpoint{ID: "s1", Service: "pool", Address: "127.0.0.1:1", State: Ready, Born: 1}
	runtime := func() *Runtime { return d.Snapshot().Services["pool"][0].Runtime }
	assert.Assert(t, d.SetEndpoint(now, e))
	runtime().RecordLimit(now, NamedLimit{Named: true, PerSecond: 2})
	assert.Assert(t, d.RemoveEndpoint(now, e.ID))
	assert.Assert(t, d.SetEndpoint(now.Add(time.Second), e))
	perSecond, _, limited := runtime().Limit()
	assert.Assert(t, limited && perSecond == 2)
	assert.Assert(t, d.RemoveEndpoint(now, e.ID))
	e.Born = 2
	assert.Assert(t, d.SetEndpoint(now.Add(2*time.Second), e))
	assert.Assert(t, !runtime().Limited())
}
