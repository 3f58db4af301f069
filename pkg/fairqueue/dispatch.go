package fairqueue

import (
	"container/list"
	"slices"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// maxDebtRounds bounds the negative deficit, in rounds, of a flow that is served
// only by the guaranteed minimum. Without the bound, its class could need many
// rounds before the flow may dispatch again.
const maxDebtRounds = 8

// Next removes the next ready item from the queue and returns it, or returns nil if
// no item is ready. A flow that is due for its guaranteed minimum goes first, then
// the highest class.
func (q *Queue[L, V]) Next() *Item[L, V] {
	f := q.overdue()
	if f == nil {
		f = q.nextByClass()
	}
	if f == nil {
		return nil
	}
	it := f.first()
	f.deficit = max(f.deficit-it.Cost, -maxDebtRounds*q.cfg.Quantum*f.weight)
	q.dispatched++
	f.lastServed = q.dispatched
	q.order.MoveToBack(f.order)
	q.Remove(it)
	return it
}

// overdue returns the flow that has waited longest if it must be served now to keep
// the guaranteed minimum, or nil. The ready flows are served in turn, starting early
// enough that the last of them is still served within the fairness window.
func (q *Queue[L, V]) overdue() *flow[L, V] {
	front := q.order.Front()
	if front == nil {
		return nil
	}
	f := front.Value.(*flow[L, V])
	if int(q.dispatched-f.lastServed)+q.order.Len() < q.cfg.FairnessWindow {
		return nil
	}
	return f
}

// nextByClass returns the flow to serve by deficit round robin in the highest class
// with ready items, or nil.
func (q *Queue[L, V]) nextByClass() *flow[L, V] {
	for class := classes - 1; class > 0; class-- {
		ring := &q.rings[class]
		for ring.Len() > 0 {
			f := ring.Front().Value.(*flow[L, V])
			if !f.credited {
				f.deficit += q.cfg.Quantum * f.weight
				f.credited = true
			}
			if f.deficit >= f.first().Cost {
				return f
			}
			f.credited = false
			ring.MoveToBack(f.ring)
		}
	}
	return nil
}

// first returns the oldest ready item of a flow.
func (f *flow[L, V]) first() *Item[L, V] {
	best := f.ready[0].head
	for _, ln := range f.ready[1:] {
		if ln.head.seq < best.seq {
			best = ln.head
		}
	}
	return best
}

// enable adds a lane to the ready lanes of its flow, and the flow to the ready flows
// if it was not ready.
func (q *Queue[L, V]) enable(ln *lane[L, V]) {
	f := ln.flow
	f.ready = append(f.ready, ln)
	if len(f.ready) > 1 {
		return
	}
	f.lastServed = q.dispatched
	f.ring = q.rings[f.key.class].PushBack(f)
	f.order = q.order.PushBack(f)
}

// disable removes a lane from the ready lanes of its flow. A flow without ready
// items loses its unused deficit, as in standard deficit round robin.
func (q *Queue[L, V]) disable(ln *lane[L, V]) {
	f := ln.flow
	i := slices.Index(f.ready, ln)
	if i < 0 {
		return
	}
	f.ready = slices.Delete(f.ready, i, i+1)
	if len(f.ready) > 0 {
		return
	}
	removeElement(&q.rings[f.key.class], &f.ring)
	removeElement(&q.order, &f.order)
	f.credited = false
	f.deficit = min(f.deficit, 0)
}

// removeElement removes an element from a list and clears the pointer to it.
func removeElement(l *list.List, e **list.Element) {
	l.Remove(*e)
	*e = nil
}

// dropLane deletes an empty lane, and its flow if that has no other lane.
func (q *Queue[L, V]) dropLane(ln *lane[L, V], l L) {
	q.disable(ln)
	f := ln.flow
	delete(f.lanes, l)
	if len(f.lanes) == 0 {
		delete(q.flows, f.key)
	}
	set := q.laneSets[l]
	set.lanes = slices.DeleteFunc(set.lanes, func(other *lane[L, V]) bool { return other == ln })
	if len(set.lanes) == 0 && !set.ready {
		delete(q.laneSets, l)
	}
}

func (ln *lane[L, V]) append(it *Item[L, V]) {
	it.lane, it.prev, it.next = ln, ln.tail, nil
	if ln.tail == nil {
		ln.head = it
	} else {
		ln.tail.next = it
	}
	ln.tail = it
	ln.count++
}

func (ln *lane[L, V]) unlink(it *Item[L, V]) {
	if it.prev == nil {
		ln.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		ln.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.lane, it.prev, it.next = nil, nil, nil
	ln.count--
}

// Waiting returns the oldest item of a lane, the number of its items and their
// highest class. The item is nil if the lane is empty.
func (q *Queue[L, V]) Waiting(l L) (oldest *Item[L, V], count int, class ident.Priority) {
	set := q.laneSets[l]
	if set == nil {
		return nil, 0, 0
	}
	for _, ln := range set.lanes {
		count += ln.count
		class = max(class, ln.flow.key.class)
		if oldest == nil || ln.head.seq < oldest.seq {
			oldest = ln.head
		}
	}
	return oldest, count, class
}

// Items returns the queued items of a lane, in order of arrival within each flow.
func (q *Queue[L, V]) Items(l L) []*Item[L, V] {
	set := q.laneSets[l]
	if set == nil {
		return nil
	}
	var out []*Item[L, V]
	for _, ln := range set.lanes {
		for it := ln.head; it != nil; it = it.next {
			out = append(out, it)
		}
	}
	return out
}

// DropCandidate returns the item to remove from a full queue in favour of a new item
// of team t: the newest item of the team with the most queued items per weight. It
// returns nil if team t itself would have at least as many items per weight with the
// new item. It does not remove the item.
func (q *Queue[L, V]) DropCandidate(t ident.Team, weight int) *Item[L, V] {
	var longest *flow[L, V]
	for _, f := range q.flows {
		if longest == nil || q.dropsBefore(f, longest) {
			longest = f
		}
	}
	if longest == nil || q.teams[longest.key.team]*max(weight, 1) <= (q.teams[t]+1)*longest.weight {
		return nil
	}
	var newest *Item[L, V]
	for _, ln := range longest.lanes {
		if newest == nil || ln.tail.seq > newest.seq {
			newest = ln.tail
		}
	}
	return newest
}

// dropsBefore reports whether flow a is to lose an item before flow b. The flow
// whose team has more queued items per weight comes first; then flows are ordered by
// team name and, within a team, by class, lowest first.
func (q *Queue[L, V]) dropsBefore(a, b *flow[L, V]) bool {
	x, y := q.teams[a.key.team]*b.weight, q.teams[b.key.team]*a.weight
	if x != y {
		return x > y
	}
	if a.key.team != b.key.team {
		return a.key.team < b.key.team
	}
	return a.key.class < b.key.class
}
