package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

// Submit queues an attempt, or refuses it at once. If the queue is full, it may
// refuse a queued attempt of another team instead.
func (s *Scheduler) Submit(now time.Time, w Work) []Action {
	if reason := s.refusalReason(now, w); reason != 0 {
		return []Action{{Kind: Refuse, ID: w.ID, Adapter: w.Adapter, Reason: reason}}
	}
	var out []Action
	if s.queue.Len() >= s.cfg.MaxQueued {
		it := s.queue.DropCandidate(w.Team, w.Weight)
		if it == nil {
			return []Action{{Kind: Refuse, ID: w.ID, Adapter: w.Adapter, Reason: fescuev1.NotRunReason_NOT_RUN_REASON_QUEUE_FULL}}
		}
		out = append(out, s.refuse(it, fescuev1.NotRunReason_NOT_RUN_REASON_QUEUE_FULL))
	}
	s.enqueue(now, w)
	return append(out, s.schedule(now)...)
}

// refusalReason returns the reason to refuse an attempt before it is queued, or zero
// if it may be queued.
func (s *Scheduler) refusalReason(now time.Time, w Work) fescuev1.NotRunReason {
	if s.leaving {
		return fescuev1.NotRunReason_NOT_RUN_REASON_LEAVING
	}
	if !now.Before(w.Deadline) {
		return fescuev1.NotRunReason_NOT_RUN_REASON_DEADLINE
	}
	if w.Adapter.IsZero() {
		return 0
	}
	if s.use == AdaptersRefused {
		return fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY
	}
	if !s.engineKnown {
		return 0
	}
	st := s.adapters[w.Adapter]
	if st != nil && (st.state == stateResident || st.state == stateLoading) {
		return 0
	}
	if s.use == AdaptersHeld {
		return 0
	}
	if !s.canLoad {
		return fescuev1.NotRunReason_NOT_RUN_REASON_NO_AUTHORITY
	}
	if st != nil && st.state == stateLoadUnknown {
		return fescuev1.NotRunReason_NOT_RUN_REASON_LOAD_FAILED
	}
	if st != nil && st.failures > 0 && now.Before(st.retryAt) {
		return fescuev1.NotRunReason_NOT_RUN_REASON_LOAD_FAILED
	}
	if !now.Add(s.expectedLoad(now, st)).Before(w.Deadline) {
		return fescuev1.NotRunReason_NOT_RUN_REASON_DEADLINE
	}
	return 0
}

// expectedLoad returns the shortest time that a load of the adapter is expected to
// take, or zero if no recent load time is known.
func (s *Scheduler) expectedLoad(now time.Time, st *adapter) time.Duration {
	shortest := s.recentLoadTimes.shortest(now)
	if shortest > 0 && st != nil && st.loadTime > 0 {
		return min(shortest, st.loadTime)
	}
	return shortest
}

func (s *Scheduler) enqueue(now time.Time, w Work) {
	invariant.Check(!s.leaving, invariant.NoWorkAfterLeaving, "attempt %v submitted after Leave", w.ID)
	_, twice := s.items[w.ID]
	invariant.Check(!twice, invariant.AtMostOneRun, "attempt %v submitted twice", w.ID)
	q := &queued{work: w, queuedAt: now}
	it := &item{Team: w.Team, Class: w.Priority, Weight: w.Weight, Cost: w.Cost, Lane: w.Adapter, Value: q}
	if !w.Adapter.IsZero() {
		st := s.adapter(now, w.Adapter)
		st.countRequest(now)
		q.waitedForLoad = st.state != stateResident
		if st.state == stateAbsent {
			s.wanted[w.Adapter] = st
			s.view.stale = true
		}
	}
	s.items[w.ID] = it
	s.queue.Push(it)
	if s.deadline.IsZero() || w.Deadline.Before(s.deadline) {
		s.deadline = w.Deadline
	}
	invariant.Check(s.queue.Len() == len(s.items), invariant.QueueAccounting, "%d attempts in the queue, %d in the index", s.queue.Len(), len(s.items))
}

// refuse removes a queued attempt and returns the action that refuses it.
func (s *Scheduler) refuse(it *item, reason fescuev1.NotRunReason) Action {
	id := it.Value.work.ID
	s.queue.Remove(it)
	delete(s.items, id)
	s.view.stale = true
	return Action{Kind: Refuse, ID: id, Adapter: it.Lane, Reason: reason}
}

// refuseAll refuses all queued attempts for an adapter.
func (s *Scheduler) refuseAll(a ident.Adapter, reason fescuev1.NotRunReason) []Action {
	var out []Action
	for _, it := range s.queue.Items(a) {
		out = append(out, s.refuse(it, reason))
	}
	return out
}

// Revoke removes a queued attempt. It returns false if the attempt is not queued.
func (s *Scheduler) Revoke(now time.Time, id ident.AttemptID) ([]Action, bool) {
	it := s.items[id]
	if it == nil {
		return nil, false
	}
	out := []Action{s.refuse(it, fescuev1.NotRunReason_NOT_RUN_REASON_REVOKED)}
	return append(out, s.schedule(now)...), true
}

// expire refuses the queued attempts whose deadline has passed. It scans the queue
// only after the earliest known deadline.
func (s *Scheduler) expire(now time.Time) []Action {
	if s.deadline.IsZero() || now.Before(s.deadline) {
		return nil
	}
	s.deadline = time.Time{}
	var expired []*item
	for _, it := range s.items {
		d := it.Value.work.Deadline
		if !now.Before(d) {
			expired = append(expired, it)
		} else if s.deadline.IsZero() || d.Before(s.deadline) {
			s.deadline = d
		}
	}
	return s.refuseItems(expired, fescuev1.NotRunReason_NOT_RUN_REASON_DEADLINE)
}

// refuseItems refuses queued attempts, sorted by ID.
func (s *Scheduler) refuseItems(items []*item, reason fescuev1.NotRunReason) []Action {
	slices.SortFunc(items, func(a, b *item) int { return compareIDs(a.Value.work.ID, b.Value.work.ID) })
	out := make([]Action, 0, len(items))
	for _, it := range items {
		out = append(out, s.refuse(it, reason))
	}
	return out
}

func compareIDs(a, b ident.AttemptID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
}
