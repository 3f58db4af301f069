package logging

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.buf.Write(p)
}

// Guards against a process that blocks on writing its log, and against lines that are
// dropped without being counted.
func TestBufferedNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	b := NewBufferedWriter(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4096 // 4 MiB, more than maxBufferedBytes
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
