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

func (sim *simulation) drawWork(t *rapid.T) Work {
	a := drawAdapter(t)
	work := Work{
		Team:     a.Team,
		Adapter:  a,
		Priority: ident.Priority(rapid.IntRange(1, 3).Draw(t, "class")),
		Weight:   rapid.IntRange(1, 10).Draw(t, "weight"),
		Deadline: sim.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "deadline")) * 100 * time.Millisecond),
	}
	if a.IsZero() {
		work.Team = rapid.SampledFrom(teams).Draw(t, "team")
	}
	return work
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  func(t *rapid.T) { sim.submit(sim.drawWork(t)) },
		"submit2": func(t *rapid.T) { sim.submit(sim.drawWork(t)) },
		"runDone": func(t *rapid.T) {
			if len(sim.running) > 0 {
				sim.runDone(rapid.SampledFrom(sortedKeys(sim.running, compareIDs)).Draw(t, "run"))
			}
		},
		"grantAll": func(t *rapid.T) {
			for _, a := range sortedKeys(sim.requested, compareAdapters) {
				sim.do(sim.s.PermitGranted(sim.now, a))
			}
		},
		"answer": func(t *rapid.T) {
			if len(sim.commands) > 0 {
				ok := rapid.IntRange(0, 3).Draw(t, "ok") > 0
				sim.answer(rapid.IntRange(0, len(sim.commands)-1).Draw(t, "order"), ok)
			}
		},
		"grant": func(t *rapid.T) {
			a := drawAdapter(t)
			if keys := sortedKeys(sim.requested, compareAdapters); len(keys) > 0 && rapid.IntRange(0, 4).Draw(t, "asked") > 0 {
				a = rapid.SampledFrom(keys).Draw(t, "grant")
			}
			sim.do(sim.s.PermitGranted(sim.now, a))
		},
		"permitLost":  func(t *rapid.T) { sim.do(sim.s.PermitLost(sim.now, drawAdapter(t))) },
		"permitsLost": func(*rapid.T) { sim.do(sim.s.PermitsLost(sim.now)) },
		"revoke": func(t *rapid.T) {
			if len(sim.queued) == 0 {
				return
			}
			id := rapid.SampledFrom(sortedKeys(sim.queued, compareIDs)).Draw(t, "revoke")
			out, ok := sim.s.Revoke(sim.now, id)
			sim.do(out)
			if !ok || !sim.ended[id] {
				t.Fatalf("queued attempt %v was not revoked", id)
			}
		},
		"authority": func(t *rapid.T) { sim.setAuthority(rapid.IntRange(0, 2).Draw(t, "held") > 0) },
		"weights": func(t *rapid.T) {
			sim.s.ApplyConfig(rapid.Float64Range(0, 1).Draw(t, "stall"), rapid.Float64Range(0, 1).Draw(t, "batch"))
		},
		"tick":  func(t *rapid.T) { sim.tick(time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms")) * time.Millisecond) },
		"serve": func(*rapid.T) { sim.serve(100 * time.Millisecond) },
		"restart": func(t *rapid.T) {
			n := rapid.IntRange(0, sim.cfg.Slots).Draw(t, "residents")
			found := map[ident.Adapter]bool{}
			for range n {
				if a := drawAdapter(t); !a.IsZero() {
					found[a] = true
				}
			}
			sim.restart(sortedKeys(found, compareAdapters))
		},
		"lose": func(t *rapid.T) {
			if len(sim.commands) > 0 {
				sim.loseReply(rapid.IntRange(0, len(sim.commands)-1).Draw(t, "order"), rapid.Bool().Draw(t, "first"))
			}
		},
		"read": func(*rapid.T) {
			if sim.reading == nil {
				r := sim.read()
				sim.reading = &r
			}
		},
		"readNow": func(*rapid.T) {
			if sim.known {
				sim.deliver(sim.read())
			}
		},
		"late": func(*rapid.T) {
			if i := slices.IndexFunc(sim.commands, func(o command) bool { return o.lost }); i >= 0 {
				sim.answer(i, true)
			}
		},
		"readDone": func(*rapid.T) {
			if r := sim.reading; r != nil && sim.known {
				sim.deliver(*r)
			}
		},
		"foreignDone": func(t *rapid.T) {
			if len(sim.foreign) > 0 {
				delete(sim.foreign, rapid.SampledFrom(sortedKeys(sim.foreign, compareRuns)).Draw(t, "foreign"))
			}
		},
		"supersede": sim.supersede,
		"settle":    func(*rapid.T) { sim.settle() },
	}
}

