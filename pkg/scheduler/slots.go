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

// Parameters of the demand estimate and of the clean-up.
const (
	// rateHalfLife is the time in which the weight of an earlier demand halves.
	rateHalfLife = 5 * time.Minute
	// minKeptRate is the demand below which an absent adapter is forgotten.
	minKeptRate     = 0.05
	cleanupInterval = 10 * time.Second
	// loadTimeMaxAge is how long a measured load time is used for the estimate, so
	// that one slow period does not refuse work for ever.
	loadTimeMaxAge = time.Minute
	loadTimeCount  = 8
)

type state uint8

const (
	stateAbsent state = iota
	// stateLoading holds a slot: its load command or the unload before it runs.
	stateLoading
	stateResident
	stateUnloading
	// stateLoadUnknown and stateUnloadLost hold a slot until a reading of the engine's
	// state tells whether the command has taken effect.
	stateLoadUnknown
	stateUnloadUnknown
)

// adapter is what the scheduler knows about one adapter.
type adapter struct {
	name  ident.Adapter
	state state
	pins  int
	// foreign counts the runs of other processes.
	foreign  int
	lastUsed time.Time
	// command is the running command for this adapter.
	command CommandID
	// commandExpiry is when the last command can no longer take effect.
	commandExpiry time.Time
	// unloadExpiry is when an unload from before an engine restart can no longer take
	// effect. The adapter serves no work before.
	unloadExpiry time.Time
	// lastChange is the number of the last change of the state.
	lastChange uint64
	// victim is the adapter whose unload precedes the load of this one.
	victim ident.Adapter
	// draining adapters start no more work, so that their pins end.
	draining bool
	// rate is the demand, decayed up to rateAt.
	rate        float64
	rateAt      time.Time
	loadTime    time.Duration
	loadStarted time.Time
	loadedAt    time.Time
	// unusedSinceLoad adapters have started no attempt since their load. They are not evicted
	// while work waits for them, or the load would be wasted.
	unusedSinceLoad bool
	failures        int
	// retryAt is the earliest time of the next load or unload command.
	retryAt       time.Time
	permitRequest permitRequest
}

// inUse reports whether a run uses the adapter.
func (st *adapter) inUse() bool { return st.pins > 0 || st.foreign > 0 }

func (st *adapter) outcomeUnknown() bool {
	return st.state == stateLoadUnknown || st.state == stateUnloadUnknown
}

func (s *Scheduler) adapter(now time.Time, a ident.Adapter) *adapter {
	st := s.adapters[a]
	if st == nil {
		st = &adapter{name: a, rateAt: now}
		s.adapters[a] = st
	}
	return st
}

// setState moves an adapter to another state and keeps the slots, the ready
// lanes and the report view in step.
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

// occupied counts the slots in use. An adapter that waits for the unload of
// another one shares its slot.
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

// countRequest counts one more request for the adapter.
func (st *adapter) countRequest(now time.Time) {
	st.rate = st.decayedRate(now) + 1
	st.rateAt = now
}

func (st *adapter) decayedRate(now time.Time) float64 {
	return st.rate * math.Exp2(-float64(now.Sub(st.rateAt))/float64(rateHalfLife))
}

// forgetIdleAdapters forgets absent adapters without work and demand.
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

// command checks the invariants of a command and numbers it.
func (s *Scheduler) command(now time.Time, st *adapter, kind ActionKind) Action {
	invariant.Check(s.mayCommand() && s.engineKnown, invariant.OrderNeedsAuthority, "command for %s", st.name)
	if kind == Unload {
		invariant.Check(!st.inUse(), invariant.ZeroPinsAtEviction, "evict %s with %d pins and %d foreign runs", st.name, st.pins, st.foreign)
	}
	invariant.Check(s.occupied() <= s.cfg.Slots, invariant.SlotsWithinCapacity, "%d of %d slots used", s.occupied(), s.cfg.Slots)
	s.lastCommand++
	st.command = s.lastCommand
	deadline := now.Add(s.cfg.CommandDeadline)
	st.commandExpiry = deadline.Add(commandMargin)
	return Action{Kind: kind, Adapter: st.name, Command: st.command, Deadline: deadline}
}

// loadTimes estimates the shortest time that a load takes at present.
type loadTimes struct {
	took [loadTimeCount]time.Duration
	at   [loadTimeCount]time.Time
	next int
}

func (l *loadTimes) add(now time.Time, took time.Duration) {
	l.took[l.next], l.at[l.next] = took, now
	l.next = (l.next + 1) % loadTimeCount
}

// shortest returns the shortest of the recent load times, or zero if none is
// known. It errs on the side of accepting work.
func (l *loadTimes) shortest(now time.Time) time.Duration {
	var best time.Duration
	for i, took := range l.took {
		if took > 0 && now.Sub(l.at[i]) < loadTimeMaxAge && (best == 0 || took < best) {
			best = took
		}
	}
	return best
}

// best returns the shortest of the kept load times, whatever their age.
func (l *loadTimes) best() time.Duration {
	var best time.Duration
	for _, took := range l.took {
		if took > 0 && (best == 0 || took < best) {
			best = took
		}
	}
	return best
}

// Stats is a summary for reports. The slices must not be changed.
type Stats struct {
	Running int
	Queued  int
	// Foreign counts the runs at the engine that this process did not start. They
	// use positions too.
	Foreign int
	// Stalled is the part of Queued that waits for the load of an adapter.
	Stalled int
	// LoadableSlots is the number of slots that further loads could take at once.
	LoadableSlots int
	// LoadTime is the shortest recent time of one load, 0 if none is known.
	LoadTime  time.Duration
	Residents []ident.Adapter
	// Loading are the adapters that are loading or have queued work that waits for it.
	Loading []ident.Adapter
}

// residentView caches the sorted adapter lists between changes.
type residentView struct {
	stale     bool
	residents []ident.Adapter
	loading   []ident.Adapter
}

// Stats returns the current summary.
func (s *Scheduler) Stats() Stats {
	if s.view.stale {
		s.view = s.buildView()
	}
	return Stats{Running: len(s.running), Queued: s.queue.Len(), Foreign: len(s.foreign), Stalled: s.stalled(), LoadableSlots: s.loadableSlots(), LoadTime: s.loads.best(), Residents: s.view.residents, Loading: s.view.loading}
}

// stalled counts the queued attempts that wait for the load of an adapter.
func (s *Scheduler) stalled() int {
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
