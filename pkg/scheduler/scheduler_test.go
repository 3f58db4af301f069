package scheduler

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/permits"
)

func TestMain(m *testing.M) {
	invariant.SetHandler(func(name invariant.Name, detail string) { panic(string(name) + ": " + detail) })
	os.Exit(m.Run())
}

// order is a load or unload command that the engine has not answered.
type order struct {
	act Action
	// stale orders were given before an engine restart.
	stale bool
}

// world is a simple engine with its clients. It is the oracle of the tests.
type world struct {
	t         *rapid.T
	s         *Scheduler
	cfg       Config
	now       time.Time
	authority bool
	left      bool
	next      int
	queued    map[ident.AttemptID]Work
	running   map[ident.AttemptID]Work
	ended     map[ident.AttemptID]bool
	resident  map[ident.Adapter]bool
	orders    []order
	asked     map[ident.Adapter]bool
	// coordinator answers the requests in order if it is set.
	coordinator *permits.Coordinator
	grants      []permits.Key
}

func newWorld(t *rapid.T) *world {
	cfg := Config{
		Slots:       rapid.IntRange(1, 4).Draw(t, "slots"),
		Positions:   rapid.IntRange(1, 6).Draw(t, "positions"),
		MaxQueued:   rapid.IntRange(1, 40).Draw(t, "maxQueued"),
		Floor:       rapid.IntRange(1, 16).Draw(t, "floor"),
		StallWeight: rapid.Float64Range(0, 1).Draw(t, "stallWeight"),
		BatchWeight: rapid.Float64Range(0, 1).Draw(t, "batchWeight"),
	}
	if rapid.Bool().Draw(t, "lru") {
		cfg.Evictor = LRU{}
	}
	return &world{
		t: t, s: New(cfg), cfg: cfg, now: time.Unix(1000, 0),
		queued: map[ident.AttemptID]Work{}, running: map[ident.AttemptID]Work{}, ended: map[ident.AttemptID]bool{},
		resident: map[ident.Adapter]bool{}, asked: map[ident.Adapter]bool{},
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
	w.running[a.ID] = work
	if len(w.running) > w.cfg.Positions {
		w.t.Fatalf("%d runs in %d positions", len(w.running), w.cfg.Positions)
	}
}

func (w *world) order(a Action) {
	if !w.authority {
		w.t.Fatalf("command without authority: %v", a)
	}
	used := len(w.resident)
	for _, o := range w.orders {
		if !o.stale && o.act.Kind == Load {
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
	w.orders = append(w.orders, order{act: a})
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
	if ok && !o.stale {
		if o.act.Kind == Load {
			w.resident[o.act.Adapter] = true
		} else {
			delete(w.resident, o.act.Adapter)
		}
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
	w.do(w.s.EngineRestarted(w.now, residents))
}

// serve lets a faultless world go on for one step: all commands succeed, one
// permit is granted and the runs end.
func (w *world) serve(step time.Duration) {
	for len(w.orders) > 0 {
		w.answer(0, true)
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

func sortedKeys[K comparable, V any](m map[K]V, compare func(a, b K) int) []K {
	return slices.SortedFunc(maps.Keys(m), compare)
}

var teams = []ident.Team{"a", "b", "c"}

func drawAdapter(t *rapid.T) ident.Adapter {
	if rapid.IntRange(0, 9).Draw(t, "plain") == 0 {
		return ident.Adapter{}
	}
	team := rapid.SampledFrom(teams).Draw(t, "adapterTeam")
	return ident.Adapter{Team: team, Name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "adapter")), Version: "1"}
}

func (w *world) drawWork(t *rapid.T) Work {
	a := drawAdapter(t)
	work := Work{
		Team:     a.Team,
		Adapter:  a,
		Priority: ident.Priority(rapid.IntRange(1, 3).Draw(t, "class")),
		Weight:   rapid.IntRange(1, 10).Draw(t, "weight"),
		Deadline: w.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "deadline")) * 100 * time.Millisecond),
	}
	if a.IsZero() {
		work.Team = rapid.SampledFrom(teams).Draw(t, "team")
	}
	return work
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  func(t *rapid.T) { w.submit(w.drawWork(t)) },
		"submit2": func(t *rapid.T) { w.submit(w.drawWork(t)) },
		"runDone": func(t *rapid.T) {
			if len(w.running) > 0 {
				w.runDone(rapid.SampledFrom(sortedKeys(w.running, compareIDs)).Draw(t, "run"))
			}
		},
		"answer": func(t *rapid.T) {
			if len(w.orders) > 0 {
				ok := rapid.IntRange(0, 3).Draw(t, "ok") > 0
				w.answer(rapid.IntRange(0, len(w.orders)-1).Draw(t, "order"), ok)
			}
		},
		"grant": func(t *rapid.T) {
			a := drawAdapter(t)
			if keys := sortedKeys(w.asked, compareAdapters); len(keys) > 0 && rapid.IntRange(0, 4).Draw(t, "asked") > 0 {
				a = rapid.SampledFrom(keys).Draw(t, "grant")
			}
			w.do(w.s.PermitGranted(w.now, a))
		},
		"permitLost":  func(t *rapid.T) { w.do(w.s.PermitLost(w.now, drawAdapter(t))) },
		"permitsLost": func(*rapid.T) { w.do(w.s.PermitsLost(w.now)) },
		"revoke": func(t *rapid.T) {
			if len(w.queued) == 0 {
				return
			}
			id := rapid.SampledFrom(sortedKeys(w.queued, compareIDs)).Draw(t, "revoke")
			out, ok := w.s.Revoke(w.now, id)
			w.do(out)
			if !ok || !w.ended[id] {
				t.Fatalf("queued attempt %v was not revoked", id)
			}
		},
		"authority": func(t *rapid.T) { w.setAuthority(rapid.IntRange(0, 2).Draw(t, "held") > 0) },
		"weights": func(t *rapid.T) {
			w.s.ApplyConfig(rapid.Float64Range(0, 1).Draw(t, "stall"), rapid.Float64Range(0, 1).Draw(t, "batch"))
		},
		"tick":  func(t *rapid.T) { w.tick(time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms")) * time.Millisecond) },
		"serve": func(*rapid.T) { w.serve(100 * time.Millisecond) },
		"restart": func(t *rapid.T) {
			n := rapid.IntRange(0, w.cfg.Slots).Draw(t, "residents")
			found := map[ident.Adapter]bool{}
			for range n {
				if a := drawAdapter(t); !a.IsZero() {
					found[a] = true
				}
			}
			w.restart(sortedKeys(found, compareAdapters))
		},
		"reconcile": func(*rapid.T) {
			before, _ := w.s.Quiet()
			w.do(w.s.Reconcile(w.now, before, sortedKeys(w.resident, compareAdapters)))
		},
	}
}

// Guards against evictions under a running request, loads beyond the slots,
// commands without authority or before the engine's state is known, effects of
// results from before a restart, second starts, work after leaving, and attempts
// that never end.
func TestSchedulerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		if rapid.IntRange(0, 3).Draw(t, "known") > 0 {
			w.restart(nil)
			w.setAuthority(true)
		}
		t.Repeat(w.actions())
		if rapid.Bool().Draw(t, "leave") {
			w.left = true
			w.s.Leave()
			w.submit(w.drawWork(t))
		}
		w.restart(nil)
		w.setAuthority(true)
		for step := 0; len(w.queued)+len(w.running) > 0; step++ {
			if step == 2000 {
				t.Fatalf("%d attempts queued and %d running long after the last fault", len(w.queued), len(w.running))
			}
			w.serve(20 * time.Millisecond)
		}
		if len(w.ended) != w.next {
			t.Fatalf("%d of %d attempts ended", len(w.ended), w.next)
		}
	})
}

