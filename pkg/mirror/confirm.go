package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

const (
	// confirmInterval is the least time between two confirmations. At the target size, all
	// entries together then use a third of the reads that the service allows.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout limits a confirmation.
	confirmTimeout = 2 * time.Second
	// afterAllKeys sorts after all keys, which begin with letters or digits.
	afterAllKeys = "~"
)

// confirmer shares confirmations among callers. A caller needs one that begins after its call.
type confirmer struct {
	mu sync.Mutex
	// next is the confirmation that has not begun, or nil.
	next *confirmation
	last time.Time
}

type confirmation struct {
	done chan struct{}
	err  error
}

// Confirm returns when apply has got every change that was made before the call. It fails if
// ctx ends, or if the service does not answer a call that begins after this one: what the copy
// holds may then be outdated.
func (m *Mirror) Confirm(ctx context.Context) error {
	c := m.confirmer.join(m.confirm)
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "confirm the copy")
	}
}

// join returns the next confirmation, which run carries out.
func (c *confirmer) join(run func(context.Context) error) *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		return c.next
	}
	next := &confirmation{done: make(chan struct{})}
	c.next = next
	go c.run(next, max(0, confirmInterval-time.Since(c.last)), run)
	return next
}

// run carries out a confirmation after a delay.
func (c *confirmer) run(next *confirmation, delay time.Duration, run func(context.Context) error) {
	defer close(next.done)
	wait.For(context.Background(), delay)
	c.mu.Lock()
	c.next, c.last = nil, time.Now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	next.err = run(ctx)
}

// confirm reads the revision of the service and waits until the copy has reached it.
func (m *Mirror) confirm(ctx context.Context) error {
	p, err := kv.ListPage(ctx, m.store, m.prefix, m.prefix+afterAllKeys)
	if err != nil {
		return errors.Wrap(err, "read the revision")
	}
	return errors.Wrap(m.progress.wait(ctx, kv.EraOf(m.store), p.Revision), "wait for the copy")
}
