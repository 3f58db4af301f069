// Package logrecorder collects the log lines of a process in a test.
package logrecorder

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// Recorder collects log lines. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Logger returns a logger that writes to the recorder.
func (r *Recorder) Logger() logging.Logger { return logging.New(r, zerolog.InfoLevel) }

// Write adds a line.
func (r *Recorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines.Write(line)
}

// ClosingCauses returns the cause in each closing line of a request.
func (r *Recorder) ClosingCauses(t *testing.T) []string {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for line := range strings.Lines(r.lines.String()) {
		var fields struct{ Message, Cause string }
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		if strings.HasSuffix(fields.Message, ": request ended") {
			out = append(out, fields.Cause)
		}
	}
	return out
}
