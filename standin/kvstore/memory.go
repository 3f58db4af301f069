// Package kvstore is a fake key-value service. Memory is an in-memory store, and
// Server serves it over the JSON gateway API of etcd v3, with injected faults.
package kvstore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// watchBuffer is the number of undelivered events beyond which a watch is closed.
const watchBuffer = 1024

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// change is one event in the history of a Memory. A watch that starts at an earlier
// revision gets the events since then from the history.
type change struct {
	revision int64
	event    kv.Event
}

type watcher struct {
	prefix string
	events chan kv.Event
}

// Memory is an in-memory kv.Store without faults. It is safe for concurrent use.
type Memory struct {
	now func() time.Time

	mu       sync.Mutex
	revision int64
	pairs    map[string]kv.Pair
	leases   map[kv.LeaseID]*lease
	lastID   kv.LeaseID
	history  []change
	watchers map[*watcher]struct{}
}

var _ kv.Store = (*Memory)(nil)

// NewMemory returns an empty store that reads the time from now.
func NewMemory(now func() time.Time) *Memory {
	return &Memory{
		now:      now,
		revision: 1,
		pairs:    map[string]kv.Pair{},
		leases:   map[kv.LeaseID]*lease{},
		watchers: map[*watcher]struct{}{},
	}
}

// Get implements kv.Store.
func (m *Memory) Get(_ context.Context, key string) (kv.Pair, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	p, ok := m.pairs[key]
	if !ok {
		return kv.Pair{}, kv.ErrNotFound
	}
	return p, nil
}

// List implements kv.Store.
func (m *Memory) List(_ context.Context, prefix string) ([]kv.Pair, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	var out []kv.Pair
	for key, p := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b kv.Pair) int { return strings.Compare(a.Key, b.Key) })
	return out, m.revision, nil
}

// Txn implements kv.Store.
func (m *Memory) Txn(_ context.Context, t kv.Txn) (kv.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	for _, c := range t.Compares {
		if m.pairs[c.Key].ModRevision != c.ModRevision {
			return kv.TxnResult{Revision: m.revision, Read: m.read(t.OnFailure)}, nil
		}
	}
	for _, op := range t.Ops {
		if op.Type == kv.OpPut && op.Lease != 0 && m.leases[op.Lease] == nil {
			return kv.TxnResult{}, kv.ErrLeaseNotFound
		}
	}
	if len(t.Ops) > 0 {
		m.revision++
	}
	for _, op := range t.Ops {
		if op.Type == kv.OpDelete {
			m.remove(op.Key)
			continue
		}
		m.put(op)
	}
	return kv.TxnResult{Succeeded: true, Revision: m.revision}, nil
}

func (m *Memory) read(keys []string) []kv.Pair {
	var out []kv.Pair
	for _, key := range keys {
		if p, ok := m.pairs[key]; ok {
			out = append(out, p)
		}
	}
	return out
}

func (m *Memory) put(op kv.Op) {
	p := kv.Pair{Key: op.Key, Value: slices.Clone(op.Value), CreateRevision: m.revision, ModRevision: m.revision, Lease: op.Lease}
	if old, ok := m.pairs[op.Key]; ok {
		p.CreateRevision = old.CreateRevision
	}
	m.pairs[op.Key] = p
	m.publish(kv.Event{Type: kv.EventPut, Pair: p})
}

func (m *Memory) remove(key string) {
	if _, ok := m.pairs[key]; !ok {
		return
	}
	delete(m.pairs, key)
	m.publish(kv.Event{Type: kv.EventDelete, Pair: kv.Pair{Key: key, ModRevision: m.revision}})
}

func (m *Memory) publish(e kv.Event) {
	m.history = append(m.history, change{revision: m.revision, event: e})
	for w := range m.watchers {
		m.deliver(w, e)
	}
}

// deliver sends an event to a watch, or closes the watch if its buffer is full.
func (m *Memory) deliver(w *watcher, e kv.Event) {
	if !strings.HasPrefix(e.Pair.Key, w.prefix) {
		return
	}
	select {
	case w.events <- e:
	default:
		m.closeWatch(w)
	}
}

// closeWatch removes a watch and closes its channel, unless it is closed already.
func (m *Memory) closeWatch(w *watcher) {
	if _, ok := m.watchers[w]; !ok {
		return
	}
	delete(m.watchers, w)
	close(w.events)
}

// Grant implements kv.Store.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	m.lastID++
	m.leases[m.lastID] = &lease{ttl: ttl, expires: m.now().Add(ttl)}
	return m.lastID, nil
}

// KeepAlive implements kv.Store.
func (m *Memory) KeepAlive(_ context.Context, id kv.LeaseID) (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	l := m.leases[id]
	if l == nil {
		return 0, kv.ErrLeaseNotFound
	}
	l.expires = m.now().Add(l.ttl)
	return l.ttl, nil
}

// Revoke implements kv.Store.
func (m *Memory) Revoke(_ context.Context, id kv.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if m.leases[id] == nil {
		return kv.ErrLeaseNotFound
	}
	m.endLease(id)
	return nil
}

// Expire ends all leases that have expired. All other calls except Revision do so too.
func (m *Memory) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
}

func (m *Memory) expire() {
	now := m.now()
	var ended []kv.LeaseID
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		m.endLease(id)
	}
}

// endLease removes a lease and deletes its keys in one revision.
func (m *Memory) endLease(id kv.LeaseID) {
	delete(m.leases, id)
	var keys []string
	for key, p := range m.pairs {
		if p.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	m.revision++
	for _, key := range keys {
		m.remove(key)
	}
}

// Watch implements kv.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.Event, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	var missed []kv.Event
	for _, r := range m.history {
		if revision > 0 && r.revision >= revision && strings.HasPrefix(r.event.Pair.Key, prefix) {
			missed = append(missed, r.event)
		}
	}
	w := &watcher{prefix: prefix, events: make(chan kv.Event, len(missed)+watchBuffer)}
	for _, e := range missed {
		w.events <- e
	}
	m.watchers[w] = struct{}{}
	context.AfterFunc(ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.closeWatch(w)
	})
	return w.events, nil
}

// Copy is the state of a Memory at one moment.
type Copy struct {
	revision int64
	pairs    map[string]kv.Pair
	history  []change
}

// Copy returns the current state without the leases.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{revision: m.revision, pairs: maps.Clone(m.pairs), history: slices.Clone(m.history)}
}

// Restore returns to an earlier state. All later writes and all leases are lost,
// revisions are given out again, and all watches end.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision, m.pairs, m.history = c.revision, maps.Clone(c.pairs), slices.Clone(c.history)
	clear(m.leases)
	for w := range m.watchers {
		m.closeWatch(w)
	}
}

// Revision returns the current revision of the store.
func (m *Memory) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}
