package soak

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// streamPart returns a record of an attempt at a resumable stream that brought the
// events after lastEvent up to end, made at one software version.
func streamPart(id string, lastEvent, end int, software string) *requestRecord {
	r := &requestRecord{id: id, route: testRoutes[1], status: http.StatusOK, lastEvent: lastEvent}
	for i := lastEvent + 1; i <= end; i++ {
		r.body += platform.EventText(id, i, software)
	}
	r.events, _ = parseEvents(r.body)
	r.complete = end == streamEvents
	return r
}

// Guards against a soak test that accepts events of two software versions in one stream,
// within one response or over the attempts of a caller.
func TestMixedSoftwareVersionsAreFound(t *testing.T) {
	moved := streamPart("r1", 0, 5, "v1")
	moved.body += streamPart("r1", 5, streamEvents, "v2").body
	moved.events, _ = parseEvents(moved.body)
	for name, c := range map[string]struct {
		attempts []*requestRecord
		found    int
	}{
		"same version":    {attempts: []*requestRecord{streamPart("r1", 0, 5, "v1"), streamPart("r2", 5, streamEvents, "v1")}},
		"not begun":       {attempts: []*requestRecord{{id: "r1", route: testRoutes[1]}, streamPart("r2", 0, streamEvents, "v2")}},
		"over attempts":   {attempts: []*requestRecord{streamPart("r1", 0, 5, "v1"), streamPart("r2", 5, streamEvents, "v2")}, found: 1},
		"in one response": {attempts: []*requestRecord{moved}, found: 1},
	} {
		var s streamRecord
		for _, r := range c.attempts {
			s.add(r)
			assert.Equal(t, len(checkStream(r)), 0, name)
		}
		assert.Equal(t, len(s.check()), c.found, name)
	}
}

// Guards against a cut stream that passes because it was resumed, and against events
// that are missing, repeated or of another request.
func TestBrokenStreamsAreFound(t *testing.T) {
	short := streamPart("r2", 5, 9, "v1")
	short.complete = true
	skipped := streamPart("r2", 6, 9, "v1")
	skipped.lastEvent = 5
	foreign := streamPart("r1", 5, 9, "v1")
	foreign.id = "r2"
	closed := streamPart("r2", 5, 9, "v1")
	closed.closed = true
	inside := streamPart("r2", 5, 9, "v1")
	inside.closed, inside.body = true, inside.body+"id: 10\nda"
	empty := streamPart("r2", 5, 5, "v1")
	empty.closed = true
	for name, c := range map[string]struct {
		r     *requestRecord
		found bool
	}{
		"cut":                   {r: streamPart("r2", 5, 9, "v1")},
		"complete":              {r: streamPart("r2", 5, streamEvents, "v1")},
		"cut, framed complete":  {r: short, found: true},
		"missing event":         {r: skipped, found: true},
		"events of another one": {r: foreign, found: true},
		"closed after an event": {r: closed},
		"closed in an event":    {r: inside, found: true},
		"closed without events": {r: empty, found: true},
	} {
		assert.Equal(t, len(checkStream(c.r)) > 0, c.found, name)
	}
}

// Guards against a run on memory of other versions that is counted and not reported.
func TestStaleRunsAreFound(t *testing.T) {
	var r Report
	r.addRuns(map[string][]platform.Run{
		"r1": {{Fetched: true, Weights: 1}},
		"r2": {{Fetched: true, Weights: 2, StaleMemory: []platform.StalePart{{ID: "aa", MadeUnder: platform.MemoryVersion{Weights: 1}}}}},
	})
	assert.Equal(t, r.Fetches, 2)
	assert.Equal(t, len(r.Violations), 1)
}

// Guards against resumed streams that are refused or lost while new ones are served, and
// against counting those that met a fault.
func TestShareOfResumedStreams(t *testing.T) {
	var streams []*streamRecord
	add := func(n int, r *requestRecord) {
		for range n {
			streams = append(streams, &streamRecord{attempts: []*requestRecord{r}})
		}
	}
	served, refused := streamPart("r1", 0, 5, "v1"), &requestRecord{status: http.StatusServiceUnavailable, lastEvent: 5}
	served.undisturbed = true
	add(20, served)
	add(minResumed, refused)
	assert.Equal(t, len(CheckShares(streamShares(streams))), 0)
	refused.undisturbed = true
	assert.Equal(t, len(CheckShares(streamShares(streams))), 1)
	wentOn := streamPart("r2", 5, 9, "v1")
	wentOn.undisturbed = true
	add(minResumed, wentOn)
	assert.Equal(t, len(CheckShares(streamShares(streams))), 0)
}

// Guards against a process that counts as undisturbed during a fault, soon after it, or
// soon after a fault of the store that it began in, and against one that never does
// because faults of the store end often.
func TestDisturbances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d disturbance
		d.mark()
		time.Sleep(undisturbedTime + time.Millisecond)
		assert.Assert(t, d.undisturbedAt(time.Now()))
		assert.Assert(t, !d.undisturbedAt(time.Now().Add(-2*time.Millisecond)))
		end := d.begin()
		time.Sleep(time.Minute)
		assert.Assert(t, !d.undisturbedAt(time.Now()))
		end()
		assert.Assert(t, !d.undisturbedAt(time.Now()))
		time.Sleep(undisturbedTime + time.Millisecond)
		assert.Assert(t, d.undisturbedAt(time.Now()))
		d.prolong(time.Now().Add(-undisturbedTime / 2))
		assert.Assert(t, d.undisturbedAt(time.Now()))
		d.prolong(time.Now().Add(-2 * undisturbedTime))
		assert.Assert(t, !d.undisturbedAt(time.Now()))
		time.Sleep(undisturbedTime + time.Millisecond)
		assert.Assert(t, d.undisturbedAt(time.Now()))
	})
}
