package gateway

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

// logRecorder collects log lines. It is safe for concurrent use.
type logRecorder struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// recordLog makes the gateway write its log to the returned recorder. It must be
// called before the first request.
func recordLog(w *testGateway) *logRecorder {
	l := &logRecorder{}
	w.gateway.log = logging.New(l, zerolog.InfoLevel)
	return l
}

func (l *logRecorder) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(line)
}

func (l *logRecorder) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// closingCauses returns the cause in each closing line of a request.
func (l *logRecorder) closingCauses(t *testing.T) []string {
	t.Helper()
	var out []string
	for line := range strings.Lines(l.String()) {
		var fields struct{ Message, Cause string }
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		if fields.Message == "entry: request ended" {
			out = append(out, fields.Cause)
		}
	}
	return out
}
