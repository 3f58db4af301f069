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

// agingStep is the waiting time that raises the priority of a load by one class, so
// that adapters for work of the lowest class are loaded eventually.
const agingStep = 5 * time.Second

// Bonuses for queued work in the order of loads, expressed as waiting time.
const (
	// doublingBonus is the bonus for each doubling of the weighted number of queued
	// attempts.
	doublingBonus = 250 * time.Millisecond
	// maxBacklogBonus limits the bonus for queued work, so that it does not outweigh
	// the difference between two classes.
	maxBacklogBonus = 4 * time.Second
)

// loadCandidate is an adapter that is not resident and has queued work.
type loadCandidate struct {
	st    *adapter
	class ident.Priority
	// waiting is the number of queued attempts. weight and waited are the weight and
	// the waiting time of the oldest.
	waiting int
	weight  int
	waited  time.Duration
	// aging is the shorter of the waiting time of the oldest attempt and the time
	// since the last load for its team. Without the second limit, a team whose whole
	// queue is old would come before all other teams forever.
	aging time.Duration
	// slack is the time left until the deadline of the oldest attempt.
	slack time.Duration
}

// compare orders candidates by urgency, most urgent first.
func (c loadCandidate) compare(d loadCandidate) int {
	return cmp.Or(
		cmp.Compare(d.urgency(), c.urgency()),
		cmp.Compare(d.waited, c.waited),
		compareAdapters(c.st.name, d.st.name),
	)
}

// urgency returns the aging time plus the bonuses for the class and for the queued
// work. All candidates age at the same rate, so their order does not change with
// time alone.
func (c loadCandidate) urgency() time.Duration {
	work := float64(max(c.waiting, 1)) * float64(max(c.weight, 1))
	backlogBonus := min(time.Duration(math.Log2(work)*float64(doublingBonus)), maxBacklogBonus)
	return c.aging + classBonus(c.class) + backlogBonus
}

// classBonus returns the bonus for a class in the order of loads, as a waiting time.
// The bonuses for high and normal priority differ little: the permit coordinator
// divides the loads between teams, and it can do so only if the requests of all
// teams are sent to it.
func classBonus(class ident.Priority) time.Duration {
	step := time.Duration(class) * agingStep
	if class == ident.PriorityHigh {
		return step - agingStep + doublingBonus
	}
	return step
}

// agedClass returns the class, raised by one for each aging step.
func (c loadCandidate) agedClass() int { return int(c.class) + int(c.aging/agingStep) }

// loadCandidate returns the load candidate for an adapter. It returns false if the
// adapter has no queued work.
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

// loadCandidates returns the adapters that may be loaded now, most urgent first. It
// removes adapters without queued work from the wanted set.
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

// loadDelayed reports whether a load that only batch-class work needs is delayed so
// that more work can accumulate. Work whose deadline is near is not delayed.
func (s *Scheduler) loadDelayed(now time.Time, c loadCandidate) bool {
	delay := s.cfg.batchLoadDelay()
	return c.class == ident.PriorityBatch && c.waited < delay && c.slack > 2*(delay+s.recentLoadTimes.shortest(now))
}

// replanNeeded reports whether an event may have changed the planned loads. Between
// ticks, loads are planned again only if a drained slot has become free, if more
// slots can be freed than have permit requests while more adapters are wanted, or if
// a sent request is out of date.
func (s *Scheduler) replanNeeded() bool {
	if len(s.wanted) == 0 && len(s.permitRequests) == 0 {
		return false
	}
	freeable := s.cfg.Slots - s.occupied()
	for _, st := range s.slots {
		if st.draining && !st.inUse() {
			return true
		}
		if st.state == stateResident && !st.inUse() {
			freeable++
		}
	}
	if freeable > len(s.permitRequests) && len(s.wanted) > len(s.permitRequests) {
		return true
	}
	return slices.ContainsFunc(s.permitRequests, s.requestOutdated)
}

// planLoads assigns the free slots and those that can be freed to the most urgent
// candidates and requests permits for them. For work that has waited long, the slot
// of an adapter in use may be chosen. This slot is drained only after the
// coordinator has granted a permit once, because it serves no new work while it is
// drained. That first permit is returned, because holding it during the drain would
// keep other endpoints from loading.
func (s *Scheduler) planLoads(now time.Time) []Action {
	var out []Action
	free := s.cfg.Slots - s.occupied()
	taken := map[*adapter]bool{}
	drained := map[*adapter]bool{}
	chosen := map[*adapter]bool{}
	for _, c := range s.loadCandidates(now) {
		if len(taken) >= s.cfg.Slots || len(chosen) >= s.cfg.Slots {
			break
		}
		v := s.chooseVictim(now, c, free, taken)
		if v == nil && free == 0 {
			continue
		}
		chosen[c.st] = true
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
		if !chosen[st] {
			out = append(out, s.withdrawRequest(st)...)
		}
	}
	if s.stopDraining(drained) {
		out = append(out, s.startReady(now)...)
	}
	return out
}

