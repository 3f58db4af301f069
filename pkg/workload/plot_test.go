package workload_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// Guards against an index page whose template names a field that no longer exists:
// such a template compiles and fails only when it is executed.
func TestWriteFilesFillsTheIndexPage(t *testing.T) {
	rep := &workload.Report{
		Workload:     "meadow",
		Seed:         4711,
		DurationS:    35,
		OfferedPerS:  12.5,
		AnsweredPerS: 11.3,
		Rows: []workload.Row{{
			Class: workload.ClassStream, Segment: workload.SegmentTail,
			Requests: 101, Answered: 102, NotRun: 103, Unknown: 104, Stalled: 105,
			FirstToken: workload.Percentiles{Count: 1, P50: 201, P95: 202, P99: 203},
			InterToken: workload.Percentiles{Count: 1, P50: 211, P95: 212, P99: 213},
			Total:      workload.Percentiles{Count: 1, P50: 221, P95: 222, P99: 223},
			LoadStall:  workload.Percentiles{Count: 1, P50: 231, P95: 232, P99: 233},
		}},
		EngineStats: &workload.EngineStats{BatchEfficiency: 0.8125, Loads: 301, Evictions: 302},
		Violations:  make([]workload.Violation, 3),
	}
	dir := t.TempDir()
	assert.NilError(t, workload.NewRecorder(nil).WriteFiles(dir, rep))

	page, err := os.ReadFile(filepath.Join(dir, "index.html"))
	assert.NilError(t, err)
	for _, want := range []string{
		"<title>meadow, seed 4711</title>",
		"<h1>meadow, seed 4711, 35 s</h1>",
		"12.5 requests/s offered",
		"11.3 answered",
		"3 violations",
		"Batch efficiency 0.8125, 301 loads, 302 evictions",
		"<td>stream<td>tail<td>101<td>102<td>103<td>104<td>105" +
			"<td>201.0/202.0/203.0<td>211.0/212.0/213.0<td>221.0/222.0/223.0<td>231.0/232.0/233.0</tr>",
		`<h2>Load stall, p95 by intended start (ms)</h2><img src="load-stall.png" alt="Load stall, p95 by intended start (ms)">`,
	} {
		assert.Check(t, strings.Contains(string(page), want), "%q is missing in:\n%s", want, page)
	}
}
