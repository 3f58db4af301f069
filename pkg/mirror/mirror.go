// Package mirror keeps a local copy of the items under a prefix of the key-value
// service. While the service is unavailable, the copy keeps its last state.
//
// Every item is applied as soon as it is read: nothing waits for the rest of a list, for
// items that are missing or for a call that does not return.
package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
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
	// Era is the era of the revision of Pair.
	Era kv.Era
}

// Mirror keeps a local copy of one prefix.
type Mirror struct {
	store  kv.Store
	prefix string
	apply  func([]Change)
	log    logging.Logger
	items  map[string]kv.Pair
	// missing holds the items that were not there after an outage, with the time from
	// which they count as gone.
	missing map[string]time.Time
	// synced is true once the first list is complete.
	synced bool
	// unavailable is true from the first failed call until the copy is complete again.
	unavailable atomic.Bool
	// supplied has items that were read by other processes.
	supplied chan supply
	// current is a time at which the copy was complete: the start of the last list or
	// the arrival of the last event. Items that a list adds may have been written at any
	// time since then.
	current time.Time
	// revision is the one up to which the copy is complete, or 0 if all items have to be
	// listed.
	revision int64
	// era is the era of the revisions in items.
	era kv.Era
	// refresh is a request for a new connection.
	refresh chan struct{}
	// interrupted is true, until a list of all items is complete, if changes may have been
	// missed for a time that the clock does not show: while the process was suspended, or
	// because the service returned to an earlier copy.
	interrupted bool
	// progress is how far the copy has followed the service.
	progress  *progress
	confirmer confirmer
}

// New returns a mirror that passes each change to apply, in order, from the
// goroutine that calls Run. Once all items of the first list have been passed on, it calls
// apply with nil.
func New(store kv.Store, prefix string, apply func([]Change), log logging.Logger) *Mirror {
	return &Mirror{
		store:    store,
		prefix:   prefix,
		apply:    apply,
		log:      log.With("prefix", prefix),
		items:    map[string]kv.Pair{},
		missing:  map[string]time.Time{},
		refresh:  make(chan struct{}, 1),
		supplied: make(chan supply),
		progress: newProgress(),
	}
}

// Available reports whether no call has failed since the copy was last complete.
func (m *Mirror) Available() bool { return !m.unavailable.Load() }

// Refresh makes the mirror read the items again. It is needed when the watch may
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
		first, err := m.connect(ctx)
		if err != nil {
			m.pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		m.follow(ctx, first)
	}
}

// connect reads the first page of the items. Meanwhile it applies supplied items.
func (m *Mirror) connect(ctx context.Context) (page, error) {
	done := make(chan result[page], 1)
	go func() {
		p, err := hedged(ctx, m.readFirst, m.reportUnavailable)
		done <- result[page]{value: p, err: err}
	}()
	for {
		select {
		case r := <-done:
			return r.value, r.err
		case s := <-m.supplied:
			m.applySupply(s)
		}
	}
}

// pause waits for the given time, or until ctx ends. Meanwhile it applies supplied items.
func (m *Mirror) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case s := <-m.supplied:
			m.applySupply(s)
		}
	}
}

// reportUnavailable logs the first failure of an outage, of a call that took the given
// time.
func (m *Mirror) reportUnavailable(err error, took time.Duration) {
	if !m.unavailable.Load() {
		m.log.Warn().Err(err).Dur("took_ms", took).Dur("copy_age_ms", time.Since(m.current)).Msg("dependency lost: key-value service")
	}
	m.unavailable.Store(true)
}

// reportComplete records that the copy was complete at the given time.
func (m *Mirror) reportComplete(at time.Time) {
	if m.unavailable.Load() || !m.synced {
		m.log.Info().Int("items", len(m.items)).Int("missing", len(m.missing)).Uint("revision", uint64(m.revision)).Msg("dependency regained: key-value service")
	}
	m.unavailable.Store(false)
	m.current = at
	if !m.synced {
		m.synced = true
		m.apply(nil)
	}
	m.progress.advance(at, m.era, m.revision)
}

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
	m.revision, m.interrupted = 0, true
	m.log.Warn().
		Uint("era", uint64(era)).
		Uint("previous_era", uint64(previous)).
		Uint("revision", uint64(revision)).
		Msg("key-value service returned to an earlier copy")
	return true
}

// put stores the items that are new or changed and passes them to apply, marked as
// restored or not, and with the time since which they may have been written.
func (m *Mirror) put(pairs []kv.Pair, restored bool, since time.Time) {
	var changes []Change
	for _, p := range pairs {
		delete(m.missing, p.Key)
		if m.items[p.Key].ModRevision >= p.ModRevision {
			continue
		}
		m.items[p.Key] = p
		changes = append(changes, Change{Pair: p, Restored: restored, Since: since, Era: m.era})
	}
	if len(changes) > 0 {
		m.apply(changes)
	}
}

// remove deletes items and passes the deletions to apply.
func (m *Mirror) remove(keys []string) {
	var changes []Change
	for _, key := range keys {
		delete(m.missing, key)
		if _, ok := m.items[key]; !ok {
			continue
		}
		delete(m.items, key)
		changes = append(changes, Change{Pair: kv.Pair{Key: key}, Deleted: true})
	}
	if len(changes) > 0 {
		m.apply(changes)
	}
}
