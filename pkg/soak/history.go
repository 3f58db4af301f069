package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// record is one request as its caller saw it.
type record struct {
	id      string
	route   soakRoute
	adapter string
	sent    time.Time
	calm    bool
	status  int
	stamped bool
	body    string
	// whole tells that the response ended as complete.
	whole bool
}

// promised reports whether the status says that the request never ran.
func (r *record) promised() bool {
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func (r *record) answered() bool { return r.status == http.StatusOK && r.whole }

// history collects the requests.
type history struct {
	mu      sync.Mutex
	records []*record
	// calmSince is when the calm at the end began, zero before.
	calmSince time.Time
}

func newHistory() *history { return &history{} }

func (h *history) add(r *record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.calm = !h.calmSince.IsZero() && r.sent.After(h.calmSince)
	h.records = append(h.records, r)
}

func (h *history) beginCalm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calmSince = time.Now()
}

// report checks the promises.
func (h *history) report(w *world, seed uint64, faults int) *Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := &Report{Seed: seed, Requests: len(h.records), Faults: faults}
	runs := w.runs()
	for _, r := range h.records {
		out.count(r)
		for _, v := range check(r, runs[r.id], w.newest(r.adapter)) {
			out.Violations = append(out.Violations, r.id+" "+r.route.prefix+": "+v)
		}
	}
	out.Violations = append(out.Violations, w.violations()...)
	if float64(out.RecoveryAnswered) < recoverShare*float64(out.RecoveryRequests) {
		out.Violations = append(out.Violations, fmt.Sprintf("only %d of %d requests were answered after the faults", out.RecoveryAnswered, out.RecoveryRequests))
	}
	return out
}

func (out *Report) count(r *record) {
	switch {
	case r.answered():
		out.Answered++
	case r.promised():
		out.Refused++
	default:
		out.Unknown++
	}
	if !r.calm {
		return
	}
	out.RecoveryRequests++
	if r.answered() {
		out.RecoveryAnswered++
	}
}

// check returns the promises that a request shows as broken, given its runs and the
// newest version of its adapter.
func check(r *record, runs []platform.Run, newest int) []string {
	var out []string
	idempotent := r.route.kind == "idempotent" || r.route.resumable
	if !idempotent && len(runs) > 1 {
		out = append(out, fmt.Sprintf("ran %d times", len(runs)))
	}
	if !idempotent && r.promised() && len(runs) > 0 {
		out = append(out, fmt.Sprintf("answered %d although it ran", r.status))
	}
	if r.status == http.StatusNotFound || r.status == http.StatusBadRequest {
		out = append(out, fmt.Sprintf("denied with %d", r.status))
	}
	if !r.answered() {
		return out
	}
	if !r.stamped {
		out = append(out, "a success without the mark of a server")
	}
	if len(runs) == 0 {
		out = append(out, "a success without a run")
	}
	for _, run := range runs {
		if run.Adapter != r.adapter {
			out = append(out, "ran with adapter "+run.Adapter+", asked for "+r.adapter)
		}
		// The calm begins longestFault and settleTime, together 7 s, after the last
		// version was named. An older one may answer for 5 s.
		if r.calm && run.Version < newest {
			out = append(out, fmt.Sprintf("ran with version %d of %s, %d is named", run.Version, r.adapter, newest))
		}
	}
	if r.route.service == modelPool {
		out = append(out, checkStream(r)...)
	} else if !strings.HasSuffix(r.body, " bytes") || !strings.Contains(r.body, r.route.prefix+"x?n=1") {
		out = append(out, fmt.Sprintf("body %q", r.body))
	}
	return out
}

// checkStream compares a complete stream with the one that a server makes.
func checkStream(r *record) []string {
	var want strings.Builder
	for i := 1; i <= streamSize; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s-%d\n\n", i, r.id, i)
	}
	if r.body != want.String() {
		return []string{fmt.Sprintf("a stream that ended as complete is not: %q", r.body)}
	}
	return nil
}

// newest returns the newest version that was named of an adapter, or 0.
func (w *world) newest(adapter string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.versions[adapter]
}

// runs returns all executions by request.
func (w *world) runs() map[string][]platform.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string][]platform.Run{}
	for _, s := range w.all {
		for _, run := range s.Runs() {
			out[run.RequestID] = append(out[run.RequestID], run)
		}
	}
	return out
}

// violations returns what the back ends saw go wrong.
func (w *world) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, s := range w.all {
		if s.CrashReason() != "" {
			out = append(out, s.Key()+" would have crashed: "+s.CrashReason())
		}
		if s.OrderSenders() > 1 {
			out = append(out, fmt.Sprintf("%s got orders from %d processes", s.Key(), s.OrderSenders()))
		}
	}
	for _, p := range w.side {
		out = append(out, ownEnds(p)...)
	}
	for _, e := range w.entries {
		out = append(out, ownEnds(e.process)...)
	}
	return out
}

func ownEnds(p *process) []string {
	if p.ends() == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s ended %d times by itself", p.name, p.ends())}
}
