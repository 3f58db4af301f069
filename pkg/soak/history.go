package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// requestRecord is one request and its response as the caller saw them.
type requestRecord struct {
	id             string
	route          testRoute
	adapter        string
	key            *testKey
	sent           time.Time
	inRecovery     bool
	status         int
	hasServerStamp bool
	body           string
	// complete is set if the response body was read without an error. closed is set if it was
	// and only the end of the connection has ended it.
	complete, closed bool
	// lastEvent is the number of the event after which the request goes on with a
	// stream, or 0 for a new stream. events are the complete events of the response.
	lastEvent int
	events    []event
	// undisturbed is set if the entry, and two servers of the stream's software version,
	// had no faults from undisturbedTime before the request to its end.
	undisturbed bool
}

// denied reports whether the status is an error that a repetition does not change.
func (r *requestRecord) denied() bool {
	switch r.status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound:
		return true
	default:
		return false
	}
}

// reportedNotRun reports whether the status states that the request did not run.
func (r *requestRecord) reportedNotRun() bool {
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func (r *requestRecord) answered() bool { return r.status == http.StatusOK && r.complete }

// history collects the requests of all callers.
type history struct {
	mu      sync.Mutex
	records []*requestRecord
	streams []*streamRecord
	// recoveryStart is the start of the recovery phase, and recoveryEnd its end; zero
	// before them.
	recoveryStart, recoveryEnd time.Time
}

func newHistory() *history { return &history{} }

func (h *history) add(r *requestRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.inRecovery = !h.recoveryStart.IsZero() && r.sent.After(h.recoveryStart) &&
		(h.recoveryEnd.IsZero() || r.sent.Before(h.recoveryEnd))
	h.records = append(h.records, r)
}

// addStream adds a request that is a stream, with all its attempts.
func (h *history) addStream(s *streamRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams = append(h.streams, s)
}

func (h *history) beginRecovery() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recoveryStart = time.Now()
}

func (h *history) endRecovery() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recoveryEnd = time.Now()
}

// report checks the guarantees and returns the result.
func (h *history) report(tb *testbed, seed uint64, faults int) *Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := &Report{Seed: seed, Requests: len(h.records), Faults: faults}
	runs := tb.runs()
	for _, r := range h.records {
		out.count(r)
		for _, v := range check(r, runs[r.id], tb.latestVersion(r.adapter)) {
			out.Violations = append(out.Violations, r.id+" "+r.route.prefix+": "+v)
		}
	}
	for _, s := range h.streams {
		out.Violations = append(out.Violations, s.check()...)
	}
	out.Begun, out.Resumed = streamShares(h.streams)
	out.Violations = append(out.Violations, CheckShares(out.Begun, out.Resumed)...)
	out.addRuns(runs)
	out.Violations = append(out.Violations, tb.violations()...)
	if float64(out.RecoveryAnswered) < minRecoveryShare*float64(out.RecoveryRequests) {
		out.Violations = append(out.Violations, fmt.Sprintf("only %d of %d requests were answered after the faults", out.RecoveryAnswered, out.RecoveryRequests))
	}
	return out
}

// addRuns counts the runs with fetched prompt memory, and adds a violation for each run
// that used memory made under other versions.
func (out *Report) addRuns(runs map[string][]platform.Run) {
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		for _, run := range runs[id] {
			if run.Fetched {
				out.Fetches++
			}
			if len(run.StaleMemory) > 0 {
				out.Violations = append(out.Violations, staleMemoryText(id, &run))
			}
		}
	}
}

func staleMemoryText(id string, run *platform.Run) string {
	return fmt.Sprintf("%s: used parts %+v, runs under %+v", id, run.StaleMemory,
		platform.MemoryVersion{Weights: run.Weights, Adapter: run.Version, Software: run.Software})
}

func (out *Report) count(r *requestRecord) {
	switch {
	case r.answered():
		out.Answered++
	case r.reportedNotRun():
		out.Refused++
	default:
		out.Unknown++
	}
	if !r.inRecovery || r.isRevoked() {
		return
	}
	out.RecoveryRequests++
	if r.answered() {
		out.RecoveryAnswered++
	}
}

// check returns a description of each guarantee that a request violates, given its
// executions and the latest version of its adapter.
func check(r *requestRecord, runs []platform.Run, latestVersion int) []string {
	var out []string
	idempotent := r.route.kind == "idempotent" || r.route.resumable
	if !idempotent && len(runs) > 1 {
		out = append(out, fmt.Sprintf("ran %d times", len(runs)))
	}
	if !idempotent && r.reportedNotRun() && len(runs) > 0 {
		out = append(out, fmt.Sprintf("answered %d although it ran", r.status))
	}
	out = append(out, checkKey(r, runs)...)
	if r.denied() && !r.mayLackKey() {
		out = append(out, fmt.Sprintf("denied with %d", r.status))
	}
	if r.route.service == modelService && r.status == http.StatusOK {
		out = append(out, checkStream(r)...)
	}
	if !r.answered() {
		return out
	}
	if !r.hasServerStamp {
		out = append(out, "a success without the mark of a server")
	}
	if len(runs) == 0 {
		out = append(out, "a success without a run")
	}
	for _, run := range runs {
		if run.Adapter != r.adapter {
			out = append(out, "ran with adapter "+run.Adapter+", asked for "+r.adapter)
		}
		// The recovery phase begins at least maxFaultDuration-seriesDuration and
		// settleTime, together 5.5 s, after the last version was published. An older
		// version may serve requests for 5 s after that publication.
		if r.inRecovery && run.Version < latestVersion {
			out = append(out, fmt.Sprintf("ran with version %d of %s, %d is named", run.Version, r.adapter, latestVersion))
		}
	}
	if r.route.service == plainService && (!strings.HasSuffix(r.body, " bytes") || !strings.Contains(r.body, r.route.prefix+"x?n=1")) {
		out = append(out, fmt.Sprintf("body %q", r.body))
	}
	return out
}

// latestVersion returns the latest published version of an adapter, or 0.
func (tb *testbed) latestVersion(adapter string) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.versions[adapter]
}

// runs returns all executions, keyed by request ID.
func (tb *testbed) runs() map[string][]platform.Run {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	out := map[string][]platform.Run{}
	for _, s := range tb.allServers {
		for _, run := range s.Runs() {
			out[run.RequestID] = append(out[run.RequestID], run)
		}
	}
	return out
}

// violations returns the violations that the servers observed, unexpected exits of processes,
// and what their logs show.
func (tb *testbed) violations() []string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var out []string
	for _, s := range tb.allServers {
		if s.CrashReason() != "" {
			out = append(out, s.Key()+" would have crashed: "+s.CrashReason())
		}
		if s.OrderSenders() > 1 {
			out = append(out, fmt.Sprintf("%s got orders from %d processes", s.Key(), s.OrderSenders()))
		}
	}
	for _, p := range tb.sidecars {
		out = append(out, slices.Concat(exitViolations(p), logViolations(p))...)
	}
	for _, e := range tb.entries {
		out = append(out, slices.Concat(exitViolations(e.process), logViolations(e.process))...)
	}
	return out
}

// exitViolations returns a violation if the process exited without an injected fault.
func exitViolations(p *process) []string {
	if p.unexpectedExitCount() == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s ended %d times by itself", p.name, p.unexpectedExitCount())}
}
