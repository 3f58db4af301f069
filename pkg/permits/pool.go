package permits

import (
	"cmp"
	"container/heap"
	"maps"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// pending is one request that waits for a grant.
type pending struct {
	key   Key
	class ident.Priority
	start time.Time // virtual starting time
	index int       // place in the heap
}

// pendingHeap orders requests by their virtual starting times.
type pendingHeap []*pending

func (h pendingHeap) Len() int { return len(h) }

func (h pendingHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if !a.start.Equal(b.start) {
		return a.start.Before(b.start)
	}
	x, y := a.key.Adapter, b.key.Adapter
	return cmp.Or(
		cmp.Compare(a.key.Endpoint, b.key.Endpoint),
		cmp.Compare(x.Team, y.Team),
		cmp.Compare(x.Name, y.Name),
		cmp.Compare(x.Version, y.Version),
	) < 0
}

func (h pendingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *pendingHeap) Push(x any) {
	p := x.(*pending)
	p.index = len(*h)
	*h = append(*h, p)
}

// Pop implements heap.Interface.
func (h *pendingHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return p
}

// flow holds the waiting requests of one team.
type flow struct {
	heap   pendingHeap
	weight int
}

// batch reports whether the most urgent request is batch work.
func (f *flow) batch() bool { return f.heap[0].class <= ident.PriorityBatch }

// pool holds the requests and grants of one weight store. It shares the grants by
// start-time fair queueing: each grant moves the finish of its team by 1/weight,
// and the team with the earliest start, the later of its finish and the virtual
// time, is next. A team with many requests thus delays only itself, and a team
// with few of them is served at once. Age alone can not do that: the backlog of an
// overloaded team is older than all new requests of others.
type pool struct {
	flows   map[ident.Team]*flow
	waiting map[Key]*pending
	granted map[Key]time.Time // when each open grant was given
	// virtual is the start of the last grant.
	virtual float64
	// finish holds the teams whose finish is later than the virtual time.
	finish map[ident.Team]float64
}

func newPool() *pool {
	return &pool{flows: map[ident.Team]*flow{}, waiting: map[Key]*pending{}, granted: map[Key]time.Time{}, finish: map[ident.Team]float64{}}
}

// put adds a request or replaces an earlier one. A request never becomes less
// urgent by its repetition, so that the time already waited is not lost.
func (p *pool) put(r Request, start time.Time) {
	f := p.flows[r.Adapter.Team]
	if f == nil {
		f = &flow{}
		p.flows[r.Adapter.Team] = f
	}
	f.weight = max(r.Weight, 1)
	if old := p.waiting[r.Key]; old != nil {
		old.class = max(old.class, r.Priority)
		if start.Before(old.start) {
			old.start = start
			heap.Fix(&f.heap, old.index)
		}
		return
	}
	n := &pending{key: r.Key, class: r.Priority, start: start}
	p.waiting[r.Key] = n
	heap.Push(&f.heap, n)
}

func (p *pool) remove(k Key) {
	old := p.waiting[k]
	if old == nil {
		return
	}
	f := p.flows[k.Adapter.Team]
	heap.Remove(&f.heap, old.index)
	delete(p.waiting, k)
	if len(f.heap) == 0 {
		delete(p.flows, k.Adapter.Team)
	}
}

// grant grants the requests with the earliest virtual starting times, until limit
// grants are open.
func (p *pool) grant(now time.Time, limit int) []Key {
	var out []Key
	for len(p.waiting) > 0 && len(p.granted) < limit {
		team := p.next()
		k := p.flows[team].heap[0].key
		p.charge(team)
		p.remove(k)
		p.granted[k] = now
		out = append(out, k)
	}
	return out
}

// next returns the team to serve. Batch work is served after other work unless it
// has waited longer by the head start of the other work.
func (p *pool) next() ident.Team {
	batch, hasBatch := p.earliest(true)
	other, hasOther := p.earliest(false)
	if !hasOther || hasBatch && p.flows[batch].heap[0].start.Before(p.flows[other].heap[0].start) {
		return batch
	}
	return other
}

// earliest returns the team with the earliest start, in batch work or in other
// work. The most urgent request decides between equal starts.
func (p *pool) earliest(batch bool) (best ident.Team, found bool) {
	for team, f := range p.flows {
		if f.batch() != batch {
			continue
		}
		if !found || p.before(team, best) {
			best, found = team, true
		}
	}
	return best, found
}

func (p *pool) before(a, b ident.Team) bool {
	x, y := p.start(a), p.start(b)
	if x != y {
		return x < y
	}
	heads := pendingHeap{p.flows[a].heap[0], p.flows[b].heap[0]}
	return heads.Less(0, 1)
}

func (p *pool) start(team ident.Team) float64 { return max(p.virtual, p.finish[team]) }

// charge moves the finish of a team and the virtual time by one grant.
func (p *pool) charge(team ident.Team) {
	start := p.start(team)
	p.finish[team] = start + 1/float64(p.flows[team].weight)
	if start > p.virtual {
		p.virtual = start
		maps.DeleteFunc(p.finish, func(_ ident.Team, at float64) bool { return at <= start })
	}
}
