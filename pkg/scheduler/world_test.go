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
	// stale commands were sent before an engine restart.
	stale bool
	// lost commands get no reply and may take effect until their deadline.
	lost bool
}

// simulation is a simple model of the engine, its clients and the coordinator. It is
// the oracle against which the scheduler is checked.
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
	// foreign holds the runs of another process that uses the same engine.
	foreign     map[EngineRun]bool
	foreignRuns int
	// pinned holds the foreign runs that the scheduler has been told of.
	pinned map[EngineRun]bool
	use    AdapterUse
	// reading is a state read from the engine that the scheduler has not received
	// yet.
	reading *EngineState
	// coordinator, if set, answers the permit requests in order.
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

// do applies the decisions of the scheduler and checks each of them against the
// model.
func (sim *simulation) do(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Start:
			sim.start(a)
		case Refuse:
			sim.end(a.ID)
		case Load, Unload:
			sim.command(a)
		case RequestPermit:
			sim.requested[a.Adapter] = true
			sim.request(a)
		case ReleasePermit:
			delete(sim.requested, a.Adapter)
			sim.release(a)
		}
	}
	if st := sim.s.Stats(); st.Running != len(sim.running) || st.Queued != len(sim.queued) {
		sim.t.Fatalf("scheduler has %d running and %d queued, oracle %d and %d", st.Running, st.Queued, len(sim.running), len(sim.queued))
	}
}

func (sim *simulation) request(a Action) {
	if sim.coordinator != nil {
		r := permits.Request{Key: permits.Key{Endpoint: "e", Adapter: a.Adapter}, Waiting: a.Waiting, Waited: a.Waited, Weight: 1, Priority: a.Priority, Loading: a.Loading}
		sim.grants = append(sim.grants, sim.coordinator.Request(sim.now, r)...)
	}
}

func (sim *simulation) release(a Action) {
	if sim.coordinator != nil {
		sim.grants = append(sim.grants, sim.coordinator.Release(sim.now, permits.Key{Endpoint: "e", Adapter: a.Adapter})...)
	}
}

func (sim *simulation) end(id ident.AttemptID) {
	if _, ok := sim.queued[id]; !ok || sim.ended[id] {
		sim.t.Fatalf("attempt %v ends twice or was never queued", id)
	}
	delete(sim.queued, id)
	sim.ended[id] = true
}

func (sim *simulation) start(a Action) {
	work := sim.queued[a.ID]
	sim.end(a.ID)
	if work.Adapter != a.Adapter || (!a.Adapter.IsZero() && !sim.resident[a.Adapter]) {
		sim.t.Fatalf("start of %v with %v, resident %v", work, a.Adapter, sim.resident[a.Adapter])
	}
	if !a.Adapter.IsZero() && sim.use != AdaptersUsable {
		sim.t.Fatalf("start of %v with adapter use %v", work, sim.use)
	}
	sim.running[a.ID] = work
	if n := len(sim.running) + len(sim.pinned); n > sim.cfg.Positions {
		sim.t.Fatalf("%d runs in %d positions", n, sim.cfg.Positions)
	}
}

func (sim *simulation) command(a Action) {
	if !sim.authority || sim.use != AdaptersUsable {
		sim.t.Fatalf("command without authority: %v", a)
	}
	used := len(sim.resident)
	for _, o := range sim.commands {
		if !o.stale && o.act.Kind == Load && (!o.lost || sim.now.Before(o.act.Deadline)) {
			used++
		}
	}
	if a.Kind == Load && used >= sim.cfg.Slots {
		sim.t.Fatalf("load of %v with %d of %d slots used", a.Adapter, used, sim.cfg.Slots)
	}
	for id, r := range sim.running {
		if a.Kind == Unload && r.Adapter == a.Adapter {
			sim.t.Fatalf("unload of %v while %v runs", a.Adapter, id)
		}
	}
	sim.checkForeign(a)
	sim.commands = append(sim.commands, command{act: a})
}

