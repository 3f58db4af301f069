package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `front-1 {"request":"r1","endpoint":"i-1","adapter":"a7","time":"2026-01-01T10:00:01.500Z","message":"place: placed"}
side-1 {"adapter":"a7","operation":"load","time":"2026-01-01T10:00:01.200Z","message":"sched: order given"}
front-1 {"endpoint":"i-1","time":"2026-01-01T10:00:02.000Z","message":"route: endpoint gone"}
front-1 {"endpoint":"i-2","time":"2026-01-01T10:00:02.000Z","message":"route: endpoint gone"}
front-1 {"request":"r2","endpoint":"i-1","time":"2026-01-01T10:00:02.000Z","message":"place: placed"}
not a log line
front-1 {"items":1,"time":"2026-01-01T10:00:02.100Z","message":"route: operator's items read from a sidecar"}
front-1 {"request":"r1","outcome":"unknown","team":"a","time":"2026-01-01T10:00:02.500Z","message":"entry: request ended"}
side-1 {"adapter":"a7","operation":"unload","time":"2026-01-01T10:00:09.000Z","message":"sched: order given"}
`

// Guards against output that omits related lines of other processes, or that contains
// lines about other requests.
func TestExplain(t *testing.T) {
	var out strings.Builder
	found, err := Explain(strings.NewReader(logs), "r1", &out)
	assert.NilError(t, err)
	assert.Assert(t, found)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 5, out.String())
	for i, want := range []string{"order given", "* 10:00:01.500 front-1 place: placed", "endpoint gone", "operator's items read", "team=a"} {
		assert.Assert(t, strings.Contains(lines[i], want), lines[i])
	}
	found, err = Explain(strings.NewReader(logs), "r9", &out)
	assert.NilError(t, err)
	assert.Assert(t, !found)
}
