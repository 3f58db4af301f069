package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// Guards against a message for each stream where many begin at once, and against origins
// that are sent late.
func TestOriginsAreSentTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newOriginLink()
		began := time.Now()
		for i := range origin.StreamID(10) {
			l.add(origin.Record{Stream: i, At: time.Now()})
		}
		<-l.due
		assert.Equal(t, time.Since(began), originDelay)
		origins, next := l.since(0)
		assert.Equal(t, len(origins), 1)
		assert.Equal(t, len(origins[0].GetStreams()), 10)
		l.add(origin.Record{Stream: 10, At: time.Now()})
		<-l.due
		origins, _ = l.since(next)
		assert.DeepEqual(t, origins[0].GetStreams(), []uint64{10})
	})
}

// Guards against a sidecar that restarts and never gets the origins again, and against
// unbounded memory while one is unreachable.
func TestOriginsAreKeptForANewConnection(t *testing.T) {
	l := newOriginLink()
	now := time.Unix(1000, 0)
	for i := range origin.StreamID(maxLinkOrigins + 5) {
		l.add(origin.Record{Stream: i, At: now})
	}
	_, next := l.since(0)
	origins, _ := l.since(0)
	assert.Equal(t, len(origins[0].GetStreams()), maxLinkOrigins)
	l.add(origin.Record{Stream: 1 << 40, At: now.Add(origin.Retention + 1)})
	origins, _ = l.since(next)
	assert.DeepEqual(t, origins[0].GetStreams(), []uint64{1 << 40})
	origins, _ = l.since(0)
	assert.Equal(t, len(origins[0].GetStreams()), 1, "older origins are dropped")
}