// loadableSlots returns the number of slots that further loads could use without
// waiting for running or queued attempts.
func (s *Scheduler) loadableSlots() int {
	n := s.cfg.Slots - s.occupied() - len(s.permitRequests)
	for _, st := range s.slots {
		if _, queued, _ := s.queue.Waiting(st.name); st.state == stateResident && st.pins == 0 && queued == 0 {
			n++
		}
	}
	return max(n, 0)
}

// chooseVictim returns the adapter to evict for a load candidate, or nil if a slot
// is free or no adapter can be evicted. If the adapter is in use, it must be drained
// first.
func (s *Scheduler) chooseVictim(now time.Time, c loadCandidate, free int, taken map[*adapter]bool) *adapter {
	if free > 0 {
		return nil
	}
	if v := s.victim(now, c, false, taken); v != nil {
		return v
	}
	return s.victim(now, c, true, taken)
}

// stopDraining ends the draining of all adapters that are not in needed, so that they
// start work again. It reports whether there were any.
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

// stopLoads ends all draining, withdraws all permit requests and refuses the queued
// work that needs a load.
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

// beginLoad begins the load of an adapter, with the unload of another one if no slot
// is free. It returns nil if the load cannot begin now.
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
		it.Value.waitedForLoad = true
	}
	s.setState(v, stateUnloading)
	s.setState(st, stateLoading)
	st.victim = v.name
	st.permitRequest.sent = now
	return []Action{s.command(now, v, Unload)}
}

// issueLoad returns the load command for an adapter and records its time.
func (s *Scheduler) issueLoad(now time.Time, st *adapter) Action {
	s.teamLastLoad[st.name.Team] = now
	st.loadStarted = now
	st.permitRequest.sent = now
	return s.command(now, st, Load)
}

// LoadDone marks an adapter as resident after a successful load. Results of earlier
// commands are ignored.
func (s *Scheduler) LoadDone(now time.Time, a ident.Adapter, id CommandID) []Action {
	st := s.adapterForCommand(a, id)
	if st == nil {
		return nil
	}
	took := now.Sub(st.loadStarted)
	s.recentLoadTimes.add(now, took)
	st.loadTime = took
	st.failures = 0
	st.lastUsed, st.loadedAt = now, now
	s.setState(st, stateResident)
	st.unusedSinceLoad = true
	return append([]Action{{Kind: ReleasePermit, Adapter: a, Loaded: true}}, s.schedule(now)...)
}

// LoadFailed refuses all attempts that wait for the adapter. The slot is not free
// until a later ApplyEngineState shows that the adapter is not resident, because
// another process may have loaded it; the next load is then delayed. Results of
// earlier commands are ignored.
func (s *Scheduler) LoadFailed(now time.Time, a ident.Adapter, id CommandID) []Action {
	st := s.adapterForCommand(a, id)
	if st == nil {
		return nil
	}
	st.commandExpiry = now
	return s.CommandOutcomeUnknown(now, a, id)
}

// backOff delays the next load of an adapter after a failed one.
func (s *Scheduler) backOff(now time.Time, st *adapter) {
	st.retryAt = now.Add(s.backoff(st.failures))
	st.failures++
}

// backoff returns the delay after the given number of earlier failures. It doubles
// with each failure, up to Config.BackoffMax.
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

// UnloadDone ends an unload command. If it failed, a later ApplyEngineState shows
// whether the adapter is still resident; if it is, the load that needed its slot is
// planned again. Results of earlier commands are ignored.
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

// endUnload marks the slot of an adapter as free, or the adapter as still resident,
// and continues or cancels the load that waits for the slot.
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

// continueLoad issues the load command for an adapter whose slot has been freed. It
// cancels the load if the slot is not free or the load is no longer wanted or
// allowed.
func (s *Scheduler) continueLoad(now time.Time, st *adapter, freed bool) []Action {
	st.victim = ident.Adapter{}
	_, n, _ := s.queue.Waiting(st.name)
	if freed && s.mayCommand() && n > 0 {
		return []Action{s.issueLoad(now, st)}
	}
	s.setState(st, stateAbsent)
	return []Action{{Kind: ReleasePermit, Adapter: st.name}}
}

// loadWaitingFor returns the adapter whose load waits for the unload of victim, or
// nil.
func (s *Scheduler) loadWaitingFor(victim ident.Adapter) *adapter {
	for _, st := range s.slots {
		if st.state == stateLoading && st.victim == victim {
			return st
		}
	}
	return nil
}

// adapterForCommand returns the adapter if its running command has the given ID, or
// nil.
func (s *Scheduler) adapterForCommand(a ident.Adapter, id CommandID) *adapter {
	st := s.adapters[a]
	if st == nil || id == 0 || st.command != id {
		return nil
	}
	return st
}
