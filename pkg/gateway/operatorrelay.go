package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

const (
	// storeMargin is how much longer than the pause of the watch an entry waits for items of
	// the operator from the key-value store before it asks a sidecar.
	storeMargin = 200 * time.Millisecond
	// relayTimeout limits a question for the operator's items.
	relayTimeout = 500 * time.Millisecond
	// relayPause is the delay after a question that brought nothing new.
	relayPause = time.Second
)

// operatorRelay gets items of the operator from the sidecars that the key-value store serves
// while it turns this entry away. Sidecars name the revision of their items in their status
// reports.
type operatorRelay struct {
	log logging.Logger
	// patience is how long the store has to bring an item that a sidecar reports.
	patience time.Duration
	// available reports whether the store answers this entry.
	available func() bool
	// supply applies the items of a sidecar.
	supply func(ctx context.Context, era kv.Era, pairs []kv.Pair) bool

	mu  sync.Mutex
	era kv.Era
	// revision is the highest one of the operator's items that the entry has read.
	revision int64
	// changed is closed, and replaced, when revision changes.
	changed chan struct{}
	// reported is the highest revision that a sidecar has reported since the entry last had all
	// items, and source the link to it.
	reported int64
	source   *originLink
	// running is true while a goroutine catches up.
	running bool
	// hurry ends the wait for the store.
	hurry chan struct{}
}

func newOperatorRelay(patience time.Duration, log logging.Logger) *operatorRelay {
	return &operatorRelay{log: log, patience: patience, changed: make(chan struct{}), hurry: make(chan struct{}, 1)}
}

// read records that the entry has read an item of the operator. A list of another era begins
// anew, because its revisions may be given out again.
func (r *operatorRelay) read(era kv.Era, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era != r.era {
		r.era, r.revision, r.reported = era, 0, 0
	}
	if revision <= r.revision {
		return
	}
	r.revision = revision
	close(r.changed)
	r.changed = make(chan struct{})
}

// report records the revision that a sidecar reports. If the entry lacks items, it starts to
// catch up, until ctx ends.
func (r *operatorRelay) report(ctx context.Context, source *originLink, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.revision {
		return
	}
	if revision >= r.reported {
		r.reported, r.source = revision, source
	}
	if !r.running {
		select {
		case <-r.hurry: // left over from an earlier request
		default:
		}
		r.running = true
		go r.catchUp(ctx)
	}
}

// behind returns a channel that is closed when the entry reads further items, and whether a
// sidecar has reported items that the entry lacks.
func (r *operatorRelay) behind() (changed <-chan struct{}, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed, r.reported > r.revision
}

// mayLackItems reports whether the operator may have written items that the entry lacks: a
// sidecar has reported some, or the store does not answer.
func (r *operatorRelay) mayLackItems() bool {
	_, behind := r.behind()
	return behind || !r.available()
}

// await waits until the entry has all items that sidecars have reported, or ctx ends. It asks
// for them at once.
func (r *operatorRelay) await(ctx context.Context) {
	for {
		changed, behind := r.behind()
		if !behind {
			return
		}
		select {
		case r.hurry <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// catchUp reads the items that the entry lacks from sidecars, unless the store brings them
// first.
func (r *operatorRelay) catchUp(ctx context.Context) {
	defer r.stopped()
	r.awaitStore(ctx)
	for ctx.Err() == nil {
		before, source, behind := r.lacking()
		if !behind {
			return
		}
		r.ask(ctx, source, before)
		if after, _, _ := r.lacking(); after == before {
			r.pause(ctx, relayPause)
			r.forgetReport(source)
		}
	}
}

// forgetReport drops what a sidecar has reported that was asked in vain, so that only new reports
// count. It may be lost, or have reported a revision of another era.
func (r *operatorRelay) forgetReport(asked *originLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.source == asked {
		r.reported, r.source = 0, nil
	}
}

// stopped ends catching up. Reports that are still unconfirmed are dropped; the next ones start
// it again.
func (r *operatorRelay) stopped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running, r.reported, r.source = false, 0, nil
}

// lacking returns the revision of the entry, the link to the sidecar that has reported the
// highest one and whether that is higher.
func (r *operatorRelay) lacking() (revision int64, source *originLink, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.source, r.reported > r.revision
}

// awaitStore gives the store time to bring what the entry lacks, if it answers.
func (r *operatorRelay) awaitStore(ctx context.Context) {
	until := time.Now().Add(r.patience)
	for r.available() && time.Now().Before(until) {
		changed, behind := r.behind()
		if !behind || r.waitFor(ctx, changed, min(time.Until(until), storeMargin)) {
			return
		}
	}
}

// waitFor waits for the given time or until changed is closed. It reports true if a request
// needs the items at once or ctx has ended.
func (r *operatorRelay) waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-r.hurry:
		return true
	case <-changed:
	case <-timer.C:
	}
	return false
}

// pause waits for the given time, or until the entry reads further items or ctx ends.
func (r *operatorRelay) pause(ctx context.Context, d time.Duration) {
	changed, _ := r.behind()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// ask reads the items after a revision from a sidecar and applies them.
func (r *operatorRelay) ask(ctx context.Context, source *originLink, after int64) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	client := source.connection(ctx)
	if client == nil {
		return
	}
	resp, err := client.ReadOperatorItems(ctx, &fescuev1.ReadOperatorItemsRequest{AfterRevision: after})
	if err != nil {
		r.log.Warn().Err(err).Msg("cannot read the operator's items from a sidecar")
		return
	}
	pairs := make([]kv.Pair, 0, len(resp.GetItems()))
	for _, i := range resp.GetItems() {
		pairs = append(pairs, kv.Pair{Key: i.GetKey(), Value: i.GetValue(), ModRevision: i.GetRevision()})
	}
	r.log.Info().Int("items", len(pairs)).Uint("after_revision", uint64(after)).Bool("store_available", r.available()).Msg("operator's items read from a sidecar")
	changed, _ := r.behind()
	if len(pairs) > 0 && r.supply(ctx, kv.Era(resp.GetEra()), pairs) {
		// Wait until the items have passed through the mirror and the bus.
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
