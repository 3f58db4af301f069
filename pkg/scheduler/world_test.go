package scheduler

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/permits"
)

// command is a load or unload command that the engine has not answered.
type command struct {
	act Action
	// stale orders were given before an engine restart.
	stale bool
	// lost orders have no reply and may take effect until their deadline.
	lost bool
}

// simulation is a simple engine with its clients. It is the oracle of the tests.
type simulation struct {
	t         *rapid.T
	s         *Scheduler
	cfg       Config
	now       time.Time
	authority bool
	left      bool
	known     bool
	next      int
	queued    map[ident.AttemptID]Work
	running   map[ident.AttemptID]Work
	ended     map[ident.AttemptID]bool
	resident  map[ident.Adapter]bool
	commands  []command
	requested map[ident.Adapter]bool
	// foreign are the runs of another process that shares the engine.
	foreign     map[EngineRun]bool
	foreignRuns int
	// pinned are the foreign runs that the scheduler has been told of.
	pinned map[EngineRun]bool
	use    AdapterUse
	// reading is a reading of the engine's state that has not arrived.
	reading *EngineState
	// coordinator answers the requests in order if it is set.
	coordinator *permits.Coordinator
	grants      []permits.Key
}

func newSimulation(t *rapid.T) *simulation {
	cfg := Config{
		Slots:          rapid.IntRange(1, 4).Draw(t, "slots"),
		Positions:      rapid.IntRange(1, 6).Draw(t, "positions"),
		MaxQueued:      rapid.IntRange(1, 40).Draw(t, "maxQueued"),
		FairnessWindow: rapid.IntRange(1, 16).Draw(t, "floor"),
		StallWeight:    rapid.Float64Range(0, 1).Draw(t, "stallWeight"),
		BatchWeight:    rapid.Float64Range(0, 1).Draw(t, "batchWeight"),
	}
	if rapid.Bool().Draw(t, "lru") {
		cfg.Evictor = LRU{}
	}
	return &simulation{
		t: t, s: New(cfg), cfg: cfg, now: time.Unix(1000, 0),
		queued: map[ident.AttemptID]Work{}, running: map[ident.AttemptID]Work{}, ended: map[ident.AttemptID]bool{},
		resident: map[ident.Adapter]bool{}, requested: map[ident.Adapter]bool{}, foreign: map[EngineRun]bool{}, pinned: map[EngineRun]bool{},
	}
}

// do applies decisions and checks each against the state of the oracle.
func (w *simulation) do(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Start:
			w.start(a)
		case Refuse:
			w.end(a.ID)
		case Load, Unload:
			w.command(a)
		case RequestPermit:
			w.requested[a.Adapter] = true
			w.request(a)
		case ReleasePermit:
			delete(w.requested, a.Adapter)
			w.release(a)
		}
	}
	if st := w.s.Stats(); st.Running != len(w.running) || st.Queued != len(w.queued) {
		w.t.Fatalf("scheduler has %d running and %d queued, oracle %d and %d", st.Running, st.Queued, len(w.running), len(w.queued))
	}
}

func (w *simulation) request(a Action) {
	if w.coordinator != nil {
		r := permits.Request{Key: permits.Key{Endpoint: "e", Adapter: a.Adapter}, Waiting: a.Waiting, Waited: a.Waited, Weight: 1, Priority: a.Priority, Loading: a.Loading}
		w.grants = append(w.grants, w.coordinator.Request(w.now, r)...)
	}
}

func (w *simulation) release(a Action) {
	if w.coordinator != nil {
		w.grants = append(w.grants, w.coordinator.Release(w.now, permits.Key{Endpoint: "e", Adapter: a.Adapter})...)
	}
}

func (w *simulation) end(id ident.AttemptID) {
	if _, ok := w.queued[id]; !ok || w.ended[id] {
		w.t.Fatalf("attempt %v ends twice or was never queued", id)
	}
	delete(w.queued, id)
	w.ended[id] = true
}

func (w *simulation) start(a Action) {
	work := w.queued[a.ID]
	w.end(a.ID)
	if work.Adapter != a.Adapter || (!a.Adapter.IsZero() && !w.resident[a.Adapter]) {
		w.t.Fatalf("start of %v with %v, resident %v", work, a.Adapter, w.resident[a.Adapter])
	}
	if !a.Adapter.IsZero() && w.use != AdaptersUsable {
		w.t.Fatalf("start of %v with adapter use %v", work, w.use)
	}
	w.running[a.ID] = work
	if n := len(w.running) + len(w.pinned); n > w.cfg.Positions {
		w.t.Fatalf("%d runs in %d positions", n, w.cfg.Positions)
	}
}

