package permits

import (
	"cmp"
	"container/heap"
	"maps"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// pending is a request that waits for a grant.
type pending struct {
	key   Key
	class ident.Priority
	start time.Time // virtual start time
	index int       // index in the heap
}

// pendingHeap is a heap of requests ordered by virtual start time. Equal times are
// ordered by endpoint and adapter, so that the result is deterministic.
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

// flow holds the waiting requests of one team. It is never empty.
type flow struct {
	heap   pendingHeap
	weight int
}

// batch reports whether the most urgent request of the flow is for batch-class work.
func (f *flow) batch() bool { return f.heap[0].class <= ident.PriorityBatch }

// pool holds the requests and grants of one weight store. It divides the grants
// among teams by start-time fair queueing. Each grant advances the finish tag of its
// team by 1/weight. The start tag of a team is the later of its finish tag and the
// virtual time, and the team with the earliest start tag is next.
//
// A team with many requests therefore delays only itself, and a team with few
// requests is served at once. Ordering requests by age alone would not achieve this:
// the backlog of an overloaded team is older than all new requests of other teams.
type pool struct {
	flows   map[ident.Team]*flow
	waiting map[Key]*pending
	granted map[Key]time.Time // when each open grant was given or renewed
	// virtual is the virtual time, which is the highest start tag granted so far.
	virtual float64
	// finish holds the finish tags that are later than the virtual time.
	finish map[ident.Team]float64
}

func newPool() *pool {
	return &pool{flows: map[ident.Team]*flow{}, waiting: map[Key]*pending{}, granted: map[Key]time.Time{}, finish: map[ident.Team]float64{}}
}

// put adds a request or updates an earlier one for the same load. A repeated request
// never becomes less urgent, so that the time already waited is not lost.
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

// remove deletes a waiting request, if there is one.
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

// grant grants waiting requests, in the order given by next and the virtual start
// times, until limit grants are open. It returns the new grants.
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

// next returns the team to serve next. Teams whose most urgent request is batch work
// are served after other teams, unless that request has the earlier virtual start
// time.
func (p *pool) next() ident.Team {
	batch, hasBatch := p.earliest(true)
	other, hasOther := p.earliest(false)
	if !hasOther || hasBatch && p.flows[batch].heap[0].start.Before(p.flows[other].heap[0].start) {
		return batch
	}
	return other
}

// earliest returns the team with the earliest start tag, among teams with batch work
// or among the others. Between equal tags, the most urgent request decides.
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

// before reports whether team a is served before team b.
func (p *pool) before(a, b ident.Team) bool {
	x, y := p.start(a), p.start(b)
	if x != y {
		return x < y
	}
	first := pendingHeap{p.flows[a].heap[0], p.flows[b].heap[0]}
	return first.Less(0, 1)
}

// start returns the start tag of a team.
func (p *pool) start(team ident.Team) float64 { return max(p.virtual, p.finish[team]) }

// charge advances the finish tag of a team and the virtual time for one grant.
func (p *pool) charge(team ident.Team) {
	start := p.start(team)
	p.finish[team] = start + 1/float64(p.flows[team].weight)
	if start > p.virtual {
		p.virtual = start
		maps.DeleteFunc(p.finish, func(_ ident.Team, at float64) bool { return at <= start })
	}
}
