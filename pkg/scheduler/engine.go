package scheduler

import (
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// AdapterUse states whether runs may rely on the resident adapters.
type AdapterUse uint8

// Values of AdapterUse, the strictest first.
const (
	// AdaptersRefused refuses all work that needs an adapter, because another
	// process may change the engine's adapters.
	AdaptersRefused AdapterUse = iota
	// AdaptersHeld queues such work but starts none, and gives no commands.
	AdaptersHeld
	// AdaptersUsable lets such work start.
	AdaptersUsable
)

// String returns the name of the use.
func (u AdapterUse) String() string {
	switch u {
	case AdaptersUsable:
		return "usable"
	case AdaptersHeld:
		return "held"
	default:
		return "refused"
	}
}

// EngineRun is a request in progress as listed by the engine.
type EngineRun struct {
	Request ident.RequestID
	Adapter ident.Adapter
}

// Revision is a point in the history of a scheduler.
type Revision struct {
	changes uint64
	ended   uint64
}

// EngineState is the state of the engine as read between Mark and now.
type EngineState struct {
	// RequestedAt is the time before the request was sent.
	RequestedAt time.Time
	// Revision is the scheduler's mark at that time.
	Revision  Revision
	Residents []ident.Adapter
	Running   []EngineRun
}

// endedRun is a run of this process that has ended.
type endedRun struct {
	run EngineRun
	seq uint64
}

// SetAdapterUse states whether runs may rely on the resident adapters.
func (s *Scheduler) SetAdapterUse(now time.Time, use AdapterUse) []Action {
	if s.use == use {
		return nil
	}
	s.use = use
	for _, st := range s.slots {
		s.updateReady(st)
	}
	return s.schedule(now)
}

// mayCommand reports whether commands may be given to the engine.
func (s *Scheduler) mayCommand() bool { return s.canLoad && s.use == AdaptersUsable }

// updateReady lets the work of an adapter start if the adapter can serve it.
func (s *Scheduler) updateReady(st *adapter) {
	s.queue.SetReady(st.name, st.state == stateResident && !st.draining && s.use == AdaptersUsable)
}

// refuseAdapterWork refuses all queued work that needs an adapter.
func (s *Scheduler) refuseAdapterWork() []Action {
	var late []*item
	for _, it := range s.items {
		if !it.Lane.IsZero() {
			late = append(late, it)
		}
	}
	return s.refuseItems(late, fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY)
}

// Revision returns the current point in the scheduler's history. Take it before the
// engine's state is read.
func (s *Scheduler) Revision() Revision { return Revision{changes: s.changes, ended: s.endedCount} }

// CommandOutcomeUnknown ends a load or unload command whose effect is not known. The slot is
// used again only after a later reading has settled it. Attempts that wait for the
// load are refused. Results of earlier commands are ignored.
func (s *Scheduler) CommandOutcomeUnknown(now time.Time, a ident.Adapter, id CommandID) []Action {
	st := s.adapterForCommand(a, id)
	if st == nil {
		return nil
	}
	if st.state == stateUnloading {
		s.setState(st, stateUnloadUnknown)
		return s.schedule(now)
	}
	s.setState(st, stateLoadUnknown)
	out := []Action{{Kind: ReleasePermit, Adapter: a}}
	out = append(out, s.refuseAll(a, fescuev1.NotRunReason_NOT_RUN_REASON_LOAD_FAILED)...)
	return append(out, s.schedule(now)...)
}

// UnresolvedCommands counts the commands whose effect is not known.
func (s *Scheduler) UnresolvedCommands() int {
	n := 0
	for _, st := range s.slots {
		if st.outcomeUnknown() {
			n++
		}
	}
	return n
}

// CommandsPending reports whether a command without an answer may still take
// effect at the engine.
func (s *Scheduler) CommandsPending(now time.Time) bool {
	for _, st := range s.adapters {
		if now.Before(st.commandExpiry) && (st.command != 0 || st.outcomeUnknown() || now.Before(st.unloadExpiry)) {
			return true
		}
	}
	return false
}

// ApplyEngineState applies a reading of the engine's state: runs of a predecessor keep their
// adapters pinned, lost commands are settled, and the resident adapters that the
// scheduler does not know are adopted. Adapters that changed after the reading
// began keep their state.
func (s *Scheduler) ApplyEngineState(now time.Time, r EngineState) []Action {
	if !s.engineKnown {
		return nil
	}
	s.updateForeignRuns(now, r)
	found := s.unexpectedResidents(now, r)
	var out []Action
	for _, st := range slices.Clone(s.slots) {
		out = append(out, s.reconcileSlot(now, st, r)...)
	}
	for _, st := range found {
		if st.state == stateAbsent && s.occupied() < s.cfg.Slots {
			s.adoptResident(now, st, r.RequestedAt)
		}
	}
	return append(out, s.schedule(now)...)
}

// reconcileSlot compares one slot with a reading.
func (s *Scheduler) reconcileSlot(now time.Time, st *adapter, r EngineState) []Action {
	if st.lastChange > r.Revision.changes {
		return nil
	}
	listed := slices.Contains(r.Residents, st.name)
	// A lost command may still take effect until its deadline.
	expired := !r.RequestedAt.Before(st.commandExpiry)
	switch st.state {
	case stateResident:
		if !listed && !st.inUse() {
			s.setState(st, stateAbsent)
		}
	case stateLoadUnknown:
		if listed {
			s.setState(st, stateResident)
			st.lastUsed, st.loadedAt = now, now
		} else if expired {
			s.setState(st, stateAbsent)
			s.backOff(now, st)
		}
	case stateUnloadUnknown:
		if !listed && !expired {
			// Another process may have removed it, so the command may be yet to come.
			st.unloadExpiry = st.commandExpiry
		}
		if !listed || expired {
			return s.endUnload(now, st, !listed)
		}
	}
	return nil
}

// unexpectedResidents returns the adapters that the engine lists although no load was
// ordered for them.
func (s *Scheduler) unexpectedResidents(now time.Time, r EngineState) []*adapter {
	var out []*adapter
	for _, a := range r.Residents {
		st := s.adapter(now, a)
		planned := st.state == stateLoading && !st.victim.IsZero()
		if (st.state == stateAbsent || planned) && st.lastChange <= r.Revision.changes {
			out = append(out, st)
		}
	}
	return out
}

// adoptResident gives a slot to an adapter that the engine lists as resident.
func (s *Scheduler) adoptResident(now time.Time, st *adapter, at time.Time) {
	st.lastUsed = now
	if at.Before(st.unloadExpiry) {
		s.setState(st, stateUnloadUnknown)
		return
	}
	s.setState(st, stateResident)
}

// updateForeignRuns replaces the runs that this process did not start. A run that was
// foreign once stays foreign while it is listed, also if this process starts
// another attempt of the same request.
func (s *Scheduler) updateForeignRuns(now time.Time, r EngineState) {
	old := s.foreign
	s.foreign = map[EngineRun]bool{}
	for run := range old {
		s.addForeignPins(now, run.Adapter, -1)
	}
	own := s.ownRuns(r.Revision)
	for _, run := range r.Running {
		if s.foreign[run] || (own[run] && !old[run]) {
			continue
		}
		s.foreign[run] = true
		s.addForeignPins(now, run.Adapter, 1)
	}
}

func (s *Scheduler) addForeignPins(now time.Time, a ident.Adapter, n int) {
	if !a.IsZero() {
		s.adapter(now, a).foreign += n
	}
}

// ownRuns returns the runs of this process that are in progress or have ended
// since the mark. Earlier ends are forgotten.
func (s *Scheduler) ownRuns(since Revision) map[EngineRun]bool {
	own := map[EngineRun]bool{}
	for id, a := range s.running {
		own[EngineRun{Request: id.Request, Adapter: a}] = true
	}
	s.ended = slices.DeleteFunc(s.ended, func(e endedRun) bool { return e.seq <= since.ended })
	for _, e := range s.ended {
		own[e.run] = true
	}
	return own
}

// Unfinished is an attempt that has not ended.
type Unfinished struct {
	ID      ident.AttemptID
	Adapter ident.Adapter
	Running bool
}

// Unfinished returns the queued and running attempts in the order of their ids.
func (s *Scheduler) Unfinished() []Unfinished {
	var out []Unfinished
	for id, a := range s.running {
		out = append(out, Unfinished{ID: id, Adapter: a, Running: true})
	}
	for id, it := range s.items {
		out = append(out, Unfinished{ID: id, Adapter: it.Lane})
	}
	slices.SortFunc(out, func(a, b Unfinished) int { return compareIDs(a.ID, b.ID) })
	return out
}
