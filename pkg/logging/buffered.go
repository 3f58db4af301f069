package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the size of the buffered lines. Further lines are
	// dropped and counted.
	maxBufferedBytes = 512 << 10
	// flushInterval is how often buffered lines are written.
	flushInterval = 100 * time.Millisecond
)

// BufferedWriter buffers log lines and writes them to another writer in the background.
// Write never blocks on that writer. Lines are written in batches, so that a busy
// process makes few system calls.
type BufferedWriter struct {
	w       io.Writer
	mu      sync.Mutex
	pending []byte
	// spare is the buffer of the previous flush, which the next flush reuses.
	spare   []byte
	dropped int
	flushMu sync.Mutex
	stop    chan struct{}
	done    chan struct{}
}

// NewBufferedWriter returns a writer that writes to w in the background until Close.
func NewBufferedWriter(w io.Writer) *BufferedWriter {
	b := &BufferedWriter{w: w, stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write buffers a copy of the line. If the buffer is full, it drops and counts the
// line. It never returns an error.
func (b *BufferedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxBufferedBytes {
		b.dropped++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	return len(line), nil
}

// Close writes the buffered lines and stops the background writes.
func (b *BufferedWriter) Close() {
	close(b.stop)
	<-b.done
	b.flush()
}

func (b *BufferedWriter) run() {
	defer close(b.done)
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-tick.C:
			b.flush()
		}
	}
}

func (b *BufferedWriter) flush() {
	b.flushMu.Lock()
	defer b.flushMu.Unlock()
	b.mu.Lock()
	lines, dropped := b.pending, b.dropped
	b.pending, b.dropped = b.spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"dropped_lines\":%d,\"message\":\"log: lines dropped\"}\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = b.w.Write(lines) // a failure to write the log cannot be logged
	}
	b.spare = lines
}
