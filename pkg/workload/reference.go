package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// SimulatedStall is the load stall of one segment in a simulation by
// SimulatePooledSlots.
type SimulatedStall struct {
	Segment Segment `json:"segment"`
	P50     float64 `json:"load_stall_p50_ms"`
	P95     float64 `json:"load_stall_p95_ms"`
}

// SimulatePooledSlots simulates a deployment that pools all adapter slots and has
// unlimited batch positions. Its only delays are those of the weight store, which
// loads one adapter at a time: first for the highest priority, then for the request
// that has waited longest. It evicts the least recently used adapter. The result
// shows the load stall that the arrivals and the weight store alone cause. It is no
// lower bound for a single segment, because another order of loads can improve one
// segment at the expense of another.
func SimulatePooledSlots(arrivals []Arrival, residents []ident.Adapter, slots int, loadTime time.Duration) []SimulatedStall {
	p := &pooledSimulation{slots: slots, loadTime: loadTime, lastUse: map[ident.Adapter]time.Duration{}, waiting: map[ident.Adapter][]*Arrival{}, stalls: map[Segment][]time.Duration{}}
	for i, a := range residents[:min(len(residents), slots)] {
		p.lastUse[a] = -time.Duration(i + 1)
	}
	for i := range arrivals {
		if arrivals[i].Request.IsModel() {
			p.arrive(&arrivals[i])
		}
	}
	for len(p.waiting) > 0 {
		p.loadNext()
	}
	return p.results()
}

type pooledSimulation struct {
	slots    int
	loadTime time.Duration
	// storeFreeAt is when the weight store finishes its last load.
	storeFreeAt time.Duration
	// lastUse holds the last use of each adapter that is resident or loading. It is
	// negative for an adapter that was resident at the start and has not been used.
	lastUse map[ident.Adapter]time.Duration
	waiting map[ident.Adapter][]*Arrival
	stalls  map[Segment][]time.Duration
}

// arrive performs the loads that start before an arrival, then processes the
// arrival.
func (p *pooledSimulation) arrive(a *Arrival) {
	for len(p.waiting) > 0 && p.storeFreeAt <= a.At {
		p.loadNext()
	}
	p.storeFreeAt = max(p.storeFreeAt, a.At)
	name := a.Request.Adapter
	if at, ok := p.lastUse[name]; ok && at <= a.At {
		p.lastUse[name] = a.At
		p.record(a, 0)
		return
	} else if ok {
		p.record(a, at-a.At) // the adapter is still loading
		return
	}
	p.waiting[name] = append(p.waiting[name], a)
}

func (p *pooledSimulation) record(a *Arrival, stall time.Duration) {
	s := segmentOf(&a.Request)
	p.stalls[s] = append(p.stalls[s], stall)
}

// loadNext performs the most urgent load. It records the end of the load as the last
// use of the adapter, so that arrivals during the load find a last use in the
// future.
func (p *pooledSimulation) loadNext() {
	var next []*Arrival
	for _, list := range p.waiting {
		if next == nil || compareUrgency(list[0], next[0]) < 0 {
			next = list
		}
	}
	name := next[0].Request.Adapter
	p.evict()
	p.storeFreeAt += p.loadTime
	p.lastUse[name] = p.storeFreeAt
	delete(p.waiting, name)
	for _, a := range next {
		p.record(a, p.storeFreeAt-a.At)
	}
}

func compareUrgency(a, b *Arrival) int {
	return cmp.Or(
		cmp.Compare(b.Request.Team.Priority, a.Request.Team.Priority),
		cmp.Compare(a.At, b.At),
		cmp.Compare(a.Request.Seq, b.Request.Seq),
	)
}

func (p *pooledSimulation) evict() {
	if len(p.lastUse) < p.slots {
		return
	}
	var victim ident.Adapter
	found := false
	for a, at := range p.lastUse {
		if !found || at < p.lastUse[victim] || at == p.lastUse[victim] && a.String() < victim.String() {
			victim, found = a, true
		}
	}
	delete(p.lastUse, victim)
}

func (p *pooledSimulation) results() []SimulatedStall {
	var out []SimulatedStall
	for s, list := range p.stalls {
		slices.Sort(list)
		at := func(percent int) float64 { return list[len(list)*percent/100].Seconds() * 1000 }
		out = append(out, SimulatedStall{Segment: s, P50: at(50), P95: at(95)})
	}
	slices.SortFunc(out, func(a, b SimulatedStall) int { return cmp.Compare(a.Segment, b.Segment) })
	return out
}
