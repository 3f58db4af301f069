package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

// Parameters of the demand estimate and the cleanup.
const (
	// rateHalfLife is the half-life of a request in the decayed request rate.
	rateHalfLife = 5 * time.Minute
	// minKeptRate is the decayed request rate below which the state of an adapter
	// that is not resident is deleted.
	minKeptRate     = 0.05
	cleanupInterval = 10 * time.Second
	// loadTimeMaxAge is how long a measured load time is used in the estimate.
	// Without a limit, one slow period would make the scheduler refuse work forever.
	loadTimeMaxAge = time.Minute
	loadTimeCount  = 8
)

// state is the state of an adapter at the engine, as far as the scheduler knows it.
type state uint8

const (
	stateAbsent state = iota
	// stateLoading occupies a slot. Its load command is in progress, or the unload
	// of another adapter that must precede it.
	stateLoading
	stateResident
	stateUnloading
	// stateLoadUnknown and stateUnloadUnknown occupy a slot until a state read from
	// the engine shows whether the command took effect.
	stateLoadUnknown
	stateUnloadUnknown
)

// adapter is the state that the scheduler keeps for one adapter.
type adapter struct {
	name  ident.Adapter
	state state
	pins  int
	// foreign is the number of runs on the adapter that other processes have started.
	foreign  int
	lastUsed time.Time
	// command is the command in progress for this adapter, or zero.
	command CommandID
	// commandExpiry is the time from which the last command can no longer take
	// effect.
	commandExpiry time.Time
	// unloadExpiry is the time from which an earlier unload command with an unknown
	// effect can no longer take effect. Until then the adapter is not loaded and
	// serves no work.
	unloadExpiry time.Time
	// lastChange is the value of Scheduler.changes at the last state change.
	lastChange uint64
	// victim is the adapter that must be unloaded before this one is loaded, or
	// zero.
	victim ident.Adapter
	// draining adapters start no more work, so that they can be evicted once their
	// runs have ended.
	draining bool
	// rate is the number of requests, with exponential decay up to rateAt.
	rate        float64
	rateAt      time.Time
	loadTime    time.Duration
	loadStarted time.Time
	loadedAt    time.Time
	// unusedSinceLoad is true if no attempt has started on the adapter since its load.
	// Such an adapter is not evicted while work waits for it; otherwise the load would
	// be wasted.
	unusedSinceLoad bool
	failures        int
	// retryAt is the earliest time of the next load or unload command.
	retryAt       time.Time
	permitRequest permitRequest
}

// inUse reports whether the adapter is pinned by a run of this or another process.
func (st *adapter) inUse() bool { return st.pins > 0 || st.foreign > 0 }

// outcomeUnknown reports whether the effect of the last command is not known.
func (st *adapter) outcomeUnknown() bool {
	return st.state == stateLoadUnknown || st.state == stateUnloadUnknown
}

// adapter returns the state of an adapter, which it creates if needed.
func (s *Scheduler) adapter(now time.Time, a ident.Adapter) *adapter {
	st := s.adapters[a]
	if st == nil {
		st = &adapter{name: a, rateAt: now}
		s.adapters[a] = st
	}
	return st
}

// setState sets the state of an adapter, and updates the slots, the readiness of its
// queued work and the cached adapter lists of Stats. It clears the permit request and
// the command.
func (s *Scheduler) setState(st *adapter, to state) {
	s.clearRequest(st)
	s.changes++
	st.lastChange = s.changes
	st.state = to
	st.command = 0
	st.victim = ident.Adapter{}
	st.draining = false
	st.unusedSinceLoad = false
	if to == stateAbsent {
		s.slots = slices.DeleteFunc(slices.Clone(s.slots), func(other *adapter) bool { return other == st })
		s.wanted[st.name] = st
	} else {
		s.slots = insertSlot(s.slots, st)
		delete(s.wanted, st.name)
	}
	s.updateReady(st)
	s.view.stale = true
}

// insertSlot returns slots with the adapter inserted in order. It does not modify
// slots.
func insertSlot(slots []*adapter, st *adapter) []*adapter {
	i, found := slices.BinarySearchFunc(slots, st.name, func(other *adapter, a ident.Adapter) int { return compareAdapters(other.name, a) })
	if found {
		return slots
	}
	return slices.Insert(slices.Clone(slots), i, st)
}

func (s *Scheduler) setDraining(st *adapter, draining bool) {
	if st.draining == draining {
		return
	}
	st.draining = draining
	s.updateReady(st)
}

// occupied returns the number of slots in use. An adapter that waits for the unload
// of another one shares the slot with it.
func (s *Scheduler) occupied() int {
	n := len(s.slots)
	for _, st := range s.slots {
		if st.state == stateLoading && !st.victim.IsZero() {
			n--
		}
	}
	return n
}

func compareAdapters(a, b ident.Adapter) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}

// countRequest adds one request to the request rate of the adapter.
func (st *adapter) countRequest(now time.Time) {
	st.rate = st.decayedRate(now) + 1
	st.rateAt = now
}

// decayedRate returns the request rate, decayed up to now.
func (st *adapter) decayedRate(now time.Time) float64 {
	return st.rate * math.Exp2(-float64(now.Sub(st.rateAt))/float64(rateHalfLife))
}

