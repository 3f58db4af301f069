package scheduler

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/permits"
)

// order is a load or unload command that the engine has not answered.
type order struct {
	act Action
	// stale orders were given before an engine restart.
	stale bool
	// lost orders have no reply and may take effect until their deadline.
	lost bool
}

// world is a simple engine with its clients. It is the oracle of the tests.
type world struct {
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
	orders    []order
	asked     map[ident.Adapter]bool
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

func newWorld(t *rapid.T) *world {
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
	return &world{
		t: t, s: New(cfg), cfg: cfg, now: time.Unix(1000, 0),
		queued: map[ident.AttemptID]Work{}, running: map[ident.AttemptID]Work{}, ended: map[ident.AttemptID]bool{},
		resident: map[ident.Adapter]bool{}, asked: map[ident.Adapter]bool{}, foreign: map[EngineRun]bool{}, pinned: map[EngineRun]bool{},
	}
}

// do applies decisions and checks each against the state of the oracle.
func (w *world) do(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Start:
			w.start(a)
		case Refuse:
			w.end(a.ID)
		case Load, Unload:
			w.order(a)
		case RequestPermit:
			w.asked[a.Adapter] = true
			w.request(a)
		case ReleasePermit:
			delete(w.asked, a.Adapter)
			w.release(a)
		}
	}
	if st := w.s.Stats(); st.Running != len(w.running) || st.Queued != len(w.queued) {
		w.t.Fatalf("scheduler has %d running and %d queued, oracle %d and %d", st.Running, st.Queued, len(w.running), len(w.queued))
	}
}

func (w *world) request(a Action) {
	if w.coordinator != nil {
		r := permits.Request{Key: permits.Key{Endpoint: "e", Adapter: a.Adapter}, Waiting: a.Waiting, Waited: a.Waited, Weight: 1, Priority: a.Priority, Loading: a.Loading}
		w.grants = append(w.grants, w.coordinator.Request(w.now, r)...)
	}
}

func (w *world) release(a Action) {
	if w.coordinator != nil {
		w.grants = append(w.grants, w.coordinator.Release(w.now, permits.Key{Endpoint: "e", Adapter: a.Adapter})...)
	}
}

func (w *world) end(id ident.AttemptID) {
	if _, ok := w.queued[id]; !ok || w.ended[id] {
		w.t.Fatalf("attempt %v ends twice or was never queued", id)
	}
	delete(w.queued, id)
	w.ended[id] = true
}

func (w *world) start(a Action) {
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

func (w *world) order(a Action) {
	if !w.authority || w.use != AdaptersUsable {
		w.t.Fatalf("command without authority: %v", a)
	}
	used := len(w.resident)
	for _, o := range w.orders {
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
	w.orders = append(w.orders, order{act: a})
}

func (w *world) checkForeign(a Action) {
	for r := range w.pinned {
		if a.Kind == Unload && r.Adapter == a.Adapter {
			w.t.Fatalf("unload of %v while the foreign run %v uses it", a.Adapter, r.Request)
		}
	}
}

func (w *world) submit(work Work) {
	w.next++
	work.ID = ident.AttemptID{Request: ident.RequestID(fmt.Sprintf("%06d", w.next)), Attempt: 1}
	w.queued[work.ID] = work
	w.do(w.s.Submit(w.now, work))
	if w.left && !w.ended[work.ID] {
		w.t.Fatalf("attempt %v accepted after leaving", work.ID)
	}
}

// answer ends one command. The results of stale commands must change nothing.
func (w *world) answer(i int, ok bool) {
	o := w.orders[i]
	w.orders = slices.Delete(w.orders, i, i+1)
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
func (w *world) takeEffect(o order) bool {
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

// lose drops the reply of a command, which may take effect before or after.
func (w *world) lose(i int, first bool) {
	o := w.orders[i]
	if o.lost {
		return
	}
	w.orders[i].lost = true
	if first && !o.stale {
		w.takeEffect(o)
		w.orders = slices.Delete(w.orders, i, i+1)
	}
	out := w.s.CommandOutcomeUnknown(w.now, o.act.Adapter, o.act.Command)
	if o.stale && len(out) > 0 {
		w.t.Fatalf("loss of a command from before a restart caused %v", out)
	}
	w.do(out)
}

// read begins a reading of the engine's state and takes it at once.
func (w *world) read() EngineState {
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
func (w *world) deliver(r EngineState) {
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
func (w *world) supersede(t *rapid.T) {
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

func (w *world) inUse(a ident.Adapter) bool {
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
func (w *world) settle() {
	if !w.known {
		return
	}
	if w.use == AdaptersRefused {
		w.setUse(AdaptersHeld)
	}
	w.deliver(w.read())
	w.setUse(AdaptersUsable)
}

func (w *world) setUse(use AdapterUse) {
	w.use = use
	w.do(w.s.SetAdapterUse(w.now, use))
}

func (w *world) runDone(id ident.AttemptID) {
	delete(w.running, id)
	w.do(w.s.RunDone(w.now, id))
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	w.do(w.s.Tick(w.now))
}

func (w *world) setAuthority(ok bool) {
	w.authority = ok
	w.do(w.s.SetAuthority(w.now, ok))
}

func (w *world) restart(residents []ident.Adapter) {
	for i := range w.orders {
		w.orders[i].stale = true
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
func (w *world) serve(step time.Duration) {
	for {
		i := slices.IndexFunc(w.orders, func(o order) bool { return !o.lost })
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
		for _, a := range sortedKeys(w.asked, compareAdapters) {
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
