package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// completeStreamRecord returns the record of a complete stream on the first route,
// whose requests are neither idempotent nor resumable.
func completeStreamRecord() *requestRecord {
	r := &requestRecord{id: "c1-1", route: testRoutes[0], adapter: "a1", status: http.StatusOK, hasServerStamp: true, complete: true}
	for i := 1; i <= streamEvents; i++ {
		r.body += platform.EventText(r.id, i, "v1")
	}
	return r
}

// Guards against a soak test that passes regardless of what happens: each broken
// guarantee must be found, and a correct request must not be reported.
func TestCheckFindsBrokenGuarantees(t *testing.T) {
	good := []platform.Run{{RequestID: "c1-1", Adapter: "a1", Version: 3}}
	assert.Equal(t, len(check(completeStreamRecord(), good, 3)), 0)
	for name, c := range map[string]struct {
		change        func(r *requestRecord)
		runs          []platform.Run
		latestVersion int
		want          string
	}{
		"ran twice":     {runs: append(good, good...), want: "ran 2 times"},
		"refused":       {change: func(r *requestRecord) { r.status = 503 }, runs: good, want: "although it ran"},
		"denied":        {change: func(r *requestRecord) { r.status = 404 }, want: "denied"},
		"no mark":       {change: func(r *requestRecord) { r.hasServerStamp = false }, runs: good, want: "without the mark"},
		"no run":        {want: "without a run"},
		"other adapter": {runs: []platform.Run{{Adapter: "a2"}}, want: "asked for a1"},
		"short":         {change: func(r *requestRecord) { r.body = r.body[:40] }, runs: good, want: "complete is not"},
		"old version":   {change: func(r *requestRecord) { r.inRecovery = true }, runs: good, latestVersion: 4, want: "4 is named"},
	} {
		r := completeStreamRecord()
		if c.change != nil {
			c.change(r)
		}
		found := strings.Join(check(r, c.runs, c.latestVersion), "; ")
		assert.Assert(t, strings.Contains(found, c.want), "%s: found %q", name, found)
	}
}

// Guards against checking the adapter version of requests sent while faults may still
// delay a new version.
func TestRequestsInRecovery(t *testing.T) {
	h := newHistory()
	before := &requestRecord{sent: time.Now()}
	h.beginRecovery()
	after := &requestRecord{sent: time.Now().Add(time.Millisecond)}
	h.add(before)
	h.add(after)
	assert.Assert(t, !before.inRecovery && after.inRecovery)
}
