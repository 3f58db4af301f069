// Package scheduler decides, for one endpoint, which queued attempt starts next and
// which adapters are loaded and evicted. It is a deterministic state machine: it
// starts no goroutines, does no I/O and reads no clock. Its methods return the
// actions that the caller must carry out.
package scheduler

import (
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fairqueue"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

// Work is one attempt submitted to the scheduler.
type Work struct {
	ID   ident.AttemptID
	Team ident.Team
	// Adapter is zero for work that needs no adapter.
	Adapter  ident.Adapter
	Priority ident.Priority
	// Weight is the scheduling weight of the team. It is at least 1.
	Weight int
	// Cost is charged against the share of the team. Zero counts as 1.
	Cost     int
	Deadline time.Time
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// Start runs an attempt. Its adapter is pinned, which prevents its eviction, until
	// RunDone is called.
	Start ActionKind = iota + 1
	// Refuse ends an attempt that has not run.
	Refuse
	// Load commands the engine to load an adapter.
	Load
	// Unload commands the engine to unload an adapter.
	Unload
	// RequestPermit asks the coordinator for permission to load an adapter.
	RequestPermit
	// ReleasePermit returns a permit or withdraws a permit request.
	ReleasePermit
)

// CommandID identifies one load or unload command. The result of a command carries
// it, so that results from before an engine restart can be ignored.
type CommandID uint64

// Action is one decision for the caller to carry out.
type Action struct {
	Kind    ActionKind
	ID      ident.AttemptID
	Adapter ident.Adapter
	// Command is set for Load and Unload.
	Command CommandID
	// Deadline is the time after which the engine must not act on the command. It is
	// set for Load and Unload.
	Deadline time.Time
	Reason   fescuev1.NotRunReason
	// Stall is the time that the attempt waited in the queue, if it had to wait for its
	// adapter, or 0. It is set for Start.
	Stall time.Duration
	// Waiting is the number of queued attempts for the adapter, Waited the age of
	// the oldest and Priority the highest of their priorities. They are set for
	// RequestPermit.
	Waiting  int
	Waited   time.Duration
	Priority ident.Priority
	// Loading is true if the load is already in progress. It is set for RequestPermit.
	Loading bool
	// Loaded is true if the load has succeeded. It is set for ReleasePermit.
	Loaded bool
}

// queued is a queued attempt and the time at which it was queued. waitedForLoad is
// true if its adapter was not resident for at least part of the time since then.
type queued struct {
	work          Work
	queuedAt      time.Time
	waitedForLoad bool
}

// item is a queued attempt. Its lane is its adapter.
type item = fairqueue.Item[ident.Adapter, *queued]

// Scheduler holds the state of one endpoint. It is not safe for concurrent use.
type Scheduler struct {
	cfg     Config
	evictor Evictor
	// engineKnown is false until the state of the engine has been read.
	engineKnown bool
	canLoad     bool
	use         AdapterUse
	leaving     bool
	queue       *fairqueue.Queue[ident.Adapter, *queued]
	items       map[ident.AttemptID]*item
	running     map[ident.AttemptID]ident.Adapter
	// foreign holds the runs at the engine that this process did not start.
	foreign map[EngineRun]bool
	// ended holds the ended runs that may still be listed in an engine state that was
	// requested before they ended.
	ended      []endedRun
	endedCount uint64
	adapters   map[ident.Adapter]*adapter
	// teamLastLoad holds the time of the last load for each team that has loaded
	// recently.
	teamLastLoad map[ident.Team]time.Time
	// slots holds the adapters that occupy a slot, sorted by name. The slice is
	// replaced, not modified, on every change.
	slots []*adapter
	// wanted holds the adapters that are not resident and may have queued work.
	wanted map[ident.Adapter]*adapter
	// permitRequests holds the adapters for which a permit is requested, at most one
	// per slot.
	permitRequests []*adapter
	lastCommand    CommandID
	// changes counts the changes of adapter states.
	changes uint64
	// deadline is the earliest deadline in the queue, or zero if it is not known.
	deadline        time.Time
	recentLoadTimes loadTimes
	fallback        fallback
	lastCleanup     time.Time
	view            residentView
}

// New returns a scheduler that does not know the state of the engine and may not
// send commands to it, and that refuses work that needs an adapter. Other work is
// queued until EngineRestarted is called; a scheduler without slots starts it at
// once.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{
		cfg:          cfg,
		evictor:      cfg.Evictor,
		engineKnown:  cfg.Slots == 0,
		queue:        fairqueue.New[ident.Adapter, *queued](fairqueue.Config{FairnessWindow: cfg.FairnessWindow}),
		items:        map[ident.AttemptID]*item{},
		running:      map[ident.AttemptID]ident.Adapter{},
		adapters:     map[ident.Adapter]*adapter{},
		teamLastLoad: map[ident.Team]time.Time{},
		wanted:       map[ident.Adapter]*adapter{},
	}
	s.queue.SetReady(ident.Adapter{}, true)
	return s
}

