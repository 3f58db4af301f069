package scheduler

import (
	"cmp"
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

func sortedKeys[K comparable, V any](m map[K]V, compare func(a, b K) int) []K {
	return slices.SortedFunc(maps.Keys(m), compare)
}

func compareRuns(a, b EngineRun) int { return cmp.Compare(a.Request, b.Request) }

var teams = []ident.Team{"a", "b", "c"}

func drawAdapter(t *rapid.T) ident.Adapter {
	if rapid.IntRange(0, 9).Draw(t, "plain") == 0 {
		return ident.Adapter{}
	}
	if rapid.IntRange(0, 3).Draw(t, "few") > 0 {
		return ident.Adapter{Team: "a", Name: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "adapter")), Version: "1"}
	}
	team := rapid.SampledFrom(teams).Draw(t, "adapterTeam")
	return ident.Adapter{Team: team, Name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "adapter")), Version: "1"}
}

func (w *simulation) drawWork(t *rapid.T) Work {
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

func (w *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  func(t *rapid.T) { w.submit(w.drawWork(t)) },
		"submit2": func(t *rapid.T) { w.submit(w.drawWork(t)) },
		"runDone": func(t *rapid.T) {
			if len(w.running) > 0 {
				w.runDone(rapid.SampledFrom(sortedKeys(w.running, compareIDs)).Draw(t, "run"))
			}
		},
		"grantAll": func(t *rapid.T) {
			for _, a := range sortedKeys(w.requested, compareAdapters) {
				w.do(w.s.PermitGranted(w.now, a))
			}
		},
		"answer": func(t *rapid.T) {
			if len(w.commands) > 0 {
				ok := rapid.IntRange(0, 3).Draw(t, "ok") > 0
				w.answer(rapid.IntRange(0, len(w.commands)-1).Draw(t, "order"), ok)
			}
		},
		"grant": func(t *rapid.T) {
			a := drawAdapter(t)
			if keys := sortedKeys(w.requested, compareAdapters); len(keys) > 0 && rapid.IntRange(0, 4).Draw(t, "asked") > 0 {
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
		"lose": func(t *rapid.T) {
			if len(w.commands) > 0 {
				w.loseReply(rapid.IntRange(0, len(w.commands)-1).Draw(t, "order"), rapid.Bool().Draw(t, "first"))
			}
		},
		"read": func(*rapid.T) {
			if w.reading == nil {
				r := w.read()
				w.reading = &r
			}
		},
		"readNow": func(*rapid.T) {
			if w.known {
				w.deliver(w.read())
			}
		},
		"late": func(*rapid.T) {
			if i := slices.IndexFunc(w.commands, func(o command) bool { return o.lost }); i >= 0 {
				w.answer(i, true)
			}
		},
		"readDone": func(*rapid.T) {
			if r := w.reading; r != nil && w.known {
				w.deliver(*r)
			}
		},
		"foreignDone": func(t *rapid.T) {
			if len(w.foreign) > 0 {
				delete(w.foreign, rapid.SampledFrom(sortedKeys(w.foreign, compareRuns)).Draw(t, "foreign"))
			}
		},
		"supersede": w.supersede,
		"settle":    func(*rapid.T) { w.settle() },
	}
}

// Guards against evictions under a running request of this or another process,
// also by a command whose reply was lost, against starts on adapters that another
// process may evict, loads beyond the slots, commands without authority or before the engine's state is known, effects of
// results from before a restart, second starts, work after leaving, and attempts
// that never end.
func TestSchedulerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		if rapid.IntRange(0, 3).Draw(t, "known") > 0 {
			w.restart(nil)
			w.setAuthority(true)
			w.settle()
		}
		for range 8 {
			t.Repeat(w.actions())
		}
		if rapid.Bool().Draw(t, "leave") {
			w.left = true
			w.s.Leave()
			w.submit(w.drawWork(t))
		}
		w.restart(nil)
		w.setAuthority(true)
		w.settle()
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
		w := newSimulation(t)
		w.cfg.MaxQueued = 200
		w.s = New(w.cfg)
		w.coordinator = permits.New(permits.Config{MaxConcurrent: 1, GrantTTL: 10 * time.Second})
		silent := rapid.Bool().Draw(t, "silentCoordinator")
		w.restart(nil)
		w.setAuthority(true)
		w.settle()
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
	frequent := EvictionCandidate{Adapter: ident.Adapter{Team: "a", Name: "frequent"}, LastUsed: at, Rate: 50, LoadTime: time.Second}
	once := EvictionCandidate{Adapter: ident.Adapter{Team: "a", Name: "once"}, LastUsed: at.Add(time.Second), Rate: 1, LoadTime: time.Second}
	if !(LowestReloadCost{}).Less(once, frequent) || !(LRU{}).Less(frequent, once) {
		t.Fatal("wrong order of evictions")
	}
}
