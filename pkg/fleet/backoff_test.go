package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func asks(d time.Duration) Backoff { return Backoff{Asked: true, For: d} }

// Guards against a backoff that a response which was overtaken, or one without a request for a
// backoff, shortens or ends.
func TestLatestEndOfABackoffCounts(t *testing.T) {
	now := time.Now()
	r := NewRuntime()
	assert.Assert(t, r.Admits(now))
	assert.Assert(t, r.RecordBackoff(now, asks(3*time.Second)))
	assert.Assert(t, !r.RecordBackoff(now.Add(time.Second), asks(time.Second)))
	assert.Assert(t, !r.RecordBackoff(now.Add(time.Second), asks(0)))
	assert.Assert(t, !r.RecordBackoff(now.Add(time.Second), Backoff{}))
	assert.Assert(t, !r.RecordBackoff(now.Add(time.Second), Backoff{Malformed: true}))
	assert.Assert(t, !r.Admits(now.Add(2990*time.Millisecond)))
	assert.Assert(t, r.Admits(now.Add(3*time.Second)))
	assert.Assert(t, r.RecordBackoff(now.Add(time.Second), asks(5*time.Second)))
	assert.Assert(t, !r.Admits(now.Add(5900*time.Millisecond)))
}

// Guards against all load that returns to a server at the end of its backoff.
func TestLoadReturnsBySlowStart(t *testing.T) {
	now := time.Now()
	r := NewRuntime()
	r.RecordBackoff(now, asks(time.Second))
	now = now.Add(time.Second)
	for _, want := range []int{1, 2, 4, 8, 16} {
		batch := admitAll(r, now)
		assert.Equal(t, len(batch), want)
		for _, a := range batch {
			a.Answered()
			a.Ended() // no effect
		}
	}
	assert.Equal(t, len(admitAll(r, now)), manyRequests, "the load has returned")
}

// Guards against load that never returns, or returns at once, because the first requests after
// a backoff get no response.
func TestSlowStartWithoutResponses(t *testing.T) {
	now := time.Now()
	r := NewRuntime()
	r.RecordBackoff(now, asks(time.Second))
	now = now.Add(time.Second)
	lost := admitAll(r, now)
	assert.Equal(t, len(lost), 1)
	lost[0].Ended()
	assert.Equal(t, len(admitAll(r, now)), 1)
	assert.Equal(t, len(admitAll(r, now.Add(slowStartTimeout))), 0)
	assert.Equal(t, len(admitAll(r, now.Add(slowStartTimeout+time.Millisecond))), 1)
}

// Guards against a response to a request from before a backoff that counts as one after it.
func TestAdmissionBelongsToOneBackoff(t *testing.T) {
	now := time.Now()
	r := NewRuntime()
	r.RecordBackoff(now, asks(time.Second))
	now = now.Add(time.Second)
	early, ok := r.Admit(now)
	assert.Assert(t, ok)
	r.RecordBackoff(now, asks(time.Second))
	now = now.Add(time.Second)
	early.Answered()
	assert.Equal(t, len(admitAll(r, now)), 1)
}

const manyRequests = 100

// admitAll asks for many admissions and returns those that are granted.
func admitAll(r *Runtime, now time.Time) []*Admission {
	var out []*Admission
	for range manyRequests {
		if a, ok := r.Admit(now); ok {
			out = append(out, a)
		}
	}
	return out
}
