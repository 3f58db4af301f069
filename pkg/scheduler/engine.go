package scheduler

import (
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// AdapterUse determines whether attempts that need an adapter may run on the resident
// adapters.
type AdapterUse uint8

// Values of AdapterUse, from the most to the least restrictive.
const (
	// AdaptersRefused refuses all work that needs an adapter, because another
	// process may change the adapters of the engine.
	AdaptersRefused AdapterUse = iota
	// AdaptersHeld queues work that needs an adapter but starts none of it, and
	// sends no commands to the engine.
	AdaptersHeld
	// AdaptersUsable lets work that needs an adapter start.
	AdaptersUsable
)

// String returns the name of the value in lower case.
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

// EngineRun is a request in progress as listed by the engine. Adapter is zero for a
// run on the base model.
type EngineRun struct {
	Request ident.RequestID
	Adapter ident.Adapter
}

// Revision identifies a point in the sequence of state changes and ended runs of a
// scheduler. It is used to ignore parts of an engine state that are out of date.
type Revision struct {
	changes uint64
	ended   uint64
}

// EngineState is the state of the engine as it was at some time between RequestedAt
// and its receipt.
type EngineState struct {
	// RequestedAt is a time before the state was requested from the engine.
	RequestedAt time.Time
	// Revision is the revision of the scheduler at RequestedAt.
	Revision  Revision
	Residents []ident.Adapter
	Running   []EngineRun
}

// endedRun is an ended run that this process had started, with its sequence number.
type endedRun struct {
	run EngineRun
	seq uint64
}

// SetAdapterUse sets whether work that needs an adapter may run on the resident
// adapters.
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

// mayCommand reports whether load and unload commands may be sent to the engine.
func (s *Scheduler) mayCommand() bool { return s.canLoad && s.use == AdaptersUsable }

// updateReady marks the work for an adapter as ready if the adapter can serve it
// now, and as not ready otherwise.
func (s *Scheduler) updateReady(st *adapter) {
	s.queue.SetReady(st.name, st.state == stateResident && !st.draining && s.use == AdaptersUsable)
}

// refuseAdapterWork refuses all queued work that needs an adapter.
func (s *Scheduler) refuseAdapterWork() []Action {
	var affected []*item
	for _, it := range s.items {
		if !it.Lane.IsZero() {
			affected = append(affected, it)
		}
	}
	return s.refuseItems(affected, fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY)
}

// Revision returns the current revision. It must be taken before the state of the
// engine is requested.
func (s *Scheduler) Revision() Revision { return Revision{changes: s.changes, ended: s.endedCount} }

// CommandOutcomeUnknown ends a load or unload command whose effect is not known, for
// instance because its reply was lost. The slot is used again only after a later
// ApplyEngineState has shown whether the command took effect. Attempts that wait for
// the load are refused. Calls for earlier commands are ignored.
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

// UnresolvedCommands returns the number of commands whose effect is not known.
func (s *Scheduler) UnresolvedCommands() int {
	n := 0
	for _, st := range s.slots {
		if st.outcomeUnknown() {
			n++
		}
	}
	return n
}

// CommandsPending reports whether a command that has not been answered, or whose
// reply was lost, may still take effect at the engine.
func (s *Scheduler) CommandsPending(now time.Time) bool {
	for _, st := range s.adapters {
		if now.Before(st.commandExpiry) && (st.command != 0 || st.outcomeUnknown() || now.Before(st.unloadExpiry)) {
			return true
		}
	}
	return false
}

// ApplyEngineState reconciles the scheduler with a state read from the engine. Runs
// that another process started, such as a predecessor of this one, keep their
// adapters pinned; commands with an unknown effect are resolved; resident adapters
// that the scheduler did not know are added. Adapters that changed after es.Revision
// was taken keep their state.
func (s *Scheduler) ApplyEngineState(now time.Time, es EngineState) []Action {
	if !s.engineKnown {
		return nil
	}
	s.updateForeignRuns(now, es)
	found := s.unexpectedResidents(now, es)
	var out []Action
	for _, st := range slices.Clone(s.slots) {
		out = append(out, s.reconcileSlot(now, st, es)...)
	}
	for _, st := range found {
		if st.state == stateAbsent && s.occupied() < s.cfg.Slots {
			s.adoptResident(now, st, es.RequestedAt)
		}
	}
	return append(out, s.schedule(now)...)
}

// reconcileSlot compares the adapter in one slot with the state read from the
// engine.
func (s *Scheduler) reconcileSlot(now time.Time, st *adapter, es EngineState) []Action {
	if st.lastChange > es.Revision.changes {
		return nil
	}
	listed := slices.Contains(es.Residents, st.name)
	// A command without a reply may still take effect until it expires.
	expired := !es.RequestedAt.Before(st.commandExpiry)
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
			// Another process may have unloaded the adapter, so the command may
			// still reach the engine.
			st.unloadExpiry = st.commandExpiry
		}
		if !listed || expired {
			return s.endUnload(now, st, !listed)
		}
	}
	return nil
}

// unexpectedResidents returns the adapters that the engine lists as resident
// although the scheduler has sent no load command for them.
func (s *Scheduler) unexpectedResidents(now time.Time, es EngineState) []*adapter {
	var out []*adapter
	for _, a := range es.Residents {
		st := s.adapter(now, a)
		awaitsUnload := st.state == stateLoading && !st.victim.IsZero()
		if (st.state == stateAbsent || awaitsUnload) && st.lastChange <= es.Revision.changes {
			out = append(out, st)
		}
	}
	return out
}

// adoptResident assigns a slot to an adapter that is resident according to an engine
// state requested at requestedAt. If an earlier unload command could still take
// effect at that time, its outcome is treated as unknown.
func (s *Scheduler) adoptResident(now time.Time, st *adapter, requestedAt time.Time) {
	st.lastUsed = now
	if requestedAt.Before(st.unloadExpiry) {
		s.setState(st, stateUnloadUnknown)
		return
	}
	s.setState(st, stateResident)
}

// updateForeignRuns replaces the set of foreign runs, which this process did not
// start. A run that was foreign once stays foreign while the engine lists it, even
// if this process starts another attempt of the same request.
func (s *Scheduler) updateForeignRuns(now time.Time, es EngineState) {
	old := s.foreign
	s.foreign = map[EngineRun]bool{}
	for run := range old {
		s.addForeignPins(now, run.Adapter, -1)
	}
	own := s.ownRuns(es.Revision)
	for _, run := range es.Running {
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

// ownRuns returns the runs of this process that are in progress or have ended after
// the given revision. It discards the record of runs that ended earlier.
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

// Unfinished is an attempt that is queued or running.
type Unfinished struct {
	ID      ident.AttemptID
	Adapter ident.Adapter
	Running bool
}

// Unfinished returns the queued and running attempts, sorted by ID.
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
