package fairqueue

import (
	"container/list"
	"slices"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// maxDebtRounds bounds the debt of a flow that only the guaranteed minimum
// serves, so that its class does not need many rounds to pay it back.
const maxDebtRounds = 8

// Next takes the next ready item out of the queue, or returns nil. A flow that
// has waited for its guaranteed minimum goes first, then the highest class.
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

// overdue returns the flow that has waited longest if the guaranteed minimum
// requires its dispatch now. The ready flows are served in turn early enough
// that the last of them is still within the floor.
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

// nextByClass runs the deficit round robin of the highest class with ready work.
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

// enable adds a lane to the ready lanes of its flow.
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

// disable takes a lane out of the ready lanes of its flow. A flow without ready
// work loses the deficit that it has not used, as in plain deficit round robin.
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

func removeElement(l *list.List, e **list.Element) {
	l.Remove(*e)
	*e = nil
}

// dropLane removes an empty lane, and its flow if that has no other one.
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
// highest class. The item is nil if none is queued.
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

// Items returns the queued items of a lane, oldest first within each flow.
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

// DropCandidate returns the newest item of the team with the most queued items per
// weight, if that is more than the given team would have with one more item.
// It returns nil if the given team has the largest queue itself.
func (q *Queue[L, V]) DropCandidate(t ident.Team, weight int) *Item[L, V] {
	var worst *flow[L, V]
	for _, f := range q.flows {
		if worst == nil || q.dropsBefore(f, worst) {
			worst = f
		}
	}
	if worst == nil || q.teams[worst.key.team]*max(weight, 1) <= (q.teams[t]+1)*worst.weight {
		return nil
	}
	var newest *Item[L, V]
	for _, ln := range worst.lanes {
		if newest == nil || ln.tail.seq > newest.seq {
			newest = ln.tail
		}
	}
	return newest
}

// dropsBefore orders flows by the queued items of their team per weight, then by
// class (the lowest is displaced first) and name.
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
