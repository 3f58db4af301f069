package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// maxUnseen is the longest time between two complete copies of which a list can hide no
// item: one that was written and removed in between lasted for longer.
const maxUnseen = 3 * time.Second

// progress is how far the copy has followed the service. It is safe for concurrent use.
type progress struct {
	mu       sync.Mutex
	era      kv.Era
	revision int64
	// since and until are the ends of the period of which the copy has seen all items.
	since, until time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newProgress() *progress { return &progress{changed: make(chan struct{})} }

// advance records that the copy was complete at the given time, up to a revision.
func (p *progress) advance(at time.Time, era kv.Era, revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era, p.revision, p.until = era, revision, at
	close(p.changed)
	p.changed = make(chan struct{})
}

// listed records that a whole list was read, beginning at the given time. It continues the
// period if it can hide no item that was removed before.
func (p *progress) listed(began time.Time, continues bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !continues || p.since.IsZero() || began.Sub(p.until) > maxUnseen {
		p.since = began
	}
}

// wait returns when the copy is complete up to the revision, or was read in a later era.
func (p *progress) wait(ctx context.Context, era kv.Era, revision int64) error {
	for {
		p.mu.Lock()
		reached := !p.until.IsZero() && (p.era > era || p.era == era && p.revision >= revision)
		changed := p.changed
		p.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err() //nolint:wrapcheck // an error of the caller's context
		case <-changed:
		}
	}
}

// Followed returns the period of which the copy has seen all items, including those that were
// removed since, and false before the first list is complete.
func (m *Mirror) Followed() (since, until time.Time, ok bool) {
	m.progress.mu.Lock()
	defer m.progress.mu.Unlock()
	return m.progress.since, m.progress.until, !m.progress.until.IsZero()
}
