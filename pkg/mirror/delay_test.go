package mirror

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

const (
	// maxDelay limits the time from the first response of a store that is back until a
	// configuration is applied.
	maxDelay = 500 * time.Millisecond
	// retryInterval is how often a store that does not respond is tried.
	retryInterval = 500 * time.Millisecond
)

// runRemote starts a mirror of a store with a configuration, the given number of adapters
// and ten servers, and calls fn once everything is applied.
func runRemote(t *testing.T, adapters int, fn func(s *remoteStore, m *appliedItems)) {
	synctest.Test(t, func(t *testing.T) {
		s := newRemoteStore()
		s.put(t, "a/config", "1")
		for i := range adapters {
			s.put(t, fmt.Sprintf("b/version/%06d", i), "1")
		}
		for i := range 10 {
			s.put(t, fmt.Sprintf("c/server/%d", i), "1")
		}
		m := &appliedItems{items: map[string]string{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go New(s, "", m.apply, logging.Nop()).Run(ctx)
		for m.get("c/server/9") == "" {
			time.Sleep(100 * time.Millisecond)
		}
		fn(s, m)
		cancel()
		s.set(false, true)
		time.Sleep(time.Minute)
	})
}

// appliedWithin waits until the configuration has the given value and returns how long
// that took.
func appliedWithin(t *testing.T, m *appliedItems, value string) time.Duration {
	t.Helper()
	began := time.Now()
	for m.get("a/config") != value {
		time.Sleep(time.Millisecond)
		if time.Since(began) > time.Minute {
			t.Fatal("the configuration was not applied")
		}
	}
	return time.Since(began)
}

// Guards against a configuration that waits for the items of other servers: after an
// outage of 200 ms, with one server gone, it was applied 1.8 s after it was written.
func TestConfigurationDoesNotWaitForMissingItems(t *testing.T) {
	for _, adapters := range []int{300, 10_000, 98_000} {
		t.Run(fmt.Sprintf("%d adapters", adapters), func(t *testing.T) {
			runRemote(t, adapters, func(s *remoteStore, m *appliedItems) {
				for i := range 3 { // one failure after the other
					s.set(false, true)
					time.Sleep(200 * time.Millisecond)
					s.remove(t, fmt.Sprintf("c/server/%d", i))
					s.set(false, false)
					time.Sleep(300 * time.Millisecond)
					value := fmt.Sprintf("after failure %d", i)
					s.put(t, "a/config", value)
					took := appliedWithin(t, m, value)
					assert.Check(t, took <= maxDelay, "applied after %v", took)
					t.Logf("applied after %v", took)
				}
			})
		})
	}
}

// Guards against an entry that serves an old configuration because a list call that began
// while the store was silent is waited out, and the next attempt is delayed further.
func TestConfigurationAfterASilentStore(t *testing.T) {
	for _, silence := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 3100 * time.Millisecond, 5 * time.Second, 7300 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			runRemote(t, 300, func(s *remoteStore, m *appliedItems) {
				s.set(true, false)
				time.Sleep(silence)
				s.remove(t, "c/server/0")
				s.set(false, false)
				s.put(t, "a/config", "2")
				took := appliedWithin(t, m, "2")
				assert.Check(t, took <= max(hangingWatch-silence, 0)+retryInterval+maxDelay, "applied after %v", took)
				t.Logf("applied after %v", took)
			})
		})
	}
}

// Guards against servers that get no requests because their items expired in a silence of
// the store that only the watch has noticed: they write them again within the grace period.
func TestItemsThatExpireInASilenceAreKept(t *testing.T) {
	runRemote(t, 300, func(s *remoteStore, m *appliedItems) {
		s.set(true, false)
		time.Sleep(time.Second)
		s.remove(t, "c/server/1")
		s.set(false, false)
		time.Sleep(hangingWatch + missingItemGrace/2)
		assert.Check(t, m.get("c/server/1") == "1", "the item is gone")
		time.Sleep(missingItemGrace)
		assert.Check(t, m.get("c/server/1") == "", "the item is still there")
	})
}

// Guards against a configuration that waits for the end of a long list, which a process
// reads again when the store has dropped its history.
func TestConfigurationDoesNotWaitForAList(t *testing.T) {
	runRemote(t, 98_000, func(s *remoteStore, m *appliedItems) {
		s.set(false, true)
		s.compact = true
		time.Sleep(200 * time.Millisecond)
		s.remove(t, "c/server/1")
		s.put(t, "b/version/097999", "2")
		s.put(t, "a/config", "2")
		s.set(false, false)
		took := appliedWithin(t, m, "2")
		assert.Check(t, took <= maxDelay, "applied after %v", took)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, m.get("b/version/097999") == "1", "the list has ended already")
		s.put(t, "a/config", "3")
		took = appliedWithin(t, m, "3")
		assert.Check(t, took <= maxDelay, "applied after %v", took)
		time.Sleep(maxBackoff + 2*missingItemGrace)
		assert.Check(t, m.get("b/version/097999") == "2")
		assert.Check(t, m.get("c/server/1") == "")
	})
}