func (sim *simulation) checkForeign(a Action) {
	for r := range sim.pinned {
		if a.Kind == Unload && r.Adapter == a.Adapter {
			sim.t.Fatalf("unload of %v while the foreign run %v uses it", a.Adapter, r.Request)
		}
	}
}

func (sim *simulation) submit(work Work) {
	sim.next++
	work.ID = ident.AttemptID{Request: ident.RequestID(fmt.Sprintf("%06d", sim.next)), Attempt: 1}
	sim.queued[work.ID] = work
	sim.do(sim.s.Submit(sim.now, work))
	if sim.left && !sim.ended[work.ID] {
		sim.t.Fatalf("attempt %v accepted after Leave", work.ID)
	}
}

// answer ends one command with success or failure. The results of stale commands
// must have no effect on the scheduler.
func (sim *simulation) answer(i int, ok bool) {
	o := sim.commands[i]
	sim.commands = slices.Delete(sim.commands, i, i+1)
	if o.lost {
		if ok {
			sim.takeEffect(o)
		}
		return
	}
	if ok && !o.stale {
		ok = sim.takeEffect(o)
	}
	var out []Action
	switch {
	case o.act.Kind == Unload:
		out = sim.s.UnloadDone(sim.now, o.act.Adapter, o.act.Command, ok)
	case ok:
		out = sim.s.LoadDone(sim.now, o.act.Adapter, o.act.Command)
	default:
		out = sim.s.LoadFailed(sim.now, o.act.Adapter, o.act.Command)
	}
	if o.stale && len(out) > 0 {
		sim.t.Fatalf("result of a command from before a restart caused %v", out)
	}
	sim.do(out)
}

// takeEffect lets the engine carry out a command and reports whether it succeeded. A
// lost unload command may reach the engine after its restart.
func (sim *simulation) takeEffect(o command) bool {
	a := o.act.Adapter
	switch {
	case o.lost && !sim.now.Before(o.act.Deadline):
		return false
	case o.act.Kind == Load && !o.stale:
		if !sim.resident[a] && len(sim.resident) >= sim.cfg.Slots {
			return false
		}
		sim.resident[a] = true
	case o.act.Kind == Unload:
		if !sim.resident[a] {
			// The engine reports that the adapter is not resident.
			return false
		}
		for id, r := range sim.running {
			if r.Adapter == a {
				sim.t.Fatalf("late unload of %v evicts it while %v runs", a, id)
			}
		}
		delete(sim.resident, a)
	}
	return true
}

// loseReply drops the reply to a command. If first is true, the command takes effect
// before the scheduler learns of the loss; otherwise it may take effect later.
func (sim *simulation) loseReply(i int, first bool) {
	o := sim.commands[i]
	if o.lost {
		return
	}
	sim.commands[i].lost = true
	if first && !o.stale {
		sim.takeEffect(o)
		sim.commands = slices.Delete(sim.commands, i, i+1)
	}
	out := sim.s.CommandOutcomeUnknown(sim.now, o.act.Adapter, o.act.Command)
	if o.stale && len(out) > 0 {
		sim.t.Fatalf("loss of a command from before a restart caused %v", out)
	}
	sim.do(out)
}

// read returns the current state of the engine.
func (sim *simulation) read() EngineState {
	es := EngineState{RequestedAt: sim.now, Revision: sim.s.Revision(), Residents: sortedKeys(sim.resident, compareAdapters)}
	for run := range sim.foreign {
		es.Running = append(es.Running, run)
	}
	for id, work := range sim.running {
		es.Running = append(es.Running, EngineRun{Request: id.Request, Adapter: work.Adapter})
	}
	return es
}

// deliver passes an engine state to the scheduler. States are delivered in the order
// in which they were read.
func (sim *simulation) deliver(es EngineState) {
	sim.reading = nil
	sim.pinned = map[EngineRun]bool{}
	for _, run := range es.Running {
		if run.Request[0] == 'f' {
			sim.pinned[run] = true
		}
	}
	sim.do(sim.s.ApplyEngineState(sim.now, es))
	if n := sim.s.Stats().Foreign; n != len(sim.pinned) {
		sim.t.Fatalf("scheduler has %d foreign runs, oracle %d", n, len(sim.pinned))
	}
}

