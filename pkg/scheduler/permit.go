package scheduler

import (
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// resendGrowthFactor is the growth of the number of queued attempts, or of the age
// of the oldest, at which a permit request is sent again at once.
const resendGrowthFactor = 2

// permitRequest is the state of the permit request for one adapter, with the values
// last sent.
type permitRequest struct {
	active  bool
	sent    time.Time
	waiting int
	class   ident.Priority
	waited  time.Duration
	// drain is true if a slot may be drained for the load, because the load could begin
	// as soon as the slot is free.
	drain bool
	// deferred is true if a grant was returned because no slot was free. The request is
	// sent again once a slot is free.
	deferred bool
}

// fallback tracks the loads made without a permit while the coordinator does not
// answer.
type fallback struct {
	// unansweredSince is the time since which permit requests have been open without an
	// answer. It is zero while there are no requests.
	unansweredSince time.Time
	// lastLoad is the time of the last load without a permit.
	lastLoad time.Time
}

// PermitGranted begins the load of an adapter that the coordinator has permitted. If
// the load cannot begin now, it returns the permit. A repeated grant for a load in
// progress has no effect.
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

// PermitQueued records that the coordinator has received a request and queued it, so
// that the coordinator is not considered unavailable.
func (s *Scheduler) PermitQueued(now time.Time) { s.fallback.unansweredSince = now }

// deferRequest records that no slot was free for a granted load, so that a slot is
// drained for it. If the load is no longer wanted, it clears the request.
func (s *Scheduler) deferRequest(now time.Time, st *adapter) {
	_, ok := s.loadCandidate(now, st)
	if !ok || !st.permitRequest.active {
		s.clearRequest(st)
		return
	}
	st.permitRequest.drain, st.permitRequest.deferred = true, true
}

// PermitLost sends the permit request for an adapter again after the coordinator has
// lost the request or the permit.
func (s *Scheduler) PermitLost(now time.Time, a ident.Adapter) []Action {
	st := s.adapters[a]
	if st == nil || !s.canLoad {
		return nil
	}
	return s.resendRequest(now, st)
}

// PermitsLost sends all permit requests again, for instance to a new coordinator. It
// includes those for loads in progress, so that the new coordinator does not permit
// further loads at the same time.
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

// resendRequests sends the permit requests again that are older than the retry
// interval, including those for loads in progress.
func (s *Scheduler) resendRequests(now time.Time) []Action {
	var out []Action
	for _, st := range slices.Concat(s.permitRequests, s.slots) {
		if now.Sub(st.permitRequest.sent) >= s.cfg.PermitRetry {
			out = append(out, s.resendRequest(now, st)...)
		}
	}
	return out
}

// resendRequest sends the permit request for a wanted or loading adapter again. It
// does nothing for deferred requests and adapters without queued work.
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

// sendRequest returns the action that sends a permit request, and records the values
// sent.
func (s *Scheduler) sendRequest(now time.Time, c loadCandidate, loading bool) Action {
	st := c.st
	st.permitRequest.sent, st.permitRequest.deferred = now, false
	st.permitRequest.waiting, st.permitRequest.class, st.permitRequest.waited = c.waiting, c.class, c.waited
	return Action{Kind: RequestPermit, Adapter: st.name, Waiting: c.waiting, Waited: c.waited, Priority: c.class, Loading: loading}
}

// requestPermit requests a permit for a candidate. If one is requested already, it
// sends the request again only if the queued work or its age has grown considerably,
// or if the request was deferred.
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

// requestOutdated reports whether the work queued for an adapter has changed
// considerably since its permit request was sent: none is left, its number has grown
// by resendGrowthFactor or its class is higher.
func (s *Scheduler) requestOutdated(st *adapter) bool {
	_, n, class := s.queue.Waiting(st.name)
	return n == 0 || n >= resendGrowthFactor*st.permitRequest.waiting || class > st.permitRequest.class
}

// withdrawRequest withdraws the permit request for an adapter, if there is one.
func (s *Scheduler) withdrawRequest(st *adapter) []Action {
	if !st.permitRequest.active {
		return nil
	}
	s.clearRequest(st)
	return []Action{{Kind: ReleasePermit, Adapter: st.name}}
}

// clearRequest deletes the permit request for an adapter, if there is one.
func (s *Scheduler) clearRequest(st *adapter) {
	if st.permitRequest.active {
		s.permitRequests = slices.DeleteFunc(s.permitRequests, func(other *adapter) bool { return other == st })
		s.view.stale = true
	}
	st.permitRequest = permitRequest{}
}

// loadWithoutPermit begins the load of the most urgent adapter if the coordinator
// has not answered for Config.PermitTimeout. It does so at most once per
// Config.ShareInterval.
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
