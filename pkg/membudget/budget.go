// Package membudget bounds the memory of buffers whose sizes other programs decide. All buffers
// of one use share a budget, so that their number does not matter.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SmallBytes is the size up to which a buffer may use the whole budget. Larger ones leave
	// a part of it, so that small buffers do not wait behind them.
	SmallBytes = 64 << 10
	// largeShare is the part of a budget that buffers above SmallBytes may use.
	largeShare = 0.75
	// stallTime is the time without new bytes after which a buffer makes room for others
	// first.
	stallTime = time.Second
	// releaseWait is how long a buffer waits for the memory of one that makes room for it.
	releaseWait = 500 * time.Millisecond
)

// Budget is a number of bytes that several buffers share. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64

	mu sync.Mutex
	// filling are the buffers that are being filled and can be preempted.
	filling map[*Buffer]struct{}
	// wanted are the bytes for which buffers wait, and promised those that preempted buffers
	// still hold.
	wanted, promised int64
	// freed is closed when bytes are given back. It is nil while no buffer waits for that.
	freed chan struct{}
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, filling: map[*Buffer]struct{}{}} }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve takes n bytes for a buffer that has size bytes then. It reports false, and takes
// nothing, if they are not left.
func (b *Budget) Reserve(n, size int64) bool {
	limit := b.limit
	if size > SmallBytes {
		limit = int64(largeShare * float64(b.limit))
	}
	for {
		used := b.used.Load()
		if used+n > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release gives back n reserved bytes.
func (b *Budget) Release(n int64) {
	if n == 0 {
		return
	}
	b.used.Add(-n)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// register makes a buffer one that others may preempt until unregister is called.
func (b *Budget) register(buf *Buffer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.filling[buf] = struct{}{}
}

// unregister reports whether the buffer was preempted.
func (b *Budget) unregister(buf *Buffer) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.filling, buf)
	return buf.preempted
}

// keepPromise records that a preempted buffer has given its memory back.
func (b *Budget) keepPromise(buf *Buffer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.promised -= buf.promised
	buf.promised = 0
}

// makeRoom preempts other buffers for one that needs n bytes, unless those that were preempted
// before hold enough, and waits until some memory is given back. It reports false if the buffer is
// itself the one to give up.
func (b *Budget) makeRoom(buf *Buffer, n int64) bool {
	freed, ok := b.preemptFor(buf, n)
	if !ok {
		return false
	}
	defer b.stopWaiting(n)
	timeout := time.NewTimer(releaseWait)
	defer timeout.Stop()
	select {
	case <-freed:
		return true
	case <-timeout.C:
		return false
	}
}

func (b *Budget) stopWaiting(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wanted -= n
}

// preemptFor returns a channel that is closed when memory is given back.
func (b *Budget) preemptFor(buf *Buffer, n int64) (freed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if buf.preempted || b.promised < b.wanted+n && !b.preempt(buf) {
		return nil, false
	}
	b.wanted += n
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed, true
}

// preempt chooses a buffer that gives its memory up for buf. It reports false if there is none. The
// caller holds mu.
func (b *Budget) preempt(buf *Buffer) bool {
	now := time.Now()
	victim := buf
	for other := range b.filling {
		if !other.preempted && other.held.Load() > 0 && other.yieldsTo(victim, now) {
			victim = other
		}
	}
	if victim == buf {
		return false
	}
	victim.preempted = true
	victim.promised = victim.held.Load()
	b.promised += victim.promised
	victim.interrupt()
	return true
}