func (w *simulation) command(a Action) {
	if !w.authority || w.use != AdaptersUsable {
		w.t.Fatalf("command without authority: %v", a)
	}
	used := len(w.resident)
	for _, o := range w.commands {
		if !o.stale && o.act.Kind == Load && (!o.lost || w.now.Before(o.act.Deadline)) {
			used++
		}
	}
	if a.Kind == Load && used >= w.cfg.Slots {
		w.t.Fatalf("load of %v with %d of %d slots used", a.Adapter, used, w.cfg.Slots)
	}
	for id, r := range w.running {
		if a.Kind == Unload && r.Adapter == a.Adapter {
			w.t.Fatalf("unload of %v while %v runs", a.Adapter, id)
		}
	}
	w.checkForeign(a)
	w.commands = append(w.commands, command{act: a})
}

func (w *simulation) checkForeign(a Action) {
	for r := range w.pinned {
		if a.Kind == Unload && r.Adapter == a.Adapter {
			w.t.Fatalf("unload of %v while the foreign run %v uses it", a.Adapter, r.Request)
		}
	}
}

func (w *simulation) submit(work Work) {
	w.next++
	work.ID = ident.AttemptID{Request: ident.RequestID(fmt.Sprintf("%06d", w.next)), Attempt: 1}
	w.queued[work.ID] = work
	w.do(w.s.Submit(w.now, work))
	if w.left && !w.ended[work.ID] {
		w.t.Fatalf("attempt %v accepted after leaving", work.ID)
	}
}

// answer ends one command. The results of stale commands must change nothing.
func (w *simulation) answer(i int, ok bool) {
	o := w.commands[i]
	w.commands = slices.Delete(w.commands, i, i+1)
	if o.lost {
		if ok {
			w.takeEffect(o)
		}
		return
	}
	if ok && !o.stale {
		ok = w.takeEffect(o)
	}
	var out []Action
	switch {
	case o.act.Kind == Unload:
		out = w.s.UnloadDone(w.now, o.act.Adapter, o.act.Command, ok)
	case ok:
		out = w.s.LoadDone(w.now, o.act.Adapter, o.act.Command)
	default:
		out = w.s.LoadFailed(w.now, o.act.Adapter, o.act.Command)
	}
	if o.stale && len(out) > 0 {
		w.t.Fatalf("result of a command from before a restart caused %v", out)
	}
	w.do(out)
}

// takeEffect lets the engine carry out a command. A lost unload may reach the
// engine after its restart.
func (w *simulation) takeEffect(o command) bool {
	a := o.act.Adapter
	switch {
	case o.lost && !w.now.Before(o.act.Deadline):
		return false
	case o.act.Kind == Load && !o.stale:
		if !w.resident[a] && len(w.resident) >= w.cfg.Slots {
			return false
		}
		w.resident[a] = true
	case o.act.Kind == Unload:
		if !w.resident[a] {
			// The engine answers that the adapter is not resident.
			return false
		}
		for id, r := range w.running {
			if r.Adapter == a {
				w.t.Fatalf("late unload of %v evicts it under %v", a, id)
			}
		}
		delete(w.resident, a)
	}
	return true
}

// loseReply drops the reply of a command, which may take effect before or after.
func (w *simulation) loseReply(i int, first bool) {
	o := w.commands[i]
	if o.lost {
		return
	}
	w.commands[i].lost = true
	if first && !o.stale {
		w.takeEffect(o)
		w.commands = slices.Delete(w.commands, i, i+1)
	}
	out := w.s.CommandOutcomeUnknown(w.now, o.act.Adapter, o.act.Command)
	if o.stale && len(out) > 0 {
		w.t.Fatalf("loss of a command from before a restart caused %v", out)
	}
	w.do(out)
}

