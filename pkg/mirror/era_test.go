package mirror

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// restorableStore is a store that can return to an earlier copy.
type restorableStore struct {
	flakyStore
	era atomic.Uint64
}

func (s *restorableStore) Era() kv.Era { return kv.Era(s.era.Load()) }

func (s *restorableStore) restore(c kvstore.Copy) {
	s.era.Add(1)
	s.Restore(c)
}

// runRestorable starts a mirror of a store with items/a and calls fn once the first
// list has been applied.
func runRestorable(t *testing.T, fn func(s *restorableStore, m *appliedItems)) {
	synctest.Test(t, func(t *testing.T) {
		s := &restorableStore{flakyStore: flakyStore{Memory: kvstore.NewMemory(time.Now)}}
		s.era.Store(1)
		s.put(t, "items/a", "1")
		m := &appliedItems{items: map[string]string{}}
		go New(s, "items/", m.apply, logging.Nop()).Run(t.Context())
		synctest.Wait()
		fn(s, m)
	})
}

// Guards against never seeing what is written again after the store has returned to
// an earlier copy: its revisions are then given out a second time.
func TestMirrorFollowsARestoredStore(t *testing.T) {
	runRestorable(t, func(s *restorableStore, m *appliedItems) {
		early := s.Copy()
		for _, value := range []string{"2", "3", "4"} {
			s.put(t, "items/a", value)
		}
		synctest.Wait()
		assert.Equal(t, m.get("items/a"), "4")
		s.restore(early)
		synctest.Wait()
		s.put(t, "items/a", "5")
		synctest.Wait()
		assert.Equal(t, m.get("items/a"), "5")
	})
}

// Guards against dropping a live server that the copy does not know yet, before it
// had time to write its item again, and against keeping one that never does.
func TestMirrorKeepsWhatTheCopyLacksForAGracePeriod(t *testing.T) {
	runRestorable(t, func(s *restorableStore, m *appliedItems) {
		early := s.Copy()
		s.put(t, "items/back", "1")
		s.put(t, "items/gone", "1")
		synctest.Wait()
		s.restore(early)
		time.Sleep(missingItemGrace / 2)
		assert.Equal(t, m.get("items/back"), "1")
		assert.Equal(t, m.get("items/gone"), "1")
		s.put(t, "items/back", "2")
		time.Sleep(missingItemGrace)
		assert.Equal(t, m.get("items/back"), "2")
		assert.Equal(t, m.get("items/gone"), "")
	})
}
