package scheduler

import (
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// resendGrowthFactor is the growth of the waiting work or of its age that repeats a
// permit request at once.
const resendGrowthFactor = 2

// permitRequest is the permit request for one adapter as last sent.
type permitRequest struct {
	active  bool
	sent    time.Time
	waiting int
	class   ident.Priority
	waited  time.Duration
	// drain states that the load may begin as soon as a slot is drained for it.
	drain bool
	// deferred requests were granted too early and are repeated once the slot is free.
	deferred bool
}

// fallback tracks loads without a permit.
type fallback struct {
	// unansweredSince is the time since which requests have been without a grant, or zero
	// while there are none.
	unansweredSince time.Time
	// lastLoad is the time of the last load without a permit.
	lastLoad time.Time
}

// PermitGranted allows the load of an adapter. A grant that is not needed is
// returned. A repeated grant for a running load changes nothing.
func (s *Scheduler) PermitGranted(now time.Time, a ident.Adapter) []Action {
	s.fallback.unansweredSince = now
	st := s.adapters[a]
	if st != nil && st.state == stateLoading {
		return nil
	}
	if st != nil {
		if out := s.beginLoad(now, st); out != nil {
			return out
		}
		s.deferRequest(now, st)
	}
	return append([]Action{{Kind: ReleasePermit, Adapter: a}}, s.schedule(now)...)
}

// PermitQueued notes that the coordinator has answered a request that waits for
// its turn, so that it is not taken for dead.
func (s *Scheduler) PermitQueued(now time.Time) { s.fallback.unansweredSince = now }

// deferRequest notes that a granted load had no slot, so that the next slot that can be
// freed for it is drained.
func (s *Scheduler) deferRequest(now time.Time, st *adapter) {
	_, ok := s.loadCandidate(now, st)
	if !ok || !st.permitRequest.active {
		s.clearRequest(st)
		return
	}
	st.permitRequest.drain, st.permitRequest.deferred = true, true
}

// PermitLost repeats the request for an adapter whose request or permit the
// coordinator has lost.
func (s *Scheduler) PermitLost(now time.Time, a ident.Adapter) []Action {
	st := s.adapters[a]
	if st == nil || !s.canLoad {
		return nil
	}
	return s.resendRequest(now, st)
}

// PermitsLost repeats all requests, for instance to a new coordinator. Running
// loads are included, so that it does not permit a second one beside them.
func (s *Scheduler) PermitsLost(now time.Time) []Action {
	if !s.canLoad {
		return nil
	}
	var out []Action
	for _, st := range slices.Concat(s.permitRequests, s.slots) {
		out = append(out, s.resendRequest(now, st)...)
	}
	return out
}

// resendRequests repeats requests without an answer and reports running loads.
func (s *Scheduler) resendRequests(now time.Time) []Action {
	var out []Action
	for _, st := range slices.Concat(s.permitRequests, s.slots) {
		if now.Sub(st.permitRequest.sent) >= s.cfg.PermitRetry {
			out = append(out, s.resendRequest(now, st)...)
		}
	}
	return out
}

// resendRequest sends the request for a wanted or loading adapter again.
func (s *Scheduler) resendRequest(now time.Time, st *adapter) []Action {
	loading := st.state == stateLoading
	if !loading && (!st.permitRequest.active || st.permitRequest.deferred) {
		return nil
	}
	c, ok := s.loadCandidate(now, st)
	if !ok && !loading {
		return nil
	}
	c.st = st
	return []Action{s.sendRequest(now, c, loading)}
}

func (s *Scheduler) sendRequest(now time.Time, c loadCandidate, loading bool) Action {
	st := c.st
	st.permitRequest.sent, st.permitRequest.deferred = now, false
	st.permitRequest.waiting, st.permitRequest.class, st.permitRequest.waited = c.waiting, c.class, c.waited
	return Action{Kind: RequestPermit, Adapter: st.name, Waiting: c.waiting, Waited: c.waited, Priority: c.class, Loading: loading}
}

// requestPermit requests a permit, or repeats the request if it has changed markedly.
func (s *Scheduler) requestPermit(now time.Time, c loadCandidate) []Action {
	st := c.st
	if !st.permitRequest.active {
		st.permitRequest = permitRequest{active: true}
		s.permitRequests = append(s.permitRequests, st)
		s.view.stale = true
		return []Action{s.sendRequest(now, c, false)}
	}
	older := c.waited > agingStep && c.waited >= resendGrowthFactor*st.permitRequest.waited
	if !older && !st.permitRequest.deferred && !s.requestOutdated(st) {
		return nil
	}
	return []Action{s.sendRequest(now, c, false)}
}

// requestOutdated reports whether the waiting work has changed markedly since the
// request was sent.
func (s *Scheduler) requestOutdated(st *adapter) bool {
	_, n, class := s.queue.Waiting(st.name)
	return n == 0 || n >= resendGrowthFactor*st.permitRequest.waiting || class > st.permitRequest.class
}

// withdrawRequest takes back a permit request.
func (s *Scheduler) withdrawRequest(st *adapter) []Action {
	if !st.permitRequest.active {
		return nil
	}
	s.clearRequest(st)
	return []Action{{Kind: ReleasePermit, Adapter: st.name}}
}

func (s *Scheduler) clearRequest(st *adapter) {
	if st.permitRequest.active {
		s.permitRequests = slices.DeleteFunc(s.permitRequests, func(other *adapter) bool { return other == st })
		s.view.stale = true
	}
	st.permitRequest = permitRequest{}
}

// loadWithoutPermit loads the most urgent adapter if the coordinator has not
// answered for the time-out, at most once per share interval.
func (s *Scheduler) loadWithoutPermit(now time.Time) []Action {
	if len(s.permitRequests) == 0 {
		s.fallback.unansweredSince = time.Time{}
		return nil
	}
	if s.fallback.unansweredSince.IsZero() {
		s.fallback.unansweredSince = now
	}
	if now.Sub(s.fallback.unansweredSince) < s.cfg.PermitTimeout || now.Sub(s.fallback.lastLoad) < s.cfg.ShareInterval {
		return nil
	}
	var best loadCandidate
	for _, st := range s.permitRequests {
		c, ok := s.loadCandidate(now, st)
		if ok && (best.st == nil || c.compare(best) < 0) {
			best = c
		}
	}
	if best.st == nil {
		return nil
	}
	out := s.beginLoad(now, best.st)
	if out == nil {
		best.st.permitRequest.drain = true
		return nil
	}
	s.fallback.lastLoad = now
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