// Guards against a team of the lowest class that is never served beside a team
// that fills all positions and slots with work of the highest class, whether or
// not the coordinator answers.
func TestNoTeamStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.cfg.MaxQueued = 200
		w.s = New(w.cfg)
		w.coordinator = permits.New(permits.Config{MaxConcurrent: 1, GrantTTL: 10 * time.Second})
		silent := rapid.Bool().Draw(t, "silentCoordinator")
		w.restart(nil)
		w.setAuthority(true)
		hot := rapid.OneOf(rapid.IntRange(1, 8), rapid.Just(150)).Draw(t, "hotAdapters")
		small := Work{Team: "b", Adapter: ident.Adapter{Team: "b", Name: "x", Version: "1"}, Priority: ident.PriorityBatch, Weight: 1, Deadline: w.now.Add(time.Hour)}
		var id ident.AttemptID
		for step := range 1300 {
			for i := range 2 * w.cfg.Positions {
				a := ident.Adapter{Team: "a", Name: fmt.Sprint((step*2*w.cfg.Positions + i) % hot), Version: "1"}
				w.submit(Work{Team: "a", Adapter: a, Priority: ident.PriorityHigh, Weight: 10, Deadline: w.now.Add(time.Hour)})
			}
			if step == 100 {
				w.submit(small)
				id = ident.AttemptID{Request: ident.RequestID(fmt.Sprintf("%06d", w.next)), Attempt: 1}
			}
			if silent {
				w.grants = nil
			}
			w.serve(100 * time.Millisecond)
			if step > 100 && w.ended[id] {
				return
			}
		}
		t.Fatalf("the attempt of the small team has waited for 120 s")
	})
}

// Guards against an evictor that gives up the adapter that is needed most, and
// shows the difference to plain LRU.
func TestEvictors(t *testing.T) {
	at := time.Unix(1000, 0)
	frequent := Resident{Adapter: ident.Adapter{Team: "a", Name: "frequent"}, LastUsed: at, Rate: 50, LoadTime: time.Second}
	once := Resident{Adapter: ident.Adapter{Team: "a", Name: "once"}, LastUsed: at.Add(time.Second), Rate: 1, LoadTime: time.Second}
	if !(LowestReloadCost{}).Less(once, frequent) || !(LRU{}).Less(frequent, once) {
		t.Fatal("wrong order of evictions")
	}
}
