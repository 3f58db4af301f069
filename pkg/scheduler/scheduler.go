// Package scheduler decides at an endpoint which queued attempt starts next and
// which adapters are loaded and evicted. It is a deterministic state machine:
// it starts no goroutines, does no I/O and reads no clock.
package scheduler

import (
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

// Work is one queued attempt.
type Work struct {
	ID   ident.AttemptID
	Team ident.Team
	// Adapter is zero for work that needs none.
	Adapter  ident.Adapter
	Priority ident.Priority
	// Weight is the scheduling weight of the team, at least 1.
	Weight   int
	Deadline time.Time
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// Start runs an attempt. Its adapter is pinned until RunDone.
	Start ActionKind = iota + 1
	// Refuse ends a queued attempt that has not run.
	Refuse
	// Load orders the engine to load an adapter.
	Load
	// Unload orders the engine to unload an adapter.
	Unload
	// RequestPermit asks the coordinator for a load.
	RequestPermit
	// ReleasePermit returns a permit or withdraws a request for one.
	ReleasePermit
)

// Action is one decision to carry out.
type Action struct {
	Kind    ActionKind
	ID      ident.AttemptID
	Adapter ident.Adapter
	Reason  fescuev1.NotRunReason
	// Stall is the time the attempt waited for its adapter, set with Start.
	Stall time.Duration
	// Waiting is the number of queued attempts for the adapter and Waited the
	// age of the oldest, set with RequestPermit.
	Waiting  int
	Waited   time.Duration
	Priority ident.Priority
}

// Config are the limits of a scheduler.
type Config struct {
	// Slots is the number of adapters the engine can hold.
	Slots int
	// Positions is the number of attempts that run at once.
	Positions int
	// MaxQueued bounds the queue.
	MaxQueued int
}

type slotState uint8

const (
	slotWanted slotState = iota + 1
	slotLoading
	slotResident
	slotUnloading
)

type slot struct {
	state    slotState
	pins     int
	lastUsed time.Time
}

type queued struct {
	work  Work
	since time.Time
	stall bool
}

// Scheduler holds the state of one endpoint.
type Scheduler struct {
	cfg     Config
	slots   map[ident.Adapter]*slot
	queue   []*queued
	running map[ident.AttemptID]ident.Adapter
	canLoad bool
	leaving bool
}

// New returns a scheduler with an empty engine and without authority to load.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, slots: map[ident.Adapter]*slot{}, running: map[ident.AttemptID]ident.Adapter{}}
}

// SetResidents replaces the set of resident adapters after the engine's state
// has been read.
func (s *Scheduler) SetResidents(now time.Time, residents []ident.Adapter) []Action {
	s.slots = map[ident.Adapter]*slot{}
	for _, a := range residents {
		s.slots[a] = &slot{state: slotResident, lastUsed: now}
	}
	return s.schedule(now)
}

// SetAuthority states whether load and unload commands may be given.
func (s *Scheduler) SetAuthority(now time.Time, canLoad bool) []Action {
	s.canLoad = canLoad
	return s.schedule(now)
}

// Leave stops the acceptance of new work. Queued work still runs.
func (s *Scheduler) Leave() { s.leaving = true }

// Submit queues an attempt.
func (s *Scheduler) Submit(now time.Time, w Work) []Action {
	if s.leaving {
		return []Action{{Kind: Refuse, ID: w.ID, Reason: fescuev1.NotRunReason_NOT_RUN_REASON_LEAVING}}
	}
	if len(s.queue) >= s.cfg.MaxQueued {
		return []Action{{Kind: Refuse, ID: w.ID, Reason: fescuev1.NotRunReason_NOT_RUN_REASON_QUEUE_FULL}}
	}
	s.queue = append(s.queue, &queued{work: w, since: now})
	return s.schedule(now)
}

// Revoke removes a queued attempt. It reports false if the attempt is not queued.
func (s *Scheduler) Revoke(now time.Time, id ident.AttemptID) ([]Action, bool) {
	for i, q := range s.queue {
		if q.work.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			refuse := Action{Kind: Refuse, ID: id, Reason: fescuev1.NotRunReason_NOT_RUN_REASON_REVOKED}
			return append([]Action{refuse}, s.schedule(now)...), true
		}
	}
	return nil, false
}

// RunDone ends a started attempt and unpins its adapter.
func (s *Scheduler) RunDone(now time.Time, id ident.AttemptID) []Action {
	a, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	if sl := s.slots[a]; sl != nil && sl.pins > 0 {
		sl.pins--
		sl.lastUsed = now
	}
	return s.schedule(now)
}

// PermitGranted allows the load of an adapter.
func (s *Scheduler) PermitGranted(now time.Time, a ident.Adapter) []Action {
	sl := s.slots[a]
	if sl == nil || sl.state != slotWanted || !s.canLoad {
		return []Action{{Kind: ReleasePermit, Adapter: a}}
	}
	sl.state = slotLoading
	if s.occupied() <= s.cfg.Slots {
		return []Action{{Kind: Load, Adapter: a}}
	}
	victim, ok := s.victim()
	if !ok {
		delete(s.slots, a)
		return append([]Action{{Kind: ReleasePermit, Adapter: a}}, s.schedule(now)...)
	}
	v := s.slots[victim]
	invariant.Check(v.pins == 0, invariant.ZeroPinsAtEviction, "evict %s with %d pins", victim, v.pins)
	v.state = slotUnloading
	return []Action{{Kind: Unload, Adapter: victim}}
}

