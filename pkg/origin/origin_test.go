package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start = time.Unix(1000, 0)
	v1    = Origin{Service: "pool", SoftwareVersion: "v1"}
	v2    = Origin{Service: "pool", SoftwareVersion: "v2"}
)

// Guards against an origin that changes when a stream is reported again, and against one
// that is kept beyond the retention.
func TestRegistryKeepsTheFirstOrigin(t *testing.T) {
	r := NewRegistry()
	r.Add(Record{Stream: 1, Origin: v1, At: start})
	r.Add(Record{Stream: 1, Origin: v2, At: start.Add(time.Second)})
	o, ok := r.Find(start.Add(Retention), 1)
	assert.Assert(t, ok)
	assert.Equal(t, o, v1)
	_, ok = r.Find(start.Add(Retention+1), 1)
	assert.Assert(t, !ok)
}

// Guards against unbounded memory under a high rate of streams.
func TestRegistryIsBounded(t *testing.T) {
	r := NewRegistry()
	for i := range StreamID(maxRecords + 10) {
		r.Add(Record{Stream: i, Origin: v1, At: start})
	}
	assert.Equal(t, len(r.origins), maxRecords)
	_, ok := r.Find(start, 0)
	assert.Assert(t, !ok, "the oldest record must be dropped")
	_, ok = r.Find(start, maxRecords+9)
	assert.Assert(t, ok)
}

// Guards against moving all records, with the mutex held, at each new one once records
// expire at the rate at which they are added.
func TestRegistryRarelyMovesItsRecords(t *testing.T) {
	r := NewRegistry()
	const live = 1000
	moves := 0
	for i := range StreamID(10 * live) {
		first := StreamID(0)
		if len(r.order) > 0 {
			first = r.order[0].Stream
		}
		r.Add(Record{Stream: i, Origin: v1, At: start.Add(Retention * time.Duration(i) / live)})
		if r.order[0].Stream != first {
			moves++
		}
		assert.Assert(t, len(r.origins) <= live+1)
		assert.Assert(t, len(r.order) <= 2*(live+1), "%d records kept", len(r.order))
	}
	assert.Assert(t, moves <= 10, "moved %d times", moves)
}

// Guards against taking one software version for the only one of a service while streams
// of another one are still resumed.
func TestRegistryListsRecentVersions(t *testing.T) {
	r := NewRegistry()
	r.Add(Record{Stream: 1, Origin: v1, At: start})
	r.Add(Record{Stream: 2, Origin: v2, At: start.Add(time.Second)})
	r.Add(Record{Stream: 3, Origin: Origin{Service: "desk", SoftwareVersion: "v3"}, At: start})
	assert.DeepEqual(t, r.Versions(start, "pool"), []string{"v1", "v2"})
	assert.DeepEqual(t, r.Versions(start.Add(Retention+1), "pool"), []string{"v2"})
	assert.Equal(t, len(r.Versions(start.Add(2*Retention), "pool")), 0)
}
