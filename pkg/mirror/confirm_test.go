package mirror

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// runConfirmed starts a mirror of a remote store with one item and calls fn once the first
// list has been applied.
func runConfirmed(t *testing.T, fn func(t *testing.T, s *remoteStore, m *Mirror, items *appliedItems)) {
	synctest.Test(t, func(t *testing.T) {
		s := newRemoteStore()
		s.put(t, "items/a", "1")
		items := &appliedItems{items: map[string]string{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := New(s, "items/", items.apply, logging.Nop())
		go m.Run(ctx)
		time.Sleep(time.Second)
		assert.Equal(t, items.get("items/a"), "1")
		fn(t, s, m, items)
	})
}

// Guards against a copy that counts as current although the service has newer items, and
// against waiting for a change when there is none.
func TestConfirmedCopyHasAllItems(t *testing.T) {
	runConfirmed(t, func(t *testing.T, s *remoteStore, m *Mirror, items *appliedItems) {
		for i := range 20 {
			value := fmt.Sprint(i)
			s.put(t, "items/b", value)
			assert.NilError(t, m.Confirm(t.Context()))
			assert.Equal(t, items.get("items/b"), value)
		}
		time.Sleep(confirmInterval)
		began := time.Now()
		assert.NilError(t, m.Confirm(t.Context()))
		assert.Equal(t, time.Since(began), pageTime)
	})
}

// Guards against a copy that is confirmed while the service refuses this process or does not
// answer it, and against a call that waits for longer than its caller.
func TestCopyIsNotConfirmedWithoutTheService(t *testing.T) {
	for name, silent := range map[string]bool{"refuses": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			runConfirmed(t, func(t *testing.T, s *remoteStore, m *Mirror, items *appliedItems) {
				s.set(silent, !silent)
				s.put(t, "items/b", "1")
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				began := time.Now()
				assert.Assert(t, m.Confirm(ctx) != nil)
				assert.Assert(t, time.Since(began) <= time.Second)
				s.set(false, false)
				time.Sleep(2 * hangingWatch)
				assert.NilError(t, m.Confirm(t.Context()))
				assert.Equal(t, items.get("items/b"), "1")
			})
		})
	}
}

// Guards against a call to the service for each of many requests that need a current copy.
func TestConfirmationsAreShared(t *testing.T) {
	runConfirmed(t, func(t *testing.T, s *remoteStore, m *Mirror, _ *appliedItems) {
		const callers = 500
		before := s.pages
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() { assert.Check(t, m.Confirm(t.Context())) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		most := int(callers*10*time.Millisecond/confirmInterval) + 2
		assert.Assert(t, s.pages-before <= most, "%d calls for %d requests", s.pages-before, callers)
	})
}

// Guards against a period that counts items as seen although they may have come and gone while
// the copy did not follow the service, and against one that a short interruption ends.
func TestFollowedPeriodEndsWithAnInterruption(t *testing.T) {
	for name, c := range map[string]struct {
		interrupt func(s *remoteStore, m *Mirror)
		continues bool
	}{
		"none":          {interrupt: func(*remoteStore, *Mirror) {}, continues: true},
		"short refusal": {interrupt: func(s *remoteStore, _ *Mirror) { refuseFor(s, maxUnseen/2) }, continues: true},
		"long refusal":  {interrupt: func(s *remoteStore, _ *Mirror) { refuseFor(s, 2*maxUnseen) }},
		"suspension":    {interrupt: func(_ *remoteStore, m *Mirror) { m.Refresh() }},
	} {
		t.Run(name, func(t *testing.T) {
			runConfirmed(t, func(t *testing.T, s *remoteStore, m *Mirror, _ *appliedItems) {
				first, _, ok := m.Followed()
				assert.Assert(t, ok)
				s.put(t, "items/b", "1")
				time.Sleep(time.Second)
				began := time.Now()
				c.interrupt(s, m)
				time.Sleep(2 * hangingWatch)
				since, until, ok := m.Followed()
				assert.Assert(t, ok)
				assert.Assert(t, !until.Before(since))
				if c.continues {
					assert.Equal(t, since, first)
				} else {
					assert.Assert(t, !since.Before(began), "followed since %s before the interruption", began.Sub(since))
				}
			})
		})
	}
}

func refuseFor(s *remoteStore, d time.Duration) {
	s.set(false, true)
	time.Sleep(d)
	s.set(false, false)
}
