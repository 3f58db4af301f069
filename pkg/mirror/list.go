package mirror

import (
	"context"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

// page is one page of a list, or the failure to read it.
type page struct {
	kv.Page
	// era is the era of the page, and began the time at which the call was sent.
	era   kv.Era
	began time.Time
	err   error
	took  time.Duration
}

func (m *Mirror) readFirst(ctx context.Context) (page, error) {
	p := m.readPage(ctx, "")
	return p, p.err
}

func (m *Mirror) readPage(ctx context.Context, after string) page {
	began := time.Now()
	p, err := kv.ListPage(ctx, m.store, m.prefix, after)
	return page{Page: p, era: kv.EraOf(m.store), began: began, err: err, took: time.Since(began)}
}

// reading is a list of items that is being read page by page while the watch goes on. A
// nil *reading is no list.
type reading struct {
	// full is true for a list of all items, false for one of the items that are missing.
	full bool
	// first is the first missing item that is looked for, and last the last one. Both are
	// empty for a list of all items.
	first, last string
	began       time.Time
	restored    bool
	// since is the time since which the items may have been written.
	since time.Time
	// revision is the one up to which the watch has delivered everything.
	revision int64
	// seen has the items that exist according to the list and the watch.
	seen map[string]struct{}
	// deleted has the revisions of the deletions that the watch has delivered. Pages that
	// were read before must not bring these items back.
	deleted map[string]int64
	pages   chan page
}

func newReading() *reading {
	return &reading{seen: map[string]struct{}{}, deleted: map[string]int64{}, pages: make(chan page)}
}

func (r *reading) isFull() bool { return r != nil && r.full }

func (r *reading) onPut(key string) {
	if r != nil {
		r.seen[key] = struct{}{}
	}
}

func (r *reading) onDelete(p kv.Pair) {
	if r != nil {
		delete(r.seen, p.Key)
		r.deleted[p.Key] = p.ModRevision
	}
}

// isLast reports whether no page has to be read after p.
func (r *reading) isLast(p *page) bool {
	return !p.More || r.last != "" && p.Pairs[len(p.Pairs)-1].Key >= r.last
}

// withoutDeleted returns the pairs that have not been deleted since their page was read. It
// does not change the page, which readPages still uses.
func (r *reading) withoutDeleted(pairs []kv.Pair) []kv.Pair {
	if len(r.deleted) == 0 {
		return pairs
	}
	var out []kv.Pair
	for _, p := range pairs {
		if r.deleted[p.Key] < p.ModRevision {
			out = append(out, p)
		}
	}
	return out
}

// startList reads all items, of which the first page is given.
func (c *connection) startList(first page, restored bool) {
	r := newReading()
	r.full, r.began, r.restored, r.since, r.revision = true, first.began, restored, c.current, first.Revision
	c.reading = r
	if !c.onPage(first) || c.reading == nil {
		return
	}
	go c.readPages(c.ctx, r, first.Pairs[len(first.Pairs)-1].Key)
}

// readPages reads the pages after a key. A page that cannot be read is tried again.
func (m *Mirror) readPages(ctx context.Context, r *reading, after string) {
	backoff := minBackoff
	for {
		p := m.readPage(ctx, after)
		select {
		case r.pages <- p:
		case <-ctx.Done():
			return
		}
		if p.err != nil {
			wait.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if r.isLast(&p) {
			return
		}
		after = p.Pairs[len(p.Pairs)-1].Key
	}
}

// pages returns the channel of the list that is being read, or nil.
func (c *connection) pages() <-chan page {
	if c.reading == nil {
		return nil
	}
	return c.reading.pages
}

// onPage applies one page. It returns false if the page belongs to another era than the
// rest of the copy.
func (c *connection) onPage(p page) bool {
	if p.err != nil {
		c.reportUnavailable(p.err, p.took)
		return true
	}
	if p.era != c.era {
		return false
	}
	r := c.reading
	pairs := r.withoutDeleted(p.Pairs)
	for i := range pairs {
		r.seen[pairs[i].Key] = struct{}{}
	}
	c.put(pairs, r.restored, r.since)
	if r.isLast(&p) {
		c.endList()
	}
	return true
}

// endList ends the list that is being read. Items that it lacks are removed. After an
// outage, or a return of the service to an earlier copy, they are kept for a grace period
// first.
func (c *connection) endList() {
	r := c.reading
	c.reading = nil
	if !r.full {
		c.endConfirm(r)
		return
	}
	var lacking []string
	for key := range c.items {
		if _, ok := r.seen[key]; !ok {
			lacking = append(lacking, key)
		}
	}
	mass := float64(len(lacking)) > max(1, massLossShare*float64(len(c.items)))
	if c.synced && (c.unavailable.Load() || r.restored || mass) {
		c.keep(time.Now(), lacking)
	} else {
		c.remove(slices.DeleteFunc(lacking, func(key string) bool { return !c.missing[key].IsZero() }))
	}
	c.revision = r.revision
	c.progress.listed(r.began, !c.interrupted)
	c.interrupted = false
	c.reportComplete(r.began)
	c.scheduleConfirm(time.Now())
}
