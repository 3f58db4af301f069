// Package mirror keeps a local copy of the items under a prefix of the key-value
// service. While the service is unavailable, the copy keeps its last state.
package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

const (
	// minBackoff and maxBackoff limit the delay after a failed call, which doubles
	// with each further failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// missingItemGrace is how long items that are missing after an outage are kept.
	// Their owners write them again within about that time once the service is back.
	missingItemGrace = 2 * time.Second
	// massLossShare is the share of the items above which missing items are
	// attributed to an outage that the mirror did not notice, rather than to
	// endpoints that have shut down.
	massLossShare = 0.2
)

// Change is one created, updated or deleted item.
type Change struct {
	Pair kv.Pair
	// Deleted means that the item was removed. Pair then has only a key.
	Deleted bool
	// Restored means that the item was read after the service returned to an earlier
	// copy of its data, so that it may be older than an item passed on before.
	Restored bool
	// Since is a time before which the item was not written. It is zero if none is
	// known, which is the case for all items of the first list.
	Since time.Time
}

// Mirror keeps a local copy of one prefix.
type Mirror struct {
	store  kv.Store
	prefix string
	apply  func([]Change)
	log    logging.Logger
	items  map[string]kv.Pair
	// synced is true once the first list has been applied.
	synced bool
	// unavailable is true from the first failed call until the next complete list.
	unavailable bool
	// current is a time at which the copy was complete: the start of the last list or
	// the arrival of the last event. Items that a list adds may have been written at any
	// time since then.
	current time.Time
	// era is the era of the revisions in items.
	era kv.Era
	// refresh is a request for a new list.
	refresh chan struct{}
}

// New returns a mirror that passes each change to apply, in order, from the
// goroutine that calls Run. The first call passes all items, even if there are none.
func New(store kv.Store, prefix string, apply func([]Change), log logging.Logger) *Mirror {
	return &Mirror{store: store, prefix: prefix, apply: apply, log: log.With("prefix", prefix), items: map[string]kv.Pair{}, refresh: make(chan struct{}, 1)}
}

// Refresh makes the mirror list the items again. It is needed when the watch may
// have died without an error.
func (m *Mirror) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		revision, err := m.list(ctx)
		if err != nil {
			wait.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		m.watch(ctx, revision+1)
	}
}

// reportUnavailable logs the first failure of an outage, of a call that took the given
// time.
func (m *Mirror) reportUnavailable(err error, took time.Duration) {
	if !m.unavailable {
		m.log.Warn().Err(err).Dur("took_ms", took).Dur("copy_age_ms", time.Since(m.current)).Msg("dependency lost: key-value service")
	}
	m.unavailable = true
}

// list replaces the copy and returns the revision of the list. After an outage,
// missing items are kept until a second list, missingItemGrace later, confirms that
// they are gone. The same holds after a return of the service to an earlier copy.
func (m *Mirror) list(ctx context.Context) (int64, error) {
	began, since := time.Now(), m.current
	l, err := hedged(ctx, m.readAll, m.reportUnavailable)
	if err != nil {
		return 0, err
	}
	pairs, revision := l.pairs, l.revision
	restored := m.enterEra(kv.EraOf(m.store), revision)
	missing := m.missing(pairs)
	mass := float64(len(missing)) > max(1, massLossShare*float64(len(m.items)))
	if m.synced && len(missing) > 0 && (m.unavailable || restored || mass) {
		m.put(pairs, restored, since)
		restored, since = false, began
		m.log.Info().Int("missing", len(missing)).Msg("items are missing after an outage; keeping them for a grace period")
		wait.For(ctx, missingItemGrace)
		began = time.Now()
		if l, err = hedged(ctx, m.readAll, m.reportUnavailable); err != nil {
			return 0, err
		}
		pairs, revision = l.pairs, l.revision
		if kv.EraOf(m.store) != m.era {
			return 0, errEraChanged
		}
		missing = m.missing(pairs)
	}
	if m.unavailable || !m.synced {
		m.log.Info().Int("items", len(pairs)).Uint("revision", uint64(revision)).Msg("dependency regained: key-value service")
	}
	m.unavailable = false
	m.current = began
	m.put(pairs, restored, since)
	m.remove(missing)
	if !m.synced && len(pairs) == 0 {
		m.apply(nil)
	}
	m.synced = true
	return revision, nil
}

// listing is a list of all items, and the revision at which it was read.
type listing struct {
	pairs    []kv.Pair
	revision int64
}

func (m *Mirror) readAll(ctx context.Context) (listing, error) {
	pairs, revision, err := m.store.List(ctx, m.prefix)
	return listing{pairs: pairs, revision: revision}, err
}

// errEraChanged means that the era changed between two lists.
var errEraChanged = errors.New("the era of the key-value service changed")

// enterEra records the era of a list. If the service has returned to an earlier copy
// since the previous list, it reports true and forgets the revisions of all items,
// because they may be given out again.
func (m *Mirror) enterEra(era kv.Era, revision int64) bool {
	previous := m.era
	m.era = era
	if previous == 0 || era == previous {
		return false
	}
	for key, p := range m.items {
		p.ModRevision = 0
		m.items[key] = p
	}
	m.log.Warn().
		Uint("era", uint64(era)).
		Uint("previous_era", uint64(previous)).
		Uint("revision", uint64(revision)).
		Msg("key-value service returned to an earlier copy")
	return true
}

// missing returns the keys of the copy that are not in pairs.
func (m *Mirror) missing(pairs []kv.Pair) []string {
	present := make(map[string]bool, len(pairs))
	for i := range pairs {
		present[pairs[i].Key] = true
	}
	var out []string
	for key := range m.items {
		if !present[key] {
			out = append(out, key)
		}
	}
	return out
}

// put stores the items that are new or changed and passes them to apply, marked as
// restored or not, and with the time since which they may have been written.
func (m *Mirror) put(pairs []kv.Pair, restored bool, since time.Time) {
	var changes []Change
	for _, p := range pairs {
		if m.items[p.Key].ModRevision >= p.ModRevision {
			continue
		}
		m.items[p.Key] = p
		changes = append(changes, Change{Pair: p, Restored: restored, Since: since})
	}
	if len(changes) > 0 {
		m.apply(changes)
	}
}

// remove deletes items and passes the deletions to apply.
func (m *Mirror) remove(keys []string) {
	var changes []Change
	for _, key := range keys {
		delete(m.items, key)
		changes = append(changes, Change{Pair: kv.Pair{Key: key}, Deleted: true})
	}
	if len(changes) > 0 {
		m.apply(changes)
	}
}

// watch applies events, from the given revision on, until the watch ends or Refresh
// is called.
func (m *Mirror) watch(ctx context.Context, revision int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	events, err := m.store.Watch(ctx, m.prefix, revision)
	if err != nil {
		m.reportUnavailable(err, time.Since(began))
		return
	}
	if kv.EraOf(m.store) != m.era {
		return
	}
	for m.next(ctx, events) {
	}
	if ctx.Err() == nil {
		m.log.Info().Dur("lasted_ms", time.Since(began)).Dur("copy_age_ms", time.Since(m.current)).Msg("watch ended; listing again")
	}
}

// next applies one event. It returns false if the watch has ended or must be
// abandoned.
func (m *Mirror) next(ctx context.Context, events <-chan kv.Event) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.refresh:
		return false
	case ev, ok := <-events:
		switch {
		case !ok:
			return false
		case ev.Type == kv.EventDelete:
			m.remove([]string{ev.Pair.Key})
		default:
			m.put([]kv.Pair{ev.Pair}, false, time.Now())
		}
		m.current = time.Now()
		return true
	}
}
