package workload

import (
	"container/heap"
	"math"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// LoadsNeeded returns the smallest number of adapter loads with which any policy can
// serve the arrivals, for a cache that pools all slots and knows every arrival in
// advance. It counts the first use of each adapter that is not resident at the
// start, and every later use after an eviction by Belady's rule, which evicts the
// adapter whose next use is furthest in the future. No policy needs fewer loads,
// because pooled slots can serve every request.
func LoadsNeeded(arrivals []Arrival, residents []ident.Adapter, slots int) int {
	uses := modelUses(arrivals)
	next := nextUses(uses)
	c := &beladyCache{slots: slots, nextUse: map[ident.Adapter]int{}}
	first := map[ident.Adapter]int{}
	for i := len(uses) - 1; i >= 0; i-- {
		first[uses[i]] = i
	}
	for _, a := range residents[:min(len(residents), slots)] {
		at, used := first[a]
		if !used {
			at = math.MaxInt
		}
		c.setNextUse(a, at)
	}
	loads := 0
	for i, a := range uses {
		if _, hit := c.nextUse[a]; !hit {
			loads++
			c.evictIfFull()
		}
		c.setNextUse(a, next[i])
	}
	return loads
}

func modelUses(arrivals []Arrival) []ident.Adapter {
	var out []ident.Adapter
	for i := range arrivals {
		if r := &arrivals[i].Request; r.IsModel() {
			out = append(out, r.Adapter)
		}
	}
	return out
}

// nextUses returns, for each index in uses, the index of the next use of the same
// adapter, or math.MaxInt if there is none.
func nextUses(uses []ident.Adapter) []int {
	out := make([]int, len(uses))
	seen := map[ident.Adapter]int{}
	for i := len(uses) - 1; i >= 0; i-- {
		out[i] = math.MaxInt
		if j, ok := seen[uses[i]]; ok {
			out[i] = j
		}
		seen[uses[i]] = i
	}
	return out
}

// beladyCache is a cache with Belady's eviction rule. nextUse holds the index of the
// next use of each resident adapter. order may also contain outdated items, whose
// index differs from the one in nextUse; evictIfFull skips them.
type beladyCache struct {
	slots   int
	nextUse map[ident.Adapter]int
	order   beladyHeap
}

type heapItem struct {
	adapter ident.Adapter
	next    int
}

func (c *beladyCache) setNextUse(a ident.Adapter, next int) {
	c.nextUse[a] = next
	heap.Push(&c.order, heapItem{a, next})
}

func (c *beladyCache) evictIfFull() {
	for len(c.nextUse) >= c.slots {
		u := heap.Pop(&c.order).(heapItem)
		if next, ok := c.nextUse[u.adapter]; ok && next == u.next {
			delete(c.nextUse, u.adapter)
		}
	}
}

// beladyHeap is a heap with the furthest next use at the top.
type beladyHeap []heapItem

func (h beladyHeap) Len() int           { return len(h) }
func (h beladyHeap) Less(i, j int) bool { return h[i].next > h[j].next }
func (h beladyHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *beladyHeap) Push(x any) { *h = append(*h, x.(heapItem)) }

// Pop implements heap.Interface.
func (h *beladyHeap) Pop() any {
	old := *h
	u := old[len(old)-1]
	*h = old[:len(old)-1]
	return u
}
