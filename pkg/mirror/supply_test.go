package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// Guards against items of another process that are not applied while the service turns this one
// away, that replace newer ones, that are of another era, or that are applied a second time
// when the service answers again.
func TestSuppliedItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &flakyStore{Memory: kvstore.NewMemory(time.Now)}
		store.put(t, "a/config", "1")
		var applied []string
		m := New(store, "a/", func(changes []Change) {
			for _, ch := range changes {
				applied = append(applied, string(ch.Pair.Value))
			}
		}, logging.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(time.Second)
		store.set(true)
		time.Sleep(time.Second)
		assert.Assert(t, !m.Available())
		store.put(t, "a/config", "2")
		store.put(t, "a/config", "3")
		p, err := store.Get(t.Context(), "a/config")
		assert.NilError(t, err)

		assert.Assert(t, m.Supply(ctx, 9, []kv.Pair{p}))
		assert.Assert(t, m.Supply(ctx, 0, []kv.Pair{p}))
		assert.Assert(t, m.Supply(ctx, 0, []kv.Pair{{Key: "a/config", Value: []byte("2"), ModRevision: p.ModRevision - 1}}))
		store.set(false)
		time.Sleep(5 * time.Second)
		assert.Assert(t, m.Available())
		assert.DeepEqual(t, applied, []string{"1", "3"})
		cancel()
		synctest.Wait()
	})
}
