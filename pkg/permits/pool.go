package permits

import (
	"cmp"
	"container/heap"
	"time"
)

// pending is one request that waits for a grant.
type pending struct {
	key   Key
	start time.Time
	index int
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

// pool holds the requests and grants of one weight store.
type pool struct {
	heap    pendingHeap
	waiting map[Key]*pending
	granted map[Key]time.Time
	debts   debts
}

func newPool() *pool {
	return &pool{waiting: map[Key]*pending{}, granted: map[Key]time.Time{}, debts: debts{}}
}

// put adds a request or replaces an earlier one. A request never becomes less
// urgent by its repetition, so that the time already waited is not lost.
func (p *pool) put(k Key, start time.Time) {
	if old := p.waiting[k]; old != nil {
		if start.Before(old.start) {
			old.start = start
			heap.Fix(&p.heap, old.index)
		}
		return
	}
	n := &pending{key: k, start: start}
	p.waiting[k] = n
	heap.Push(&p.heap, n)
}

func (p *pool) remove(k Key) {
	if old := p.waiting[k]; old != nil {
		heap.Remove(&p.heap, old.index)
		delete(p.waiting, k)
	}
}

// grant grants the most urgent requests up to the limit.
func (p *pool) grant(now time.Time, limit int) []Key {
	var out []Key
	for len(p.heap) > 0 && len(p.granted) < limit {
		n := heap.Pop(&p.heap).(*pending)
		delete(p.waiting, n.key)
		p.granted[n.key] = now
		p.debts.charge(now, n.key.Adapter.Team)
		out = append(out, n.key)
	}
	return out
}
