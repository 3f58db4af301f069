package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// flakyStore is a store that can be made unavailable, which also ends its watches.
type flakyStore struct {
	*kvstore.Memory
	mu   sync.Mutex
	away bool
	cut  context.CancelFunc
}

func (s *flakyStore) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	if away && s.cut != nil {
		s.cut()
	}
}

func (s *flakyStore) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *flakyStore) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	if s.down() {
		return nil, 0, kv.ErrUnavailable
	}
	return s.Memory.List(ctx, prefix)
}

func (s *flakyStore) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.Event, error) {
	if s.down() {
		return nil, kv.ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cut = cancel
	s.mu.Unlock()
	return s.Memory.Watch(ctx, prefix, revision)
}

func (s *flakyStore) put(t *testing.T, key, value string) {
	t.Helper()
	_, err := s.Txn(t.Context(), kv.Txn{Ops: []kv.Op{{Type: kv.OpPut, Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

func (s *flakyStore) remove(t *testing.T, key string) {
	t.Helper()
	_, err := s.Txn(t.Context(), kv.Txn{Ops: []kv.Op{{Type: kv.OpDelete, Key: key}}})
	assert.NilError(t, err)
}

// appliedItems collects the items that a mirror has passed on.
type appliedItems struct {
	mu    sync.Mutex
	items map[string]string
	// onChange is called for each change that is passed on, if it is not nil.
	onChange func(c *Change)
}

// lock calls fn while no changes are passed on.
func (m *appliedItems) lock(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn()
}

func (m *appliedItems) apply(changes []Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range changes {
		c := &changes[i]
		if m.onChange != nil {
			m.onChange(c)
		}
		if c.Deleted {
			delete(m.items, c.Pair.Key)
			continue
		}
		m.items[c.Pair.Key] = string(c.Pair.Value)
	}
}

func (m *appliedItems) get(key string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.items[key]
}

// run starts a mirror of items/ and calls fn once the first list has been applied.
func run(t *testing.T, fn func(s *flakyStore, m *appliedItems)) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{Memory: kvstore.NewMemory(time.Now)}
		for _, key := range []string{"items/a", "items/b", "items/c"} {
			s.put(t, key, "1")
		}
		m := &appliedItems{items: map[string]string{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go New(s, "items/", m.apply, logging.Nop()).Run(ctx)
		synctest.Wait()
		assert.Equal(t, m.get("items/a"), "1")
		fn(s, m)
		cancel()
		s.set(true)
		synctest.Wait()
	})
}

// Guards against losing changes while a watch is running.
func TestMirrorFollowsChanges(t *testing.T) {
	run(t, func(s *flakyStore, m *appliedItems) {
		s.put(t, "items/d", "2")
		s.remove(t, "items/a")
		synctest.Wait()
		assert.Equal(t, m.get("items/d"), "2")
		assert.Equal(t, m.get("items/a"), "")
	})
}

// Guards against an empty copy during or after an outage of the service, when the
// items of running servers have expired.
func TestMirrorKeepsItemsOverAnOutage(t *testing.T) {
	run(t, func(s *flakyStore, m *appliedItems) {
		s.set(true)
		time.Sleep(5 * time.Second)
		assert.Equal(t, m.get("items/a"), "1")
		s.remove(t, "items/a") // expired during the outage
		s.set(false)
		time.Sleep(maxBackoff + missingItemGrace/2)
		assert.Equal(t, m.get("items/a"), "1")
		s.put(t, "items/a", "back")
		time.Sleep(missingItemGrace)
		assert.Equal(t, m.get("items/a"), "back")
	})
}

// Guards against a watch that died without an error while the VM was suspended.
func TestMirrorRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{Memory: kvstore.NewMemory(time.Now)}
		m := &appliedItems{items: map[string]string{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		mirror := New(s, "items/", m.apply, logging.Nop())
		go mirror.Run(ctx)
		synctest.Wait()
		_, err := s.Txn(t.Context(), kv.Txn{Ops: []kv.Op{{Type: kv.OpPut, Key: "items/a", Value: []byte("1")}}})
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, m.get("items/a"), "")
		mirror.Refresh()
		synctest.Wait()
		assert.Equal(t, m.get("items/a"), "1")
	})
}

// silentStore is a store whose watches never deliver an event.
type silentStore struct{ *kvstore.Memory }

func (silentStore) Watch(context.Context, string, int64) (<-chan kv.Event, error) {
	return make(chan kv.Event), nil
}

// Guards against items that are never removed although their servers shut down during
// an outage.
func TestMirrorDropsWhatDoesNotReturn(t *testing.T) {
	run(t, func(s *flakyStore, m *appliedItems) {
		s.set(true)
		time.Sleep(3 * time.Second)
		s.remove(t, "items/a")
		s.set(false)
		time.Sleep(maxBackoff + missingItemGrace + 100*time.Millisecond)
		assert.Equal(t, m.get("items/a"), "")
		assert.Equal(t, m.get("items/b"), "1")
	})
}

// Guards against sending requests to a server that shut down while a watch was
// interrupted. Without an outage, a missing item is removed at once.
func TestMirrorDropsAtOnceAfterACutWatch(t *testing.T) {
	run(t, func(s *flakyStore, m *appliedItems) {
		s.mu.Lock()
		cut := s.cut
		s.mu.Unlock()
		s.remove(t, "items/a")
		cut()
		synctest.Wait()
		assert.Equal(t, m.get("items/a"), "")
	})
}

// Guards against an item that a list adds and that is taken for new: it may have been
// written at any time since the copy was last known to be complete.
func TestListedItemsBearTheTimeOfTheLastContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &flakyStore{Memory: kvstore.NewMemory(time.Now)}
		store.put(t, "p/first", "1")
		since := map[string]time.Time{}
		var mu sync.Mutex
		m := New(store, "p/", func(changes []Change) {
			mu.Lock()
			defer mu.Unlock()
			for _, c := range changes {
				since[c.Pair.Key] = c.Since
			}
		}, logging.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Run(ctx)
		time.Sleep(time.Second)
		store.put(t, "p/event", "1")
		event := time.Now()
		time.Sleep(time.Second)
		store.set(true)
		time.Sleep(time.Second)
		store.put(t, "p/listed", "1")
		time.Sleep(5 * time.Second)
		store.set(false)
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		assert.Assert(t, since["p/first"].IsZero(), "an item of the first list")
		assert.Assert(t, since["p/event"].Equal(event), "an item of the watch")
		assert.Assert(t, since["p/listed"].Equal(event), "written after the last event: %v", since["p/listed"])
	})
}