// occupied counts the slots that hold or are getting an adapter.
func (s *Scheduler) occupied() int {
	n := 0
	for _, sl := range s.slots {
		if sl.state != slotWanted {
			n++
		}
	}
	return n
}

func (s *Scheduler) victim() (ident.Adapter, bool) {
	var best ident.Adapter
	var found bool
	for a, sl := range s.slots {
		if sl.state != slotResident || sl.pins > 0 {
			continue
		}
		if !found || sl.lastUsed.Before(s.slots[best].lastUsed) {
			best, found = a, true
		}
	}
	return best, found
}

// UnloadDone ends an unload command. On failure the adapter stays resident.
func (s *Scheduler) UnloadDone(now time.Time, a ident.Adapter, ok bool) []Action {
	if sl := s.slots[a]; sl != nil && sl.state == slotUnloading {
		if ok {
			delete(s.slots, a)
		} else {
			sl.state = slotResident
		}
	}
	var out []Action
	for b, sl := range s.slots {
		if sl.state != slotLoading || sl.pins < 0 {
			continue
		}
		if ok {
			out = append(out, Action{Kind: Load, Adapter: b})
			break
		}
	}
	return append(out, s.schedule(now)...)
}

// LoadDone marks an adapter as resident.
func (s *Scheduler) LoadDone(now time.Time, a ident.Adapter) []Action {
	sl := s.slots[a]
	if sl == nil {
		return nil
	}
	sl.state = slotResident
	sl.lastUsed = now
	return append([]Action{{Kind: ReleasePermit, Adapter: a}}, s.schedule(now)...)
}

// LoadFailed refuses all attempts that wait for the adapter.
func (s *Scheduler) LoadFailed(now time.Time, a ident.Adapter) []Action {
	delete(s.slots, a)
	out := []Action{{Kind: ReleasePermit, Adapter: a}}
	kept := s.queue[:0]
	for _, q := range s.queue {
		if q.work.Adapter != a {
			kept = append(kept, q)
			continue
		}
		out = append(out, Action{Kind: Refuse, ID: q.work.ID, Reason: fescuev1.NotRunReason_NOT_RUN_REASON_LOAD_FAILED})
	}
	s.queue = kept
	return append(out, s.schedule(now)...)
}

// Tick refuses attempts whose deadline has passed and repeats permit requests.
func (s *Scheduler) Tick(now time.Time) []Action {
	var out []Action
	kept := s.queue[:0]
	for _, q := range s.queue {
		if now.Before(q.work.Deadline) {
			kept = append(kept, q)
			continue
		}
		out = append(out, Action{Kind: Refuse, ID: q.work.ID, Reason: fescuev1.NotRunReason_NOT_RUN_REASON_DEADLINE})
	}
	s.queue = kept
	return append(out, s.schedule(now)...)
}

func (s *Scheduler) schedule(now time.Time) []Action {
	var out []Action
	kept := s.queue[:0]
	for _, q := range s.queue {
		switch {
		case len(s.running) >= s.cfg.Positions:
			kept = append(kept, q)
		case q.work.Adapter.IsZero():
			out = append(out, s.start(now, q))
		case s.resident(q.work.Adapter):
			out = append(out, s.start(now, q))
		case s.slots[q.work.Adapter] == nil && !s.canLoad:
			out = append(out, Action{Kind: Refuse, ID: q.work.ID, Reason: fescuev1.NotRunReason_NOT_RUN_REASON_NO_AUTHORITY})
		default:
			out = append(out, s.want(now, q)...)
			kept = append(kept, q)
		}
	}
	s.queue = kept
	return out
}

func (s *Scheduler) resident(a ident.Adapter) bool {
	sl := s.slots[a]
	return sl != nil && sl.state == slotResident
}

func (s *Scheduler) start(now time.Time, q *queued) Action {
	s.running[q.work.ID] = q.work.Adapter
	if sl := s.slots[q.work.Adapter]; sl != nil {
		sl.pins++
	}
	act := Action{Kind: Start, ID: q.work.ID, Adapter: q.work.Adapter}
	if q.stall {
		act.Stall = now.Sub(q.since)
	}
	return act
}

// want records that an adapter is needed and asks for a permit once.
func (s *Scheduler) want(now time.Time, q *queued) []Action {
	q.stall = true
	if s.slots[q.work.Adapter] != nil {
		return nil
	}
	s.slots[q.work.Adapter] = &slot{state: slotWanted}
	return []Action{{Kind: RequestPermit, Adapter: q.work.Adapter, Waiting: 1, Waited: now.Sub(q.since), Priority: q.work.Priority}}
}

// Stats is a summary for reports.
type Stats struct {
	Running   int
	Queued    int
	Residents []ident.Adapter
	Loading   []ident.Adapter
}

// Stats returns the current summary.
func (s *Scheduler) Stats() Stats {
	st := Stats{Running: len(s.running), Queued: len(s.queue)}
	for a, sl := range s.slots {
		if sl.state == slotResident {
			st.Residents = append(st.Residents, a)
		}
		if sl.state == slotWanted || sl.state == slotLoading {
			st.Loading = append(st.Loading, a)
		}
	}
	return st
}
