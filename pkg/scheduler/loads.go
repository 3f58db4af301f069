package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// agingStep is the waiting time that counts as one class in the order of loads,
// so that the lowest class is loaded in the end.
const agingStep = 5 * time.Second

// Worth of the waiting work in the order of loads.
const (
	// doublingBonus is the waiting time that twice as much weighted work is worth.
	doublingBonus = 250 * time.Millisecond
	// maxBacklogBonus keeps the waiting work from outweighing a class.
	maxBacklogBonus = 4 * time.Second
)

// loadCandidate is an absent adapter with queued work.
type loadCandidate struct {
	st      *adapter
	class   ident.Priority
	waiting int
	weight  int
	waited  time.Duration
	// aging is the waiting time since the last load for the team. Without this limit
	// a team whose whole queue is old would come before all others for ever.
	aging time.Duration
	// slack is the time to the deadline of the oldest attempt.
	slack time.Duration
}

// compare orders candidates by urgency.
func (c loadCandidate) compare(d loadCandidate) int {
	return cmp.Or(
		cmp.Compare(d.urgency(), c.urgency()),
		cmp.Compare(d.waited, c.waited),
		compareAdapters(c.st.name, d.st.name),
	)
}

// urgency adds the worth of the class and of the waiting work to the aging time.
// All candidates age at the same rate, so their order changes only with events.
func (c loadCandidate) urgency() time.Duration {
	work := float64(max(c.waiting, 1)) * float64(max(c.weight, 1))
	head := min(time.Duration(math.Log2(work)*float64(doublingBonus)), maxBacklogBonus)
	return c.aging + classBonus(c.class) + head
}

// classBonus is the waiting time that a class is worth in the order of loads. High
// and normal work differ little, because the coordinator of the permits divides
// the loads between teams and can do so only if their requests are sent.
func classBonus(class ident.Priority) time.Duration {
	step := time.Duration(class) * agingStep
	if class == ident.PriorityHigh {
		return step - agingStep + doublingBonus
	}
	return step
}

// agedClass raises the class by one for each aging step.
func (c loadCandidate) agedClass() int { return int(c.class) + int(c.aging/agingStep) }

func (s *Scheduler) loadCandidate(now time.Time, st *adapter) (loadCandidate, bool) {
	oldest, n, class := s.queue.Waiting(st.name)
	if n == 0 {
		return loadCandidate{}, false
	}
	q := oldest.Value
	return loadCandidate{
		st:      st,
		class:   class,
		waiting: n,
		weight:  oldest.Weight,
		waited:  now.Sub(q.queuedAt),
		aging:   now.Sub(later(q.queuedAt, s.teamLastLoad[oldest.Team])),
		slack:   q.work.Deadline.Sub(now),
	}, true
}

// loadCandidates returns the adapters to load, most urgent first. Adapters without
// queued work are no longer wanted.
func (s *Scheduler) loadCandidates(now time.Time) []loadCandidate {
	var out []loadCandidate
	for a, st := range s.wanted {
		c, ok := s.loadCandidate(now, st)
		if !ok {
			delete(s.wanted, a)
			continue
		}
		if now.Before(st.retryAt) || now.Before(st.unloadExpiry) || s.loadDelayed(now, c) {
			continue
		}
		out = append(out, c)
	}
	slices.SortFunc(out, loadCandidate.compare)
	return out
}

// loadDelayed reports whether a load for batch-class work alone waits for more work.
// Work that is due soon is not held back.
func (s *Scheduler) loadDelayed(now time.Time, c loadCandidate) bool {
	hold := s.cfg.batchLoadDelay()
	return c.class == ident.PriorityBatch && c.waited < hold && c.slack > 2*(hold+s.loads.shortest(now))
}

// replanNeeded reports whether an event may change the planned loads. Between ticks
// the plan is made again only while more slots can be freed than are asked for.
func (s *Scheduler) replanNeeded() bool {
	if len(s.wanted) == 0 && len(s.permitRequests) == 0 {
		return false
	}
	openings := s.cfg.Slots - s.occupied()
	for _, st := range s.slots {
		if st.draining && !st.inUse() {
			return true
		}
		if st.state == stateResident && !st.inUse() {
			openings++
		}
	}
	if openings > len(s.permitRequests) && len(s.wanted) > len(s.permitRequests) {
		return true
	}
	return slices.ContainsFunc(s.permitRequests, s.requestOutdated)
}