// ApplyConfig sets the weights of load stalls and batch efficiency.
func (s *Scheduler) ApplyConfig(stallWeight, batchWeight float64) {
	s.cfg.StallWeight, s.cfg.BatchWeight = stallWeight, batchWeight
}

// SetCapacity sets the number of slots and positions after an engine restart.
// EngineRestarted must be called next.
func (s *Scheduler) SetCapacity(slots, positions int) {
	s.cfg.Slots, s.cfg.Positions = slots, positions
}

// EngineRestarted replaces the set of resident adapters after an engine restart, or
// when the state of the engine is read for the first time. Results of earlier
// commands are ignored, but an unload command without a reply may still reach the
// restarted engine until it expires. Attempts that were started keep their adapters
// pinned until RunDone, because they may have reached the restarted engine before the
// restart was detected.
func (s *Scheduler) EngineRestarted(now time.Time, es EngineState) []Action {
	var out []Action
	for _, st := range s.slots {
		if st.state == stateLoading {
			out = append(out, Action{Kind: ReleasePermit, Adapter: st.name})
		}
		if st.state == stateUnloading || st.state == stateUnloadUnknown {
			st.unloadExpiry = st.commandExpiry
		}
		s.setState(st, stateAbsent)
	}
	s.engineKnown = true
	for _, a := range es.Residents {
		s.adoptResident(now, s.adapter(now, a), es.RequestedAt)
	}
	s.updateForeignRuns(now, es)
	return append(out, s.schedule(now)...)
}

// SetAuthority sets whether this endpoint has the authority to send load and unload
// commands.
func (s *Scheduler) SetAuthority(now time.Time, canLoad bool) []Action {
	s.canLoad = canLoad
	return s.schedule(now)
}

// Leave makes the scheduler refuse new work. Queued work still runs.
func (s *Scheduler) Leave() { s.leaving = true }

// RunDone ends a started attempt and removes its pin from the adapter.
func (s *Scheduler) RunDone(now time.Time, id ident.AttemptID) []Action {
	a, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	s.endedCount++
	s.ended = append(s.ended, endedRun{run: EngineRun{Request: id.Request, Adapter: a}, seq: s.endedCount})
	if st := s.adapters[a]; st != nil {
		st.pins--
		st.lastUsed = now
		invariant.Check(st.pins >= 0, invariant.ZeroPinsAtEviction, "adapter %s has %d pins", a, st.pins)
	}
	return s.schedule(now)
}

// Tick refuses attempts whose deadline has passed, sends permit requests again, and
// loads without a permit if the coordinator does not answer. It must be called at
// regular intervals.
func (s *Scheduler) Tick(now time.Time) []Action {
	out := s.expire(now)
	if !s.engineKnown {
		return out
	}
	out = append(out, s.startReady(now)...)
	if s.mayCommand() {
		out = append(out, s.planLoads(now)...)
		out = append(out, s.resendRequests(now)...)
		out = append(out, s.loadWithoutPermit(now)...)
	}
	s.forgetIdleAdapters(now)
	return out
}

// schedule starts the attempts that can start now, then plans the loads that are
// needed. Without authority or usable adapters, it refuses the work that cannot be
// served.
func (s *Scheduler) schedule(now time.Time) []Action {
	if !s.engineKnown {
		return nil
	}
	if s.use == AdaptersRefused {
		out := s.refuseAdapterWork()
		out = append(out, s.stopLoads()...)
		return append(out, s.startReady(now)...)
	}
	if !s.canLoad {
		out := s.stopLoads()
		return append(out, s.startReady(now)...)
	}
	out := s.startReady(now)
	if s.mayCommand() && s.replanNeeded() {
		out = append(out, s.planLoads(now)...)
	}
	return out
}

func (s *Scheduler) startReady(now time.Time) []Action {
	var out []Action
	if s.gathering(now) {
		return nil
	}
	for len(s.running)+len(s.foreign) < s.cfg.Positions {
		it := s.queue.Next()
		if it == nil {
			break
		}
		out = append(out, s.start(now, it))
	}
	return out
}

func (s *Scheduler) start(now time.Time, it *item) Action {
	w := it.Value.work
	_, twice := s.running[w.ID]
	invariant.Check(!twice, invariant.AtMostOneRun, "attempt %v started twice", w.ID)
	delete(s.items, w.ID)
	s.running[w.ID] = w.Adapter
	act := Action{Kind: Start, ID: w.ID, Adapter: w.Adapter}
	if w.Adapter.IsZero() {
		return act
	}
	st := s.adapter(now, w.Adapter)
	invariant.Check(st.state == stateResident && s.use == AdaptersUsable, invariant.RightAdapter, "run started on adapter %s in state %d", w.Adapter, st.state)
	st.pins++
	st.unusedSinceLoad = false
	st.lastUsed = now
	if it.Value.waitedForLoad {
		act.Stall = now.Sub(it.Value.queuedAt)
	}
	return act
}
