package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// Guards against a series of announcements that keeps old versions acceptable without
// end: each version must be required once its own grace is over.
func TestEachVersionIsRequiredAfterItsOwnGrace(t *testing.T) {
	start := time.Unix(1000, 0)
	announced := []time.Duration{0, 1500 * time.Millisecond, 3 * time.Second, 4500 * time.Millisecond}
	d := fleet.NewDirectory()
	next, last := 0, 0
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		for next < len(announced) && announced[next] <= at {
			d.SetVersion(start.Add(announced[next]), fleet.AdapterVersion{Model: "m", Adapter: "a1", Version: 2 + next})
			next++
		}
		want := 0
		for i, a := range announced {
			if at-a >= fleet.VersionGrace {
				want = 2 + i
			}
		}
		got := d.Snapshot().Versions[adapterKey].Required(start.Add(at))
		assert.Equal(t, got, want, "after %v", at)
		assert.Assert(t, got >= last, "the required version went back after %v", at)
		last = got
	}
}

// versionCatalog decodes items "version/NAME", whose value is the newest version of
// the adapter NAME of the model "m".
type versionCatalog struct{ plainCatalog }

func (versionCatalog) OperatorPrefix() string { return "version/" }

func (versionCatalog) Operator(p kv.Pair) (fleet.OperatorItem, error) {
	name, ok := strings.CutPrefix(p.Key, "version/")
	if !ok {
		return fleet.OperatorItem{}, nil
	}
	n, err := strconv.Atoi(string(p.Value))
	return fleet.OperatorItem{Adapter: &fleet.AdapterVersion{Model: "m", Adapter: name, Version: n}}, err
}

// separableStore is a store that can be cut off from its client.
type separableStore struct {
	*kvstore.Memory
	mu    sync.Mutex
	apart bool
	cut   context.CancelFunc
}

func (s *separableStore) separate(apart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apart = apart
	if apart && s.cut != nil {
		s.cut()
	}
}

func (s *separableStore) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	s.mu.Lock()
	apart := s.apart
	s.mu.Unlock()
	if apart {
		return nil, 0, kv.ErrUnavailable
	}
	return s.Memory.List(ctx, prefix)
}

func (s *separableStore) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.Event, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.apart {
		return nil, kv.ErrUnavailable
	}
	ctx, s.cut = context.WithCancel(ctx)
	return s.Memory.Watch(ctx, prefix, revision)
}

func (s *separableStore) announce(t *testing.T, version int) {
	t.Helper()
	_, err := s.Txn(t.Context(), kv.Txn{Ops: []kv.Op{{Type: kv.OpPut, Key: "version/a1", Value: []byte(strconv.Itoa(version))}}})
	assert.NilError(t, err)
}

// startControl runs the control loop of an entry on the store until stop is called.
func startControl(t *testing.T, store kv.Store) (c *control, stop func()) {
	t.Helper()
	c, err := newControl(&Settings{ID: "e1"}, store, versionCatalog{}, locality.NewPrefixIndex(), retry.NewShare(0), logging.Nop())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		c.run(ctx)
		close(done)
	}()
	return c, func() {
		cancel()
		<-done
	}
}

func (c *control) required() int { return c.snapshot.Load().Versions[adapterKey].Required(time.Now()) }

// Guards against an entry that starts and grants the grace again to versions that were
// announced before: with a restart between two announcements it would send requests to
// a version that is no longer acceptable.
func TestRestartedEntryDoesNotRepeatTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &separableStore{Memory: kvstore.NewMemory(time.Now)}
		store.announce(t, 2)
		time.Sleep(1500 * time.Millisecond)
		store.announce(t, 3)
		time.Sleep(time.Second)
		c, stop := startControl(t, store)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, c.required(), 3, "after the first list")
		store.announce(t, 4)
		time.Sleep(fleet.VersionGrace - 50*time.Millisecond)
		assert.Equal(t, c.required(), 3, "during the grace of version 4")
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, c.required(), 4, "after the grace of version 4")
	})
}

// Guards against an entry that was cut off from the store and counts the grace of what
// was announced meanwhile from the end of the outage.
func TestGraceCountsFromTheLastContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &separableStore{Memory: kvstore.NewMemory(time.Now)}
		c, stop := startControl(t, store)
		defer stop()
		time.Sleep(time.Second)
		store.announce(t, 2)
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.required(), 2)

		store.announce(t, 3)
		time.Sleep(10 * time.Millisecond)
		store.separate(true)
		time.Sleep(10 * time.Millisecond)
		store.announce(t, 4)
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.required(), 3, "while the store is away")
		store.separate(false)
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, c.required(), 4, "announced at any time of the last 11 s")
	})
}

// Guards against expecting the lowest acceptable version of a server that holds a newer
// one: the server refuses each such attempt with 421.
func TestAttemptExpectsTheHeldVersion(t *testing.T) {
	w := newTestGateway(t, onceRoute)
	e := w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		if r.Header.Get("Version") != "4" {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		rw.Write([]byte("id: 1\n\n"))
	})
	setResident(e, adapterKey, 4)
	w.directory.SetVersion(time.Now().Add(-fleet.VersionGrace), fleet.AdapterVersion{Model: "m", Adapter: "a1", Version: 3})
	w.directory.SetVersion(time.Now(), fleet.AdapterVersion{Model: "m", Adapter: "a1", Version: 4})
	w.publish()
	assert.Equal(t, w.do(http.MethodPost, "/o/x", forAdapter).status, http.StatusOK)
}