// read begins a reading of the engine's state and takes it at once.
func (w *simulation) read() EngineState {
	r := EngineState{RequestedAt: w.now, Revision: w.s.Revision(), Residents: sortedKeys(w.resident, compareAdapters)}
	for run := range w.foreign {
		r.Running = append(r.Running, run)
	}
	for id, work := range w.running {
		r.Running = append(r.Running, EngineRun{Request: id.Request, Adapter: work.Adapter})
	}
	return r
}

// deliver hands a reading to the scheduler. Readings never overtake each other.
func (w *simulation) deliver(r EngineState) {
	w.reading = nil
	w.pinned = map[EngineRun]bool{}
	for _, run := range r.Running {
		if run.Request[0] == 'f' {
			w.pinned[run] = true
		}
	}
	w.do(w.s.ApplyEngineState(w.now, r))
	if n := w.s.Stats().Foreign; n != len(w.pinned) {
		w.t.Fatalf("scheduler has %d foreign runs, oracle %d", n, len(w.pinned))
	}
}

// supersede lets another process change the engine while the scheduler may not
// rely on its adapters.
func (w *simulation) supersede(t *rapid.T) {
	if !w.known {
		return
	}
	w.setUse(AdaptersRefused)
	for _, a := range sortedKeys(w.resident, compareAdapters) {
		if w.inUse(a) || rapid.Bool().Draw(t, "keep") {
			continue
		}
		delete(w.resident, a)
	}
	for range rapid.IntRange(0, 2).Draw(t, "foreignRuns") {
		a := drawAdapter(t)
		if !a.IsZero() && !w.resident[a] && len(w.resident) < w.cfg.Slots {
			w.resident[a] = true
		}
		if a.IsZero() || w.resident[a] {
			w.next++
			w.ended[ident.AttemptID{Request: ident.RequestID(fmt.Sprint("f", w.next))}] = true
			w.foreignRuns++
			w.foreign[EngineRun{Request: ident.RequestID(fmt.Sprintf("f%06d", w.foreignRuns)), Adapter: a}] = true
		}
	}
}

func (w *simulation) inUse(a ident.Adapter) bool {
	for _, r := range w.running {
		if r.Adapter == a {
			return true
		}
	}
	for r := range w.foreign {
		if r.Adapter == a {
			return true
		}
	}
	return false
}

// settle ends the time in which another process may change the engine.
func (w *simulation) settle() {
	if !w.known {
		return
	}
	if w.use == AdaptersRefused {
		w.setUse(AdaptersHeld)
	}
	w.deliver(w.read())
	w.setUse(AdaptersUsable)
}

func (w *simulation) setUse(use AdapterUse) {
	w.use = use
	w.do(w.s.SetAdapterUse(w.now, use))
}

func (w *simulation) runDone(id ident.AttemptID) {
	delete(w.running, id)
	w.do(w.s.RunDone(w.now, id))
}

func (w *simulation) tick(d time.Duration) {
	w.now = w.now.Add(d)
	w.do(w.s.Tick(w.now))
}

func (w *simulation) setAuthority(ok bool) {
	w.authority = ok
	w.do(w.s.SetAuthority(w.now, ok))
}

func (w *simulation) restart(residents []ident.Adapter) {
	for i := range w.commands {
		w.commands[i].stale = true
	}
	w.resident = map[ident.Adapter]bool{}
	for _, a := range residents {
		w.resident[a] = true
	}
	w.foreign, w.pinned = map[EngineRun]bool{}, map[EngineRun]bool{}
	w.reading = nil
	w.known = true
	w.do(w.s.EngineRestarted(w.now, w.read()))
}

// serve lets a faultless world go on for one step: all commands succeed whose
// reply is not lost, one permit is granted and the runs end.
func (w *simulation) serve(step time.Duration) {
	for {
		i := slices.IndexFunc(w.commands, func(o command) bool { return !o.lost })
		if i < 0 {
			break
		}
		w.answer(i, true)
	}
	w.foreign = map[EngineRun]bool{}
	if w.known {
		w.deliver(w.read())
	}
	if w.coordinator == nil {
		for _, a := range sortedKeys(w.requested, compareAdapters) {
			w.do(w.s.PermitGranted(w.now, a))
			break
		}
	}
	grants := w.grants
	w.grants = nil
	for _, k := range grants {
		w.do(w.s.PermitGranted(w.now, k.Adapter))
	}
	for _, id := range sortedKeys(w.running, compareIDs) {
		w.runDone(id)
	}
	w.tick(step)
}