// planLoads gives the free slots, and those that can be freed, to the most urgent
// adapters and asks for their permits. A busy adapter gives way to work that has
// waited long. It is drained only after a first grant, which is returned: a drained
// slot serves nothing, and a held permit keeps other endpoints from loading.
func (s *Scheduler) planLoads(now time.Time) []Action {
	var out []Action
	free := s.cfg.Slots - s.occupied()
	taken := map[*adapter]bool{}
	drained := map[*adapter]bool{}
	keep := map[*adapter]bool{}
	for _, c := range s.loadCandidates(now) {
		if len(taken) >= s.cfg.Slots || len(keep) >= s.cfg.Slots {
			break
		}
		v := s.chooseVictim(now, c, free, taken)
		if v == nil && free == 0 {
			continue
		}
		keep[c.st] = true
		if v == nil {
			free--
		} else {
			taken[v] = true
			drained[v] = c.st.permitRequest.drain
			s.setDraining(v, c.st.permitRequest.drain)
		}
		if v == nil || !v.inUse() || !c.st.permitRequest.drain {
			out = append(out, s.requestPermit(now, c)...)
		}
	}
	for _, st := range slices.Clone(s.permitRequests) {
		if !keep[st] {
			out = append(out, s.withdrawRequest(st)...)
		}
	}
	if s.stopDraining(drained) {
		out = append(out, s.startReady(now)...)
	}
	return out
}

// loadableSlots counts the slots that further loads could take at once.
func (s *Scheduler) loadableSlots() int {
	n := s.cfg.Slots - s.occupied() - len(s.permitRequests)
	for _, st := range s.slots {
		if _, queued, _ := s.queue.Waiting(st.name); st.state == stateResident && st.pins == 0 && queued == 0 {
			n++
		}
	}
	return max(n, 0)
}

// chooseVictim returns the adapter that gives way to a candidate, pinned if it must
// be drained first, or nil.
func (s *Scheduler) chooseVictim(now time.Time, c loadCandidate, free int, taken map[*adapter]bool) *adapter {
	if free > 0 {
		return nil
	}
	if v := s.victim(now, c, false, taken); v != nil {
		return v
	}
	return s.victim(now, c, true, taken)
}

// stopDraining lets drained adapters start work again unless they are still needed.
// It reports whether there were any.
func (s *Scheduler) stopDraining(needed map[*adapter]bool) bool {
	changed := false
	for _, st := range s.slots {
		if st.draining && !needed[st] {
			s.setDraining(st, false)
			changed = true
		}
	}
	return changed
}

// stopLoads ends draining and refuses the work that only a load could serve.
func (s *Scheduler) stopLoads() []Action {
	var out []Action
	s.stopDraining(nil)
	for _, st := range slices.Clone(s.permitRequests) {
		out = append(out, s.withdrawRequest(st)...)
	}
	if len(s.wanted) == 0 {
		return out
	}
	for _, a := range slices.SortedFunc(maps.Keys(s.wanted), compareAdapters) {
		out = append(out, s.refuseAll(a, fescuev1.NotRunReason_NOT_RUN_REASON_NO_AUTHORITY)...)
	}
	clear(s.wanted)
	s.view.stale = true
	return out
}

// beginLoad orders the load of an adapter, after an unload if no slot is free. It
// returns nil if there is no slot for it.
func (s *Scheduler) beginLoad(now time.Time, st *adapter) []Action {
	c, ok := s.loadCandidate(now, st)
	if !ok || !s.mayCommand() || !s.engineKnown || st.state != stateAbsent || now.Before(st.unloadExpiry) {
		return nil
	}
	if s.occupied() < s.cfg.Slots {
		s.setState(st, stateLoading)
		return []Action{s.issueLoad(now, st)}
	}
	v := s.victim(now, c, false, nil)
	if v == nil {
		return nil
	}
	for _, it := range s.queue.Items(v.name) {
		it.Value.stalled = true
	}
	s.setState(v, stateUnloading)
	s.setState(st, stateLoading)
	st.victim = v.name
	st.permitRequest.sent = now
	return []Action{s.command(now, v, Unload)}
}

