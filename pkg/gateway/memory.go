package gateway

import (
	"github.com/fescuecourse/fescuecourse/pkg/membudget"
)

const (
	// defaultMemoryMB is the memory that the buffers of an entry without a memory limit are
	// based on.
	defaultMemoryMB = 256
	// requestShare, responseShare and eventShare are the parts of the memory of the process
	// for bodies of requests, for responses that are buffered until they are complete, and for
	// incomplete events. Half of the memory is left for all else and for garbage.
	requestShare  = 0.25
	responseShare = 0.2
	eventShare    = 0.05
	// freeEventBytes is the part of the buffer of each stream that the budget does not count,
	// so that usual events never wait for large ones.
	freeEventBytes = 32 << 10
)

// memoryBudgets bound what the callers and servers of an entry make it keep.
type memoryBudgets struct {
	requests, responses, events *membudget.Budget
}

// newMemoryBudgets divides the memory of a process, in MiB. 0 stands for defaultMemoryMB.
func newMemoryBudgets(mb float64) memoryBudgets {
	if mb == 0 {
		mb = defaultMemoryMB
	}
	share := func(s float64) *membudget.Budget { return membudget.New(int64(s * mb * (1 << 20))) }
	return memoryBudgets{requests: share(requestShare), responses: share(responseShare), events: share(eventShare)}
}

// eventBuffer holds what of a stream has arrived and was not forwarded.
type eventBuffer struct {
	budget *membudget.Budget
	bytes  []byte
	// reserved is the part of the capacity of bytes that is taken from the budget.
	reserved int64
}

// add appends bytes. It reports false if there is no memory for them.
func (b *eventBuffer) add(p []byte) bool {
	size := len(b.bytes) + len(p)
	if size > cap(b.bytes) && !b.grow(size) {
		return false
	}
	b.bytes = append(b.bytes, p...)
	return true
}

// grow enlarges the capacity, at least to size bytes.
func (b *eventBuffer) grow(size int) bool {
	capacity := max(2*cap(b.bytes), size, streamBufferBytes)
	if counted := int64(capacity) - freeEventBytes; counted > b.reserved {
		if !b.budget.Reserve(counted-b.reserved, int64(capacity)) {
			return false
		}
		b.reserved = counted
	}
	larger := make([]byte, len(b.bytes), capacity)
	copy(larger, b.bytes)
	b.bytes = larger
	return true
}

// remove drops the first n bytes. The memory of a large event is given back with it.
func (b *eventBuffer) remove(n int) {
	rest := b.bytes[n:]
	if b.reserved > 0 && len(rest) <= freeEventBytes {
		b.bytes = append(make([]byte, 0, max(len(rest), streamBufferBytes)), rest...)
		b.release()
		return
	}
	b.bytes = append(b.bytes[:0], rest...)
}

// release gives the reserved memory back.
func (b *eventBuffer) release() {
	b.budget.Release(b.reserved)
	b.reserved = 0
}
