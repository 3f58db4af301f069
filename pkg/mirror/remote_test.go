package mirror

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

const (
	// pageSize is the number of items of one page, and pageTime the time that the store
	// takes for a page.
	pageSize = 500
	pageTime = 5 * time.Millisecond
	// hangingList and hangingWatch are how long calls to a silent store hang before its
	// client gives them up.
	hangingList  = 2 * time.Second
	hangingWatch = 2500 * time.Millisecond
)

// remoteStore is a store that returns lists in pages and can be silent, so that calls
// hang until the client gives up, or refuse all calls.
type remoteStore struct {
	*kvstore.Memory
	mu      sync.Mutex
	silent  bool
	refuse  bool
	compact bool // the store has no history
	cut     []context.CancelFunc
	pages   int
	// sorted holds the pairs under sortedPrefix at revision sortedAt.
	sorted       []kv.Pair
	sortedPrefix string
	sortedAt     int64
	changed      chan struct{} // closed when the state of the store changes
}

func newRemoteStore() *remoteStore {
	return &remoteStore{Memory: kvstore.NewMemory(time.Now), changed: make(chan struct{})}
}

// set makes the store silent or refuse calls. Running watches stay silent, or end.
func (s *remoteStore) set(silent, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.refuse = silent, refuse
	if !silent {
		for _, cut := range s.cut {
			cut()
		}
	}
	s.cut = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// state waits as long as a call to the store takes, and returns an error if it fails.
func (s *remoteStore) state(ctx context.Context) error {
	s.mu.Lock()
	silent, refuse := s.silent, s.refuse
	s.mu.Unlock()
	took := pageTime
	if silent {
		took = hangingList
	}
	select {
	case <-ctx.Done():
		return kv.ErrUnavailable
	case <-time.After(took):
	}
	if silent || refuse {
		return kv.ErrUnavailable
	}
	return nil
}

func (s *remoteStore) ListPage(ctx context.Context, prefix, after string) (kv.Page, error) {
	if err := s.state(ctx); err != nil {
		return kv.Page{}, err
	}
	s.mu.Lock()
	s.pages++
	s.mu.Unlock()
	pairs, revision := s.snapshot(ctx, prefix)
	first, found := slices.BinarySearchFunc(pairs, after, func(p kv.Pair, key string) int { return strings.Compare(p.Key, key) })
	if found {
		first++
	}
	pairs = pairs[first:]
	if len(pairs) > pageSize {
		return kv.Page{Pairs: pairs[:pageSize], Revision: revision, More: true}, nil
	}
	return kv.Page{Pairs: pairs, Revision: revision}, nil
}

// snapshot returns the sorted pairs under prefix and their revision.
func (s *remoteStore) snapshot(ctx context.Context, prefix string) ([]kv.Pair, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision := s.Revision(); s.sorted == nil || s.sortedAt != revision || s.sortedPrefix != prefix {
		s.sorted, s.sortedAt, _ = s.Memory.List(ctx, prefix) // a Memory returns no error
		s.sortedPrefix = prefix
	}
	return s.sorted, s.sortedAt
}

func (s *remoteStore) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	var (
		pairs    []kv.Pair
		revision int64
		after    string
	)
	for {
		p, err := s.ListPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = p.Revision
		}
		pairs = append(pairs, p.Pairs...)
		if !p.More {
			return pairs, revision, nil
		}
		after = pairs[len(pairs)-1].Key
	}
}

func (s *remoteStore) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	silent, refuse, changed := s.silent, s.refuse, s.changed
	s.cut = append(s.cut, cancel)
	s.mu.Unlock()
	if refuse {
		cancel()
		return nil, kv.ErrUnavailable
	}
	if s.compact && revision <= s.Revision() {
		out := make(chan kv.Event, 1)
		out <- kv.Event{Type: kv.EventCompacted}
		close(out)
		return out, nil
	}
	events, err := s.Memory.Watch(ctx, prefix, revision)
	if err != nil {
		return nil, err
	}
	out := make(chan kv.Event)
	go s.relay(ctx, events, out, silent, changed)
	return out, nil
}

// relay passes the events of a watch on until the store changes its state. While the store
// is silent, a watch delivers nothing and ends after hangingWatch.
func (s *remoteStore) relay(ctx context.Context, events <-chan kv.Event, out chan<- kv.Event, silent bool, changed <-chan struct{}) {
	defer close(out)
	if silent {
		hang(ctx, out)
		return
	}
	for {
		select {
		case <-changed:
			hang(ctx, out)
			return
		case ev, ok := <-events:
			if !ok || !send(ctx, out, ev) {
				return
			}
			progress := kv.Event{Type: kv.EventProgress, Pair: kv.Pair{ModRevision: ev.Pair.ModRevision}}
			if len(events) == 0 && !send(ctx, out, progress) {
				return
			}
		}
	}
}

// hang ends a watch that gets no response.
func hang(ctx context.Context, out chan<- kv.Event) {
	select {
	case <-ctx.Done():
	case <-time.After(hangingWatch):
		send(ctx, out, kv.Event{Type: kv.EventUnresponsive})
	}
}

func send(ctx context.Context, out chan<- kv.Event, ev kv.Event) bool {
	select {
	case out <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *remoteStore) put(t testing.TB, key, value string) {
	t.Helper()
	_, err := s.Txn(t.Context(), kv.Txn{Ops: []kv.Op{{Type: kv.OpPut, Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

func (s *remoteStore) remove(t testing.TB, key string) {
	t.Helper()
	_, err := s.Txn(t.Context(), kv.Txn{Ops: []kv.Op{{Type: kv.OpDelete, Key: key}}})
	assert.NilError(t, err)
}
