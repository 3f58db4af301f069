package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sending requests to servers that have left or are leaving because
// the store has returned to a copy in which they were ready.
func TestRestoredItemsDoNotReviveEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	ready := func(id ID, born int64) Endpoint { return Endpoint{ID: id, State: Ready, Born: born} }
	draining := func(id ID, born int64) Endpoint { return Endpoint{ID: id, State: Draining, Born: born} }
	d := NewDirectory()
	d.SetEndpoint(now, ready("gone", 1))
	d.RemoveEndpoint(now, "gone")
	d.SetEndpoint(now, draining("leaving", 1))

	assert.Assert(t, !d.RestoreEndpoint(now, ready("gone", 1)))
	assert.Assert(t, !d.RestoreEndpoint(now, ready("leaving", 1)))
	assert.Equal(t, len(d.endpoints), 1)
	assert.Equal(t, d.endpoints["leaving"].State, Draining)

	assert.Assert(t, d.RestoreEndpoint(now, ready("leaving", 2)), "another lifetime")
	assert.Assert(t, d.RestoreEndpoint(now, ready("new", 1)), "an endpoint that is not known")
	assert.Assert(t, d.SetEndpoint(now, ready("gone", 1)), "a write of the endpoint itself")
	assert.Equal(t, len(d.endpoints), 3)
}

// Guards against an adapter version or a configuration that goes back.
func TestVersionsOnlyIncrease(t *testing.T) {
	d := NewDirectory()
	v := AdapterVersion{Model: "m", Adapter: "a", Version: 3}
	assert.Assert(t, d.SetVersion(time.Unix(1000, 0), v))
	v.Version = 2
	assert.Assert(t, !d.SetVersion(time.Unix(1001, 0), v))
	assert.Equal(t, d.versions[AdapterKey{Model: "m", Name: "a"}].Newest(), 3)
}

// Guards against a server that takes requests again after it has said that it leaves, because its
// item was missing for long and other servers were removed meanwhile.
func TestLeavingServerIsRemembered(t *testing.T) {
	d := NewDirectory()
	began := time.Now()
	for _, id := range []ID{"leaves", "other"} {
		d.SetEndpoint(began, Endpoint{ID: id, State: Ready, Born: 1})
	}
	d.endpoints["leaves"].Runtime.RecordLeaving()
	d.RemoveEndpoint(began, "leaves")
	d.RemoveEndpoint(began.Add(30*time.Minute), "other")
	d.SetEndpoint(began.Add(31*time.Minute), Endpoint{ID: "leaves", State: Ready, Born: 1})
	assert.Assert(t, d.endpoints["leaves"].Runtime.Leaving())
	d.SetEndpoint(began.Add(32*time.Minute), Endpoint{ID: "leaves", State: Ready, Born: 2})
	assert.Assert(t, !d.endpoints["leaves"].Runtime.Leaving())
}