func (s *Scheduler) issueLoad(now time.Time, st *adapter) Action {
	s.teamLastLoad[st.name.Team] = now
	st.loadStarted = now
	st.permitRequest.sent = now
	return s.command(now, st, Load)
}

// LoadDone marks an adapter as resident. Results of earlier commands are ignored.
func (s *Scheduler) LoadDone(now time.Time, a ident.Adapter, id CommandID) []Action {
	st := s.adapterForCommand(a, id)
	if st == nil {
		return nil
	}
	took := now.Sub(st.loadStarted)
	s.loads.add(now, took)
	st.loadTime = took
	st.failures = 0
	st.lastUsed, st.loadedAt = now, now
	s.setState(st, stateResident)
	st.unusedSinceLoad = true
	return append([]Action{{Kind: ReleasePermit, Adapter: a, Loaded: true}}, s.schedule(now)...)
}

// LoadFailed refuses all attempts that wait for the adapter. The slot is free again,
// and the next load is delayed, after a later reading does not list the adapter:
// another process may have loaded it. Results of earlier commands are ignored.
func (s *Scheduler) LoadFailed(now time.Time, a ident.Adapter, id CommandID) []Action {
	st := s.adapterForCommand(a, id)
	if st == nil {
		return nil
	}
	st.commandExpiry = now
	return s.CommandOutcomeUnknown(now, a, id)
}

// backOff delays the next load after a failed one.
func (s *Scheduler) backOff(now time.Time, st *adapter) {
	st.retryAt = now.Add(s.backoff(st.failures))
	st.failures++
}

func (s *Scheduler) backoff(failures int) time.Duration {
	d := s.cfg.BackoffMin
	for range failures {
		if d >= s.cfg.BackoffMax {
			return s.cfg.BackoffMax
		}
		d *= 2
	}
	return min(d, s.cfg.BackoffMax)
}

// UnloadDone ends an unload command. After a failure a later reading tells whether
// the adapter is still resident, and the load that needed its slot is planned anew
// if so. Results of earlier commands are ignored.
func (s *Scheduler) UnloadDone(now time.Time, a ident.Adapter, id CommandID, ok bool) []Action {
	v := s.adapterForCommand(a, id)
	if v == nil {
		return nil
	}
	if !ok {
		v.commandExpiry = now
		return s.CommandOutcomeUnknown(now, a, id)
	}
	return append(s.endUnload(now, v, true), s.schedule(now)...)
}

// endUnload frees the slot of an adapter, or keeps it resident.
func (s *Scheduler) endUnload(now time.Time, v *adapter, freed bool) []Action {
	next := s.loadWaitingFor(v.name)
	if freed {
		s.setState(v, stateAbsent)
	} else {
		s.setState(v, stateResident)
		v.retryAt = now.Add(s.cfg.BackoffMin)
	}
	if next == nil {
		return nil
	}
	return s.continueLoad(now, next, freed)
}

// continueLoad orders the load whose slot has been freed.
func (s *Scheduler) continueLoad(now time.Time, st *adapter, freed bool) []Action {
	st.victim = ident.Adapter{}
	_, n, _ := s.queue.Waiting(st.name)
	if freed && s.mayCommand() && n > 0 {
		return []Action{s.issueLoad(now, st)}
	}
	s.setState(st, stateAbsent)
	return []Action{{Kind: ReleasePermit, Adapter: st.name}}
}

func (s *Scheduler) loadWaitingFor(victim ident.Adapter) *adapter {
	for _, st := range s.slots {
		if st.state == stateLoading && st.victim == victim {
			return st
		}
	}
	return nil
}

// adapterForCommand returns the adapter whose running command has the given id, or nil.
func (s *Scheduler) adapterForCommand(a ident.Adapter, id CommandID) *adapter {
	st := s.adapters[a]
	if st == nil || id == 0 || st.command != id {
		return nil
	}
	return st
}
