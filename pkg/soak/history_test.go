package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// streamRecord is a complete stream of the non-repeatable model route.
func streamRecord() *record {
	r := &record{id: "c1-1", route: soakRoutes[0], adapter: "a1", status: http.StatusOK, stamped: true, whole: true}
	for i := 1; i <= streamSize; i++ {
		r.body += fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, r.id, i)
	}
	return r
}

// Guards against a soak that passes whatever happens: each broken promise must be
// found, and a proper request must not be reported.
func TestCheckFindsBrokenPromises(t *testing.T) {
	good := []platform.Run{{RequestID: "c1-1", Adapter: "a1", Version: 3}}
	assert.Equal(t, len(check(streamRecord(), good, 3)), 0)
	for name, c := range map[string]struct {
		change func(r *record)
		runs   []platform.Run
		newest int
		want   string
	}{
		"ran twice":     {runs: append(good, good...), want: "ran 2 times"},
		"refused":       {change: func(r *record) { r.status = 503 }, runs: good, want: "although it ran"},
		"denied":        {change: func(r *record) { r.status = 404 }, want: "denied"},
		"no mark":       {change: func(r *record) { r.stamped = false }, runs: good, want: "without the mark"},
		"no run":        {want: "without a run"},
		"other adapter": {runs: []platform.Run{{Adapter: "a2"}}, want: "asked for a1"},
		"short":         {change: func(r *record) { r.body = r.body[:40] }, runs: good, want: "complete is not"},
		"old version":   {change: func(r *record) { r.calm = true }, runs: good, newest: 4, want: "4 is named"},
	} {
		r := streamRecord()
		if c.change != nil {
			c.change(r)
		}
		found := strings.Join(check(r, c.runs, c.newest), "; ")
		assert.Assert(t, strings.Contains(found, c.want), "%s: found %q", name, found)
	}
}

// Guards against a judgement of versions while faults may still delay them.
func TestOnlyRequestsOfTheCalmAreCalm(t *testing.T) {
	h := newHistory()
	before := &record{sent: time.Now()}
	h.beginCalm()
	after := &record{sent: time.Now().Add(time.Millisecond)}
	h.add(before)
	h.add(after)
	assert.Assert(t, !before.calm && after.calm)
}
