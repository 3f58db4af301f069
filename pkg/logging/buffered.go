package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the lines that wait to be written. Lines beyond it are
	// dropped and counted.
	maxBufferedBytes = 512 << 10
	// flushInterval is how often waiting lines are written.
	flushInterval = 100 * time.Millisecond
)

// BufferedWriter is a writer that never blocks on the one behind it. Its lines are
// written together, so that a busy process makes few system calls.
type BufferedWriter struct {
	w       io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	flushMu sync.Mutex
	stop    chan struct{}
	done    chan struct{}
}

// NewBufferedWriter returns a writer in front of w. Close it to write what waits.
func NewBufferedWriter(w io.Writer) *BufferedWriter {
	b := &BufferedWriter{w: w, stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write keeps a copy of the line, or drops it if too much waits.
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

// Close writes what waits and ends the writer.
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
		_, _ = b.w.Write(lines) // a log that cannot be written cannot be reported
	}
	b.spare = lines
}