// Guards against a server that is lost for a moment because the watch repeats its removal
// after a list has shown that it is back: its state and its connections would be dropped.
func TestItemsThatAreBackAreNotRemoved(t *testing.T) {
	runRemote(t, 1200, func(s *remoteStore, m *appliedItems) {
		removed := false
		m.lock(func() {
			m.onChange = func(c *Change) { removed = removed || c.Deleted }
		})
		s.set(false, false) // ends the watch
		time.Sleep(time.Millisecond)
		s.remove(t, "a/config")
		s.put(t, "a/config", "2")
		time.Sleep(maxBackoff + 2*missingItemGrace)
		m.lock(func() {
			assert.Check(t, m.items["a/config"] == "2")
			assert.Check(t, !removed, "the item was removed")
		})
	})
}

// Guards against a page that is changed while the next one is being read: the list would go
// on at a wrong key. Run with the race detector.
func TestPagesAreNotChanged(t *testing.T) {
	pairs := []kv.Pair{{Key: "a", ModRevision: 3}, {Key: "b", ModRevision: 4}}
	r := newReading()
	r.onDelete(kv.Pair{Key: "b", ModRevision: 5})
	kept := r.withoutDeleted(pairs)
	assert.Equal(t, len(kept), 1)
	assert.Equal(t, kept[0].Key, "a")
	assert.Equal(t, pairs[1].Key, "b")
}

// Guards against processes that list all items again after each failure: at the target
// size, 3,130 processes would read 200 pages each from a store that returns.
func TestAFailureReadsFewPages(t *testing.T) {
	runRemote(t, 98_000, func(s *remoteStore, m *appliedItems) {
		before := s.pages
		for i := range 5 {
			s.set(false, true)
			time.Sleep(time.Second)
			s.put(t, fmt.Sprintf("b/version/%06d", i), "2")
			s.remove(t, fmt.Sprintf("c/server/%d", i))
			s.set(false, false)
			time.Sleep(maxBackoff + 2*missingItemGrace)
			assert.Check(t, m.get(fmt.Sprintf("b/version/%06d", i)) == "2")
			assert.Check(t, m.get(fmt.Sprintf("c/server/%d", i)) == "", "the item is still there")
		}
		assert.Check(t, s.pages-before <= 3*5, "%d pages", s.pages-before)
	})
}

// Guards against items that come back although they were removed while pages of a list
// were being read or while the store was unavailable, and against a copy that differs
// from the store for good.
func TestRemovedItemsStayRemoved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			kind string
			item int
			wait time.Duration
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				kind: rapid.SampledFrom([]string{"remove", "remove", "put", "refuse", "silent", "serve", "serve"}).Draw(t, "kind"),
				item: rapid.IntRange(0, 9).Draw(t, "item"),
				wait: time.Duration(rapid.SampledFrom([]int{0, 3, 7, 40, 900, 2100}).Draw(t, "wait")) * time.Millisecond,
			}
		}), 1, 25).Draw(rt, "steps")
		runRemote(t, 1200, func(s *remoteStore, m *appliedItems) {
			removedAt := map[string]int64{} // revisions of the last removals in the store
			gone := map[string]int64{}      // those of the removals that the mirror has passed on
			m.lock(func() {
				m.onChange = func(c *Change) {
					if c.Deleted {
						gone[c.Pair.Key] = removedAt[c.Pair.Key]
						return
					}
					assert.Check(rt, c.Pair.ModRevision > gone[c.Pair.Key], "%s came back", c.Pair.Key)
				}
			})
			for _, st := range steps {
				key := fmt.Sprintf("c/server/%d", st.item)
				switch st.kind {
				case "remove":
					m.lock(func() {
						s.remove(t, key)
						removedAt[key] = s.Revision()
					})
				case "put":
					s.put(t, key, st.wait.String())
				case "refuse":
					s.set(false, true)
				case "silent":
					s.set(true, false)
				default:
					s.set(false, false)
				}
				time.Sleep(st.wait)
			}
			s.set(false, false)
			time.Sleep(hangingWatch + hangingList + maxBackoff + 2*missingItemGrace)
			pairs, _, err := s.Memory.List(t.Context(), "")
			assert.NilError(rt, err)
			m.lock(func() {
				assert.Check(rt, len(m.items) == len(pairs), "%d items, the store has %d", len(m.items), len(pairs))
				for _, p := range pairs {
					assert.Check(rt, m.items[p.Key] == string(p.Value), "%s differs", p.Key)
				}
			})
		})
	})
}
