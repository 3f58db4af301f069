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

// fields returns the fields of each line.
func (l *logRecorder) fields(t *testing.T) []map[string]any {
	t.Helper()
	var out []map[string]any
	for line := range strings.Lines(l.String()) {
		fields := map[string]any{}
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		out = append(out, fields)
	}
	return out
}