// Guards against unsafe or lost decisions under random events and faults: the
// eviction of an adapter under a run of this or another process, also by a command
// whose reply was lost; a start on an adapter that another process may evict; a load
// without a free slot; a command without authority or before the state of the engine
// is known; an effect of results from before an engine restart; a second start of an
// attempt; work accepted after Leave; and attempts that never end.
func TestSchedulerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		if rapid.IntRange(0, 3).Draw(t, "known") > 0 {
			sim.restart(nil)
			sim.setAuthority(true)
			sim.settle()
		}
		for range 8 {
			t.Repeat(sim.actions())
		}
		if rapid.Bool().Draw(t, "leave") {
			sim.left = true
			sim.s.Leave()
			sim.submit(sim.drawWork(t))
		}
		sim.restart(nil)
		sim.setAuthority(true)
		sim.settle()
		for step := 0; len(sim.queued)+len(sim.running) > 0; step++ {
			if step == 2000 {
				t.Fatalf("%d attempts queued and %d running long after the last fault", len(sim.queued), len(sim.running))
			}
			sim.serve(20 * time.Millisecond)
		}
		if len(sim.ended) != sim.next {
			t.Fatalf("%d of %d attempts ended", len(sim.ended), sim.next)
		}
	})
}

// Guards against a team of the lowest class that is never served while another team
// fills all positions and slots with work of the highest class, whether or not the
// coordinator answers.
func TestNoTeamStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.cfg.MaxQueued = 200
		sim.s = New(sim.cfg)
		sim.coordinator = permits.New(permits.Config{MaxConcurrent: 1, GrantTTL: 10 * time.Second})
		silent := rapid.Bool().Draw(t, "silentCoordinator")
		sim.restart(nil)
		sim.setAuthority(true)
		sim.settle()
		hot := rapid.OneOf(rapid.IntRange(1, 8), rapid.Just(150)).Draw(t, "hotAdapters")
		small := Work{Team: "b", Adapter: ident.Adapter{Team: "b", Name: "x", Version: "1"}, Priority: ident.PriorityBatch, Weight: 1, Deadline: sim.now.Add(time.Hour)}
		var id ident.AttemptID
		for step := range 1300 {
			for i := range 2 * sim.cfg.Positions {
				a := ident.Adapter{Team: "a", Name: fmt.Sprint((step*2*sim.cfg.Positions + i) % hot), Version: "1"}
				sim.submit(Work{Team: "a", Adapter: a, Priority: ident.PriorityHigh, Weight: 10, Deadline: sim.now.Add(time.Hour)})
			}
			if step == 100 {
				sim.submit(small)
				id = ident.AttemptID{Request: ident.RequestID(fmt.Sprintf("%06d", sim.next)), Attempt: 1}
			}
			if silent {
				sim.grants = nil
			}
			sim.serve(100 * time.Millisecond)
			if step > 100 && sim.ended[id] {
				return
			}
		}
		t.Fatalf("the attempt of the small team has waited for 120 s")
	})
}

// Guards against an evictor that evicts a frequently used adapter before a rarely
// used one. LRU does so, as the test shows.
func TestEvictors(t *testing.T) {
	at := time.Unix(1000, 0)
	frequent := EvictionCandidate{Adapter: ident.Adapter{Team: "a", Name: "frequent"}, LastUsed: at, Rate: 50, LoadTime: time.Second}
	once := EvictionCandidate{Adapter: ident.Adapter{Team: "a", Name: "once"}, LastUsed: at.Add(time.Second), Rate: 1, LoadTime: time.Second}
	if !(LowestReloadCost{}).Less(once, frequent) || !(LRU{}).Less(frequent, once) {
		t.Fatal("wrong order of evictions")
	}
}
