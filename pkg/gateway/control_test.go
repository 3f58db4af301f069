package gateway

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/route"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// countedStore counts the calls to the store that the platform charges for.
type countedStore struct {
	*kvstore.Memory
	lists, watches atomic.Int64
}

func (s *countedStore) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	s.lists.Add(1)
	return s.Memory.List(ctx, prefix)
}

func (s *countedStore) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.Event, error) {
	s.watches.Add(1)
	return s.Memory.Watch(ctx, prefix, revision)
}

func (s *countedStore) change(t *testing.T, typ kv.OpType, key, value string) {
	t.Helper()
	_, err := s.Txn(t.Context(), kv.Txn{Ops: []kv.Op{{Type: typ, Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

// plainCatalog decodes two kinds of items: "vm/ID", whose value is the service, and
// "config", whose version is the length of the value.
type plainCatalog struct{}

func (plainCatalog) Prefix() string { return "" }

func (plainCatalog) OperatorPrefix() string { return "config" }

func (plainCatalog) EndpointID(key string) (fleet.ID, bool) {
	id, ok := strings.CutPrefix(key, "vm/")
	return fleet.ID(id), ok
}

func (c plainCatalog) Endpoint(p kv.Pair) (fleet.Endpoint, error) {
	id, _ := c.EndpointID(p.Key)
	if len(p.Value) == 0 {
		return fleet.Endpoint{}, errors.New("empty")
	}
	return fleet.Endpoint{ID: id, Service: string(p.Value), State: fleet.Ready}, nil
}

func (plainCatalog) Operator(p kv.Pair) (fleet.OperatorItem, error) {
	if p.Key != "config" {
		return fleet.OperatorItem{}, nil
	}
	return fleet.OperatorItem{Config: &route.Config{Version: int64(len(p.Value))}}, nil
}

// Guards against more than one watch: each call to the store is charged, and an entry
// makes about one per second as long as it runs. Also guards against an unreadable or
// unknown item that hides the others, and against losing the configuration when its
// item is deleted.
func TestOneWatchFollowsTheWholeFleet(t *testing.T) {
	store := &countedStore{Memory: kvstore.NewMemory(time.Now)}
	store.change(t, kv.OpPut, "config", "1")
	store.change(t, kv.OpPut, "other/x", "?")
	store.change(t, kv.OpPut, "vm/bad", "")
	store.change(t, kv.OpPut, "vm/i-1", "desk")
	c, err := newControl(&Settings{ID: "e1"}, store, plainCatalog{}, locality.NewPrefixIndex(), retry.NewShare(0), logging.Nop())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		c.run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	until := func(version int64, endpoints int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			s := c.snapshot.Load()
			if s.Table != nil && s.Table.Version == version && len(s.Services["desk"]) == endpoints {
				return poll.Success()
			}
			return poll.Continue("%d endpoints", len(s.Services["desk"]))
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	until(1, 1)
	store.change(t, kv.OpPut, "vm/i-2", "desk")
	store.change(t, kv.OpPut, "config", "22")
	until(2, 2)
	store.change(t, kv.OpDelete, "config", "")
	store.change(t, kv.OpDelete, "vm/i-1", "")
	until(2, 1)
	assert.Equal(t, store.lists.Load(), int64(1))
	assert.Equal(t, store.watches.Load(), int64(1))
}
