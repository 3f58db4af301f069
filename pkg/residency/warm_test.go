package residency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sending a request to another server, which fetches the adapter from
// the weight store, although a server has a copy in main memory, and against expecting
// copies that are gone. Servers differ in the number of copies that they keep.
func TestWarmCopiesAreLearned(t *testing.T) {
	const maxAdapters, adapters = 3, 60
	for _, kept := range []int{5, 20, 40} {
		w := NewWarmCopies()
		now := start
		var copies []int // the most recently used last
		use := func(i int) {
			took := 250 * time.Millisecond
			for j, c := range copies {
				if c == i {
					took = 25 * time.Millisecond
					copies = append(copies[:j], copies[j+1:]...)
					break
				}
			}
			copies = append(copies, i)
			copies = copies[max(0, len(copies)-kept):]
			w.started(key(i), 0)
			now = now.Add(took)
			w.ended(key(i), took)
			w.observe(now, report(i), maxAdapters)
		}
		for round := range 6 {
			for i := range adapters {
				use((i*i + round) % adapters)
			}
		}
		assert.Assert(t, w.Count() >= min(kept, initialWarmFactor*maxAdapters)/2 && w.Count() <= max(kept, initialWarmFactor*maxAdapters), "%d of %d", w.Count(), kept)
	}
}

// Guards against taking a copy of an older version for one of the requested version.
func TestWarmCopiesDistinguishVersions(t *testing.T) {
	w := NewWarmCopies()
	w.observe(start, report(1), 3)
	w.started(key(1), 2)
	w.ended(key(1), 250*time.Millisecond)
	assert.Equal(t, w.Count(), 9)
}
