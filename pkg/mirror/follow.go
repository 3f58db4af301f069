package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// confirmRetry is the delay before missing items are looked for again after a failure.
const confirmRetry = 250 * time.Millisecond

// errUnresponsive means that a call of a watch got no response in time.
var errUnresponsive = errors.New("the watch got no response")

// connection is the state of the mirror from one first page to the end of its watch.
type connection struct {
	*Mirror
	ctx context.Context
	// reading is the list that is being read, or nil.
	reading *reading
	// catchingUp is true while a resumed watch has not delivered everything that was
	// missed. Items that it removes after an outage get a grace period.
	catchingUp bool
	// outage is true if the service was unavailable before the connection.
	outage bool
	// lastMessage is when the watch was opened or delivered the last event.
	lastMessage time.Time
	// confirm fires when missing items have to be confirmed.
	confirm *time.Timer
}

// follow applies the first page of the items, opens a watch and applies everything that
// the watch and the further pages bring, until the watch ends or Refresh is called.
//
// If the copy was complete up to some revision, a watch from there replaces the further
// pages: at the target size there are 200 of them, for each process.
func (m *Mirror) follow(ctx context.Context, first page) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	restored := m.enterEra(first.era, first.Revision)
	c := &connection{Mirror: m, ctx: ctx, outage: m.unavailable.Load(), lastMessage: time.Now(), confirm: time.NewTimer(0)}
	defer c.confirm.Stop()
	if c.outage {
		c.restartGrace()
	}
	from := first.Revision
	if first.More && m.revision > 0 {
		c.catchingUp = true
		from = m.revision
		m.put(first.Pairs, restored, m.current)
	}
	began := time.Now()
	events, err := m.store.Watch(ctx, m.prefix, from+1)
	if err != nil {
		m.reportUnavailable(err, time.Since(began))
		return
	}
	if !c.catchingUp {
		c.startList(first, restored)
	}
	for c.next(events) {
	}
	if ctx.Err() == nil {
		m.log.Info().Dur("lasted_ms", time.Since(began)).Dur("copy_age_ms", time.Since(m.current)).Msg("watch ended; reading again")
	}
}

// next applies the next event or page. It returns false if the connection has ended.
func (c *connection) next(events <-chan kv.Event) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-c.refresh:
		c.revision, c.interrupted = 0, true
		return false
	case ev, ok := <-events:
		return ok && c.onEvent(&ev)
	case p := <-c.pages():
		return c.onPage(p)
	case s := <-c.supplied:
		if s.era == c.era {
			for i := range s.pairs {
				c.reading.onPut(s.pairs[i].Key)
			}
		}
		c.applySupply(s)
		return true
	case <-c.confirm.C:
		c.confirmMissing()
		return true
	}
}

// onEvent applies one event of the watch. It returns false if the watch is useless.
func (c *connection) onEvent(ev *kv.Event) bool {
	if kv.EraOf(c.store) != c.era {
		return false
	}
	now := time.Now()
	switch ev.Type {
	case kv.EventCompacted:
		c.revision = 0
		return false
	case kv.EventUnresponsive:
		c.reportUnavailable(errUnresponsive, now.Sub(c.lastMessage))
		return false
	case kv.EventProgress:
		c.lastMessage = now
		c.catchingUp = false
		c.advance(now, ev.Pair.ModRevision)
		return true
	case kv.EventDelete:
		c.onDelete(now, ev.Pair)
	default:
		c.reading.onPut(ev.Pair.Key)
		c.put([]kv.Pair{ev.Pair}, false, c.writtenSince(now))
	}
	c.lastMessage = now
	// Further events may have the same revision.
	c.advance(now, ev.Pair.ModRevision-1)
	return true
}

// onDelete removes an item, unless a page has shown already that it is back. One that was
// removed during an outage is kept for a grace period, like one that a list lacks.
func (c *connection) onDelete(now time.Time, p kv.Pair) {
	if c.items[p.Key].ModRevision > p.ModRevision {
		return
	}
	c.reading.onDelete(p)
	if c.catchingUp && c.outage {
		c.keep(now, []string{p.Key})
		return
	}
	c.remove([]string{p.Key})
}

// writtenSince returns a time before which an item that an event brings was not written.
func (c *connection) writtenSince(now time.Time) time.Time {
	if c.catchingUp {
		return c.current
	}
	return now
}

// advance records that the watch has delivered everything up to a revision. Unless a list
// of all items is still being read, or a resumed watch has not caught up, the copy is
// complete.
func (c *connection) advance(now time.Time, revision int64) {
	if c.reading.isFull() {
		c.reading.revision = max(c.reading.revision, revision)
		return
	}
	c.revision = max(c.revision, revision)
	if !c.catchingUp {
		c.reportComplete(now)
	}
}
