package fairqueue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

type testItem = Item[int, int]

func key(it *testItem) flowKey { return flowKey{team: it.Team, class: it.Class} }

// model is a plain list of the queued items, oldest first, against which the queue
// is checked.
type model struct {
	items []*testItem
	ready map[int]bool
	// waited is the number of dispatches since each ready flow was last served or
	// became ready.
	waited        map[flowKey]int
	maxReadyFlows int
}

func (m *model) readyFlows() map[flowKey]bool {
	out := map[flowKey]bool{}
	for _, it := range m.items {
		if m.ready[it.Lane] {
			out[key(it)] = true
		}
	}
	return out
}

// updateWaited starts counting for flows that have become ready and stops counting
// for flows that are no longer ready.
func (m *model) updateWaited() {
	ready := m.readyFlows()
	for k := range m.waited {
		if !ready[k] {
			delete(m.waited, k)
		}
	}
	for k := range ready {
		if _, ok := m.waited[k]; !ok {
			m.waited[k] = 0
		}
	}
	m.maxReadyFlows = max(m.maxReadyFlows, len(ready))
}

func (m *model) remove(it *testItem) {
	for i, other := range m.items {
		if other == it {
			m.items = append(m.items[:i:i], m.items[i+1:]...)
			return
		}
	}
}

// Guards against items that are lost, dispatched twice, dispatched out of order or
// dispatched while their lane is not ready, and against flows that wait longer than
// the fairness window.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := rapid.IntRange(1, 12).Draw(t, "floor")
		q := New[int, int](Config{FairnessWindow: window, Quantum: rapid.IntRange(1, 3).Draw(t, "quantum")})
		m := &model{ready: map[int]bool{}, waited: map[flowKey]int{}}
		next := func(t *rapid.T) {
			m.updateWaited()
			it := q.Next()
			if it == nil {
				if len(m.waited) > 0 {
					t.Fatalf("no item dispatched although flows %v are ready", m.waited)
				}
				return
			}
			for _, other := range m.items {
				if key(other) == key(it) && m.ready[other.Lane] {
					if other != it {
						t.Fatalf("item %d dispatched before the older item %d of its flow", it.Value, other.Value)
					}
					break
				}
			}
			if _, ok := m.waited[key(it)]; !ok || it.Queued() {
				t.Fatalf("dispatched item %d is still queued or its flow is not ready", it.Value)
			}
			for k := range m.waited {
				m.waited[k]++
				if k != key(it) && m.waited[k] >= max(window, m.maxReadyFlows) {
					t.Fatalf("flow %v not served in %d dispatches, fairness window %d, at most %d flows ready", k, m.waited[k], window, m.maxReadyFlows)
				}
			}
			m.waited[key(it)] = 0
			m.remove(it)
		}
		push := func(t *rapid.T) {
			it := &testItem{
				Team:   ident.Team(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team"))),
				Class:  ident.Priority(rapid.IntRange(1, 3).Draw(t, "class")),
				Weight: rapid.IntRange(1, 9).Draw(t, "weight"),
				Cost:   rapid.IntRange(1, 5).Draw(t, "cost"),
				Lane:   rapid.IntRange(0, 4).Draw(t, "lane"),
			}
			q.Push(it)
			m.items = append(m.items, it)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": push,
			"ready": func(t *rapid.T) {
				l, ready := rapid.IntRange(0, 4).Draw(t, "lane"), rapid.Bool().Draw(t, "ready")
				q.SetReady(l, ready)
				m.ready[l] = ready
				m.updateWaited()
			},
			"remove": func(t *rapid.T) {
				if len(m.items) > 0 {
					it := rapid.SampledFrom(m.items).Draw(t, "item")
					if !q.Remove(it) || q.Remove(it) {
						t.Fatal("removal of a queued item must succeed once")
					}
					m.remove(it)
					m.updateWaited()
				}
			},
			"next": next,
			"burst": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "burst") {
					next(t)
				}
			},
			"backlog": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "backlog") {
					push(t)
				}
			},
			"": func(t *rapid.T) {
				m.updateWaited()
				count := map[ident.Team]int{}
				for _, it := range m.items {
					count[it.Team]++
				}
				for team, n := range count {
					if q.TeamLen(team) != n {
						t.Fatalf("team %s has %d items, want %d", team, q.TeamLen(team), n)
					}
				}
				if q.Len() != len(m.items) {
					t.Fatalf("%d items, want %d", q.Len(), len(m.items))
				}
			},
		})
	})
}

// Guards against wrong shares. Flows of one class that always have ready items must
// be served exactly in proportion to their weights in every full round, whatever the
// order of arrival.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 9), 1, 6).Draw(t, "weights")
		rounds := rapid.IntRange(1, 8).Draw(t, "rounds")
		q := New[int, int](Config{FairnessWindow: 1 << 30})
		q.SetReady(0, true)
		sum := 0
		for i, w := range weights {
			sum += w
			for range rounds * w * 2 {
				q.Push(&testItem{Team: ident.Team(fmt.Sprint(i)), Class: ident.PriorityNormal, Weight: w})
			}
		}
		for round := range rounds {
			got := make([]int, len(weights))
			for range sum {
				var team int
				_, _ = fmt.Sscan(string(q.Next().Team), &team)
				got[team]++
			}
			for i, w := range weights {
				if got[i] != w {
					t.Fatalf("round %d: shares %v, want %v", round, got, weights)
				}
			}
		}
	})
}

// BenchmarkShares reports the share that a team gets beside three other teams of the
// same weight, one of which submits ten times its share.
func BenchmarkShares(b *testing.B) {
	q := New[int, int](Config{})
	q.SetReady(0, true)
	served := map[ident.Team]int{}
	push := func(team ident.Team, n int) {
		for range n {
			q.Push(&testItem{Team: team, Class: ident.PriorityNormal, Weight: 1})
		}
	}
	push("greedy", 1000)
	dispatched := 0
	b.ReportAllocs()
	for b.Loop() {
		push("greedy", 10)
		for _, team := range []ident.Team{"a", "b", "c"} {
			push(team, 1)
		}
		for range 4 {
			served[q.Next().Team]++
			dispatched++
		}
		for range 9 {
			q.Remove(q.DropCandidate("a", 1))
		}
	}
	b.ReportMetric(100*float64(served["greedy"])/float64(dispatched), "%greedy")
	b.ReportMetric(100*float64(served["a"])/float64(dispatched), "%a")
}
