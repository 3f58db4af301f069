package membudget

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstBlockBytes and maxBlockBytes are the sizes of the first and of the largest blocks
	// of a buffer. Each block has twice the size of the one before.
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 64 << 10
)

var (
	// ErrTooLong means that a reader has more bytes than the buffer may hold.
	ErrTooLong = errors.New("more bytes than the buffer may hold")
	// ErrNoBudget means that the budget has no bytes left for the buffer, or that the buffer
	// had to make room for another one.
	ErrNoBudget = errors.New("no memory is left for the buffer")
)

// Buffer holds bytes in blocks, so that it grows without copies, and takes the memory of each
// block from a budget before it is allocated. It belongs to one goroutine.
type Buffer struct {
	budget *Budget
	// expected is the announced size, or -1.
	expected int64
	blocks   [][]byte
	size     int64
	reserved int64

	// interrupt ends the read that Fill waits for, or is nil for a buffer that keeps its
	// memory until it is released.
	interrupt func()
	// preempted is true once the buffer has to make room. It is guarded by the budget.
	preempted bool
	// promised are the bytes that a preempted buffer has not given back. It is guarded by the
	// budget.
	promised int64
	// held is the value of reserved, missing the number of bytes that are expected and have not
	// arrived, and progress the Unix time of the last bytes in nanoseconds, for other goroutines.
	held, missing, progress atomic.Int64
}

// NewBuffer returns an empty buffer for a number of bytes, which is -1 if it is not known. The
// caller must call Release.
func NewBuffer(b *Budget, expected int64) *Buffer { return &Buffer{budget: b, expected: expected} }

// Preemptible lets buffers that are nearer to their end take the memory of this one while Fill
// reads from a slow source. interrupt must make the read fail, without waiting. It is called
// by other goroutines, at most once.
func (b *Buffer) Preemptible(interrupt func()) { b.interrupt = interrupt }

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int64 { return b.size }

// Blocks returns the bytes in order. They are valid until Release.
func (b *Buffer) Blocks() [][]byte { return b.blocks }

// Bytes returns the bytes as one slice, valid until Release. It copies them if there are several
// blocks.
func (b *Buffer) Bytes() []byte {
	if len(b.blocks) == 0 {
		return nil
	}
	if len(b.blocks) > 1 {
		b.blocks = [][]byte{bytes.Join(b.blocks, nil)}
	}
	return b.blocks[0]
}

// Fill reads from r until its end. It stops with ErrTooLong after more than limit bytes, and
// with ErrNoBudget if no memory is left; what was read until then is in the buffer. Other errors
// are those of r.
func (b *Buffer) Fill(r io.Reader, limit int64) error {
	if b.interrupt == nil {
		return b.fill(r, limit)
	}
	b.recordProgress(limit)
	b.budget.register(b)
	err := b.fill(r, limit)
	if b.budget.unregister(b) {
		return ErrNoBudget
	}
	return err
}

// recordProgress records for other goroutines how far the buffer is.
func (b *Buffer) recordProgress(limit int64) {
	expected := b.expected
	if expected < 0 {
		expected = limit // the size is not known
	}
	b.missing.Store(expected - b.size)
	b.progress.Store(time.Now().UnixNano())
}

// yieldsTo reports whether b gives its memory up before the other buffer: one that gets no bytes
// first, and otherwise the one that misses more.
func (b *Buffer) yieldsTo(other *Buffer, now time.Time) bool {
	stalled, otherStalled := b.stalled(now), other.stalled(now)
	if stalled != otherStalled {
		return stalled
	}
	return b.missing.Load() > other.missing.Load()
}

func (b *Buffer) stalled(now time.Time) bool {
	return now.Sub(time.Unix(0, b.progress.Load())) > stallTime
}

func (b *Buffer) fill(r io.Reader, limit int64) error {
	for {
		if b.size > limit {
			return ErrTooLong
		}
		if !b.hasRoom() && !b.grow() {
			return ErrNoBudget
		}
		last := len(b.blocks) - 1
		block := b.blocks[last]
		n, err := r.Read(block[len(block):cap(block)])
		b.blocks[last] = block[:len(block)+n]
		b.size += int64(n)
		if b.interrupt != nil && n > 0 {
			b.recordProgress(limit)
		}
		switch {
		case errors.Is(err, io.EOF) && b.size > limit:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err //nolint:wrapcheck // the caller tells the errors of its reader apart
		}
	}
}

func (b *Buffer) hasRoom() bool {
	if len(b.blocks) == 0 {
		return false
	}
	block := b.blocks[len(b.blocks)-1]
	return len(block) < cap(block)
}

// grow adds a block. It reports false if the budget does not allow it.
func (b *Buffer) grow() bool {
	next := firstBlockBytes
	if n := len(b.blocks); n > 0 {
		next = min(2*cap(b.blocks[n-1]), maxBlockBytes)
	}
	for !b.budget.Reserve(int64(next), max(b.expected, b.reserved+int64(next))) {
		if b.interrupt == nil || !b.budget.makeRoom(b, int64(next)) {
			return false
		}
	}
	b.reserved += int64(next)
	b.held.Store(b.reserved)
	b.blocks = append(b.blocks, make([]byte, 0, next))
	return true
}

// WriteTo writes the bytes to w and releases each block once it is written. It returns the first
// error of w.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for len(b.blocks) > 0 {
		block := b.blocks[0]
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err //nolint:wrapcheck // the caller tells the errors of its writer apart
		}
		b.blocks[0] = nil
		b.blocks = b.blocks[1:]
		b.release(int64(cap(block)))
	}
	return written, nil
}

// Release gives the memory back. The buffer is empty afterwards.
func (b *Buffer) Release() {
	b.blocks, b.size = nil, 0
	if b.interrupt != nil {
		b.budget.keepPromise(b)
	}
	b.release(b.reserved)
}

func (b *Buffer) release(n int64) {
	b.reserved -= n
	b.budget.Release(n)
}
