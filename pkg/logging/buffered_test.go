package logging

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.buf.Write(p)
}

// Guards against a process that waits for its log, and against lines that vanish
// without a word.
func TestBufferedNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	b := NewBufferedWriter(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4096 // more than the buffer holds
	for range lines {
		_, err := b.Write(line)
		assert.NilError(t, err)
	}
	close(w.release)
	b.Close()
	text := w.buf.String()
	assert.Assert(t, strings.Contains(text, "dropped_lines"))
	kept := strings.Count(text, string(line))
	assert.Assert(t, kept >= maxBufferedBytes/len(line)-1 && kept < lines, "%d lines", kept)
}