// supersede lets another process change the adapters of the engine and start runs,
// while the scheduler may not rely on the adapters.
func (sim *simulation) supersede(t *rapid.T) {
	if !sim.known {
		return
	}
	sim.setUse(AdaptersRefused)
	for _, a := range sortedKeys(sim.resident, compareAdapters) {
		if sim.inUse(a) || rapid.Bool().Draw(t, "keep") {
			continue
		}
		delete(sim.resident, a)
	}
	for range rapid.IntRange(0, 2).Draw(t, "foreignRuns") {
		a := drawAdapter(t)
		if !a.IsZero() && !sim.resident[a] && len(sim.resident) < sim.cfg.Slots {
			sim.resident[a] = true
		}
		if a.IsZero() || sim.resident[a] {
			sim.next++
			sim.ended[ident.AttemptID{Request: ident.RequestID(fmt.Sprint("f", sim.next))}] = true
			sim.foreignRuns++
			sim.foreign[EngineRun{Request: ident.RequestID(fmt.Sprintf("f%06d", sim.foreignRuns)), Adapter: a}] = true
		}
	}
}

func (sim *simulation) inUse(a ident.Adapter) bool {
	for _, r := range sim.running {
		if r.Adapter == a {
			return true
		}
	}
	for r := range sim.foreign {
		if r.Adapter == a {
			return true
		}
	}
	return false
}

// settle ends the time in which another process may change the engine, and makes the
// adapters usable again.
func (sim *simulation) settle() {
	if !sim.known {
		return
	}
	if sim.use == AdaptersRefused {
		sim.setUse(AdaptersHeld)
	}
	sim.deliver(sim.read())
	sim.setUse(AdaptersUsable)
}

func (sim *simulation) setUse(use AdapterUse) {
	sim.use = use
	sim.do(sim.s.SetAdapterUse(sim.now, use))
}

func (sim *simulation) runDone(id ident.AttemptID) {
	delete(sim.running, id)
	sim.do(sim.s.RunDone(sim.now, id))
}

func (sim *simulation) tick(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.do(sim.s.Tick(sim.now))
}

func (sim *simulation) setAuthority(ok bool) {
	sim.authority = ok
	sim.do(sim.s.SetAuthority(sim.now, ok))
}

func (sim *simulation) restart(residents []ident.Adapter) {
	for i := range sim.commands {
		sim.commands[i].stale = true
	}
	sim.resident = map[ident.Adapter]bool{}
	for _, a := range residents {
		sim.resident[a] = true
	}
	sim.foreign, sim.pinned = map[EngineRun]bool{}, map[EngineRun]bool{}
	sim.reading = nil
	sim.known = true
	sim.do(sim.s.EngineRestarted(sim.now, sim.read()))
}

// serve advances the simulation by one step without faults: all commands with a
// reply succeed, permits are granted (without a coordinator, one per step) and all
// runs end.
func (sim *simulation) serve(step time.Duration) {
	for {
		i := slices.IndexFunc(sim.commands, func(o command) bool { return !o.lost })
		if i < 0 {
			break
		}
		sim.answer(i, true)
	}
	sim.foreign = map[EngineRun]bool{}
	if sim.known {
		sim.deliver(sim.read())
	}
	if sim.coordinator == nil {
		for _, a := range sortedKeys(sim.requested, compareAdapters) {
			sim.do(sim.s.PermitGranted(sim.now, a))
			break
		}
	}
	grants := sim.grants
	sim.grants = nil
	for _, k := range grants {
		sim.do(sim.s.PermitGranted(sim.now, k.Adapter))
	}
	for _, id := range sortedKeys(sim.running, compareIDs) {
		sim.runDone(id)
	}
	sim.tick(step)
}