// forgetIdleAdapters deletes the state of adapters that are not resident and have
// neither queued work nor recent requests. It runs at most once per cleanupInterval.
func (s *Scheduler) forgetIdleAdapters(now time.Time) {
	if now.Sub(s.lastCleanup) < cleanupInterval {
		return
	}
	s.lastCleanup = now
	maps.DeleteFunc(s.teamLastLoad, func(_ ident.Team, at time.Time) bool { return now.Sub(at) > rateHalfLife })
	for a, st := range s.adapters {
		if st.state != stateAbsent || st.inUse() || st.permitRequest.active || now.Before(st.retryAt) || now.Before(st.unloadExpiry) {
			continue
		}
		if _, n, _ := s.queue.Waiting(a); n == 0 && st.decayedRate(now) < minKeptRate {
			delete(s.adapters, a)
			delete(s.wanted, a)
		}
	}
}

// command returns a load or unload command with a new ID, after checking the
// invariants of the command.
func (s *Scheduler) command(now time.Time, st *adapter, kind ActionKind) Action {
	invariant.Check(s.mayCommand() && s.engineKnown, invariant.OrderNeedsAuthority, "command for adapter %s while commands are not allowed", st.name)
	if kind == Unload {
		invariant.Check(!st.inUse(), invariant.ZeroPinsAtEviction, "adapter %s evicted with %d pins and %d foreign runs", st.name, st.pins, st.foreign)
	}
	invariant.Check(s.occupied() <= s.cfg.Slots, invariant.SlotsWithinCapacity, "%d of %d slots in use", s.occupied(), s.cfg.Slots)
	s.lastCommand++
	st.command = s.lastCommand
	deadline := now.Add(s.cfg.CommandDeadline)
	st.commandExpiry = deadline.Add(commandMargin)
	return Action{Kind: kind, Adapter: st.name, Command: st.command, Deadline: deadline}
}

// loadTimes holds the most recent load times, from which the shortest time that a
// load takes at present is estimated.
type loadTimes struct {
	took [loadTimeCount]time.Duration
	at   [loadTimeCount]time.Time
	next int
}

func (l *loadTimes) add(now time.Time, took time.Duration) {
	l.took[l.next], l.at[l.next] = took, now
	l.next = (l.next + 1) % loadTimeCount
}

// shortest returns the shortest load time within loadTimeMaxAge, or zero if there is
// none. The shortest time is used so that work is accepted in case of doubt.
func (l *loadTimes) shortest(now time.Time) time.Duration {
	var best time.Duration
	for i, took := range l.took {
		if took > 0 && now.Sub(l.at[i]) < loadTimeMaxAge && (best == 0 || took < best) {
			best = took
		}
	}
	return best
}

// best returns the shortest of the stored load times regardless of their age, or
// zero if there is none.
func (l *loadTimes) best() time.Duration {
	var best time.Duration
	for _, took := range l.took {
		if took > 0 && (best == 0 || took < best) {
			best = took
		}
	}
	return best
}

// Stats is a summary of the state for reports. The slices must not be modified.
type Stats struct {
	Running int
	Queued  int
	// Foreign is the number of runs at the engine that this process did not start.
	// These also occupy positions.
	Foreign int
	// WaitingForLoad is the number of queued attempts, included in Queued, that wait
	// for an adapter to be loaded.
	WaitingForLoad int
	// LoadableSlots is the number of slots that further loads could use without waiting
	// for running or queued attempts.
	LoadableSlots int
	// LoadTime is the shortest of the last load times, or 0 if none is known.
	LoadTime time.Duration
	// Residents holds the resident adapters, sorted.
	Residents []ident.Adapter
	// Loading holds the adapters that are loading, or have queued work and wait to
	// be loaded, sorted.
	Loading []ident.Adapter
}

// residentView caches the sorted adapter lists of Stats between changes.
type residentView struct {
	stale     bool
	residents []ident.Adapter
	loading   []ident.Adapter
}

// Stats returns a summary of the current state.
func (s *Scheduler) Stats() Stats {
	if s.view.stale {
		s.view = s.buildView()
	}
	return Stats{Running: len(s.running), Queued: s.queue.Len(), Foreign: len(s.foreign), WaitingForLoad: s.waitingForLoad(), LoadableSlots: s.loadableSlots(), LoadTime: s.recentLoadTimes.best(), Residents: s.view.residents, Loading: s.view.loading}
}

// waitingForLoad returns the number of queued attempts that wait for an adapter to be
// loaded.
func (s *Scheduler) waitingForLoad() int {
	_, n, _ := s.queue.Waiting(ident.Adapter{})
	out := s.queue.Len() - n
	for _, st := range s.slots {
		if st.state == stateResident {
			_, n, _ = s.queue.Waiting(st.name)
			out -= n
		}
	}
	return out
}

func (s *Scheduler) buildView() residentView {
	var v residentView
	for _, st := range s.slots {
		switch st.state {
		case stateResident:
			v.residents = append(v.residents, st.name)
		case stateLoading:
			v.loading = append(v.loading, st.name)
		}
	}
	for a := range s.wanted {
		if _, n, _ := s.queue.Waiting(a); n > 0 {
			v.loading = append(v.loading, a)
		}
	}
	slices.SortFunc(v.loading, compareAdapters)
	return v
}
