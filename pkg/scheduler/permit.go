package scheduler

import (
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// markedFactor is the growth of the waiting work or of its age that repeats a
// permit request at once.
const markedFactor = 2

// ask is the permit request for one adapter as last sent.
type ask struct {
	asked   bool
	sent    time.Time
	waiting int
	class   ident.Priority
	waited  time.Duration
	// drain states that the load may begin as soon as a slot is drained for it.
	drain bool
	// parked requests were granted too early and are repeated once the slot is free.
	parked bool
}

// fallback tracks loads without a permit.
type fallback struct {
	// silent is the time since which requests have been without a grant, or zero
	// while there are none.
	silent time.Time
	// loaded is the time of the last load without a permit.
	loaded time.Time
}

// PermitGranted allows the load of an adapter. A grant that is not needed is
// returned. A repeated grant for a running load changes nothing.
func (s *Scheduler) PermitGranted(now time.Time, a ident.Adapter) []Action {
	s.fallback.silent = now
	st := s.adapters[a]
	if st != nil && st.state == stateLoading {
		return nil
	}
	if st != nil {
		if out := s.beginLoad(now, st); out != nil {
			return out
		}
		s.park(now, st)
	}
	return append([]Action{{Kind: ReleasePermit, Adapter: a}}, s.schedule(now)...)
}

// PermitQueued notes that the coordinator has answered a request that waits for
// its turn, so that it is not taken for dead.
func (s *Scheduler) PermitQueued(now time.Time) { s.fallback.silent = now }

// park notes that a granted load had no slot, so that the next slot that can be
// freed for it is drained.
func (s *Scheduler) park(now time.Time, st *adapter) {
	_, ok := s.candidate(now, st)
	if !ok || !st.ask.asked {
		s.dropAsk(st)
		return
	}
	st.ask.drain, st.ask.parked = true, true
}

// PermitLost repeats the request for an adapter whose request or permit the
// coordinator has lost.
func (s *Scheduler) PermitLost(now time.Time, a ident.Adapter) []Action {
	st := s.adapters[a]
	if st == nil || !s.canLoad {
		return nil
	}
	return s.repeat(now, st)
}

// PermitsLost repeats all requests, for instance to a new coordinator. Running
// loads are included, so that it does not permit a second one beside them.
func (s *Scheduler) PermitsLost(now time.Time) []Action {
	if !s.canLoad {
		return nil
	}
	var out []Action
	for _, st := range slices.Concat(s.asks, s.slots) {
		out = append(out, s.repeat(now, st)...)
	}
	return out
}

// repeatRequests repeats requests without an answer and reports running loads.
func (s *Scheduler) repeatRequests(now time.Time) []Action {
	var out []Action
	for _, st := range slices.Concat(s.asks, s.slots) {
		if now.Sub(st.ask.sent) >= s.cfg.PermitRetry {
			out = append(out, s.repeat(now, st)...)
		}
	}
	return out
}

// repeat sends the request for a wanted or loading adapter again.
func (s *Scheduler) repeat(now time.Time, st *adapter) []Action {
	loading := st.state == stateLoading
	if !loading && (!st.ask.asked || st.ask.parked) {
		return nil
	}
	c, ok := s.candidate(now, st)
	if !ok && !loading {
		return nil
	}
	c.st = st
	return []Action{s.request(now, c, loading)}
}

func (s *Scheduler) request(now time.Time, c candidate, loading bool) Action {
	st := c.st
	st.ask.sent, st.ask.parked = now, false
	st.ask.waiting, st.ask.class, st.ask.waited = c.waiting, c.class, c.waited
	return Action{Kind: RequestPermit, Adapter: st.name, Waiting: c.waiting, Waited: c.waited, Priority: c.class, Loading: loading}
}

// askFor requests a permit, or repeats the request if it has changed markedly.
func (s *Scheduler) askFor(now time.Time, c candidate) []Action {
	st := c.st
	if !st.ask.asked {
		st.ask = ask{asked: true}
		s.asks = append(s.asks, st)
		s.view.stale = true
		return []Action{s.request(now, c, false)}
	}
	older := c.waited > agingStep && c.waited >= markedFactor*st.ask.waited
	if !older && !st.ask.parked && !s.askChanged(st) {
		return nil
	}
	return []Action{s.request(now, c, false)}
}

// askChanged reports whether the waiting work has changed markedly since the
// request was sent.
func (s *Scheduler) askChanged(st *adapter) bool {
	_, n, class := s.queue.Waiting(st.name)
	return n == 0 || n >= markedFactor*st.ask.waiting || class > st.ask.class
}

// withdraw takes back a permit request.
func (s *Scheduler) withdraw(st *adapter) []Action {
	if !st.ask.asked {
		return nil
	}
	s.dropAsk(st)
	return []Action{{Kind: ReleasePermit, Adapter: st.name}}
}

func (s *Scheduler) dropAsk(st *adapter) {
	if st.ask.asked {
		s.asks = slices.DeleteFunc(s.asks, func(other *adapter) bool { return other == st })
		s.view.stale = true
	}
	st.ask = ask{}
}

// loadWithoutPermit loads the most urgent adapter if the coordinator has not
// answered for the time-out, at most once per share interval.
func (s *Scheduler) loadWithoutPermit(now time.Time) []Action {
	if len(s.asks) == 0 {
		s.fallback.silent = time.Time{}
		return nil
	}
	if s.fallback.silent.IsZero() {
		s.fallback.silent = now
	}
	if now.Sub(s.fallback.silent) < s.cfg.PermitTimeout || now.Sub(s.fallback.loaded) < s.cfg.ShareInterval {
		return nil
	}
	var best candidate
	for _, st := range s.asks {
		c, ok := s.candidate(now, st)
		if ok && (best.st == nil || c.compare(best) < 0) {
			best = c
		}
	}
	if best.st == nil {
		return nil
	}
	out := s.beginLoad(now, best.st)
	if out == nil {
		best.st.ask.drain = true
		return nil
	}
	s.fallback.loaded = now
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
