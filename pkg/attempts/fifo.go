package attempts

// compactAt is the minimum number of free slots at the front of a fifo before its
// items are moved to the front, so that a small queue is not moved often.
const compactAt = 64

// fifo is a first-in first-out queue.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) push(v T) { f.items = append(f.items, v) }

func (f *fifo[T]) front() T { return f.items[f.head] }

func (f *fifo[T]) pop() T {
	v := f.items[f.head]
	var zero T
	f.items[f.head] = zero
	f.head++
	if f.head >= compactAt && 2*f.head >= len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items = f.items[:n]
		f.head = 0
	}
	return v
}
