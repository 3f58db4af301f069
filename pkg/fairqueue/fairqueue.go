// Package fairqueue orders queued items by priority class and, within a class, by
// weighted deficit round robin over teams. Every team is guaranteed a minimum
// service, whatever its class. The queue is a deterministic data structure; it reads
// no clock and takes no locks.
package fairqueue

import (
	"container/list"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// defaultFairnessWindow is the value of Config.FairnessWindow if it is zero.
const defaultFairnessWindow = 32

// classes is the number of priority classes, plus one for the unused value zero.
const classes = int(ident.PriorityHigh) + 1

// Config holds the parameters of a queue.
type Config struct {
	// FairnessWindow is the number of dispatches within which every flow with ready
	// work is served, whatever its class. If more flows than that are ready, the
	// bound is the number of ready flows. Zero means 32.
	FairnessWindow int
	// Quantum is the cost that a flow of weight 1 may dispatch per round. Zero means
	// 1.
	Quantum int
}

// Item is one queued item. Its fields must not change while it is queued.
type Item[L comparable, V any] struct {
	Team   ident.Team
	Class  ident.Priority
	Weight int
	// Cost is in the unit of Config.Quantum.
	Cost int
	// Lane identifies the group of items that become ready together.
	Lane  L
	Value V

	seq        uint64
	lane       *lane[L, V]
	prev, next *Item[L, V]
}

// Queued reports whether the item is in a queue.
func (it *Item[L, V]) Queued() bool { return it.lane != nil }

// lane is the first-in first-out list of the items of one flow that have the same
// Lane.
type lane[L comparable, V any] struct {
	flow       *flow[L, V]
	head, tail *Item[L, V]
	count      int
}

// laneSet holds the lists with the same Lane of all flows. They become ready
// together.
type laneSet[L comparable, V any] struct {
	ready bool
	lanes []*lane[L, V]
}

// flowKey identifies a flow.
type flowKey struct {
	team  ident.Team
	class ident.Priority
}

// flow is the queued work of one team in one class.
type flow[L comparable, V any] struct {
	key    flowKey
	weight int
	// deficit is the cost that the flow may still dispatch in this round. It can be
	// negative after dispatches for the guaranteed minimum.
	deficit int
	// credited states that the quantum of the current round has been added to
	// deficit.
	credited bool
	lanes    map[L]*lane[L, V]
	ready    []*lane[L, V]
	// lastServed is the value of Queue.dispatched when the flow was last served or
	// last became ready.
	lastServed uint64
	// ring and order are the elements of a ready flow in Queue.rings and
	// Queue.order.
	ring  *list.Element
	order *list.Element
}

// Queue holds items. An item is dispatched only while its lane is ready. A Queue is
// not safe for concurrent use.
type Queue[L comparable, V any] struct {
	cfg      Config
	flows    map[flowKey]*flow[L, V]
	laneSets map[L]*laneSet[L, V]
	// rings holds the ready flows of each class in round-robin order.
	rings [classes]list.List
	// order holds all ready flows, with the one that has waited longest first.
	order list.List
	// teams holds the number of queued items of each team.
	teams      map[ident.Team]int
	length     int
	seq        uint64
	dispatched uint64
}

// New returns an empty queue in which no lane is ready.
func New[L comparable, V any](cfg Config) *Queue[L, V] {
	if cfg.FairnessWindow <= 0 {
		cfg.FairnessWindow = defaultFairnessWindow
	}
	if cfg.Quantum <= 0 {
		cfg.Quantum = 1
	}
	return &Queue[L, V]{
		cfg:      cfg,
		flows:    map[flowKey]*flow[L, V]{},
		laneSets: map[L]*laneSet[L, V]{},
		teams:    map[ident.Team]int{},
	}
}

// Len returns the number of queued items.
func (q *Queue[L, V]) Len() int { return q.length }

// ReadyClass returns the highest class with ready items, or zero if no item is
// ready.
func (q *Queue[L, V]) ReadyClass() ident.Priority {
	for class := classes - 1; class > 0; class-- {
		if q.rings[class].Len() > 0 {
			return ident.Priority(class)
		}
	}
	return 0
}

// TeamLen returns the number of queued items of a team.
func (q *Queue[L, V]) TeamLen(t ident.Team) int { return q.teams[t] }

// Push adds an item to the queue. Weights and costs below 1 are set to 1, and an
// unknown class is set to normal.
func (q *Queue[L, V]) Push(it *Item[L, V]) {
	it.Weight = max(it.Weight, 1)
	it.Cost = max(it.Cost, 1)
	if it.Class < ident.PriorityBatch || it.Class > ident.PriorityHigh {
		it.Class = ident.PriorityNormal
	}
	f := q.flow(it)
	f.weight = it.Weight
	ln := q.lane(f, it.Lane)
	it.seq = q.seq
	q.seq++
	ln.append(it)
	q.length++
	q.teams[it.Team]++
}

func (q *Queue[L, V]) flow(it *Item[L, V]) *flow[L, V] {
	key := flowKey{team: it.Team, class: it.Class}
	f := q.flows[key]
	if f == nil {
		f = &flow[L, V]{key: key, lanes: map[L]*lane[L, V]{}}
		q.flows[key] = f
	}
	return f
}

func (q *Queue[L, V]) lane(f *flow[L, V], l L) *lane[L, V] {
	if ln := f.lanes[l]; ln != nil {
		return ln
	}
	ln := &lane[L, V]{flow: f}
	f.lanes[l] = ln
	set := q.set(l)
	set.lanes = append(set.lanes, ln)
	if set.ready {
		q.enable(ln)
	}
	return ln
}

func (q *Queue[L, V]) set(l L) *laneSet[L, V] {
	set := q.laneSets[l]
	if set == nil {
		set = &laneSet[L, V]{}
		q.laneSets[l] = set
	}
	return set
}

// SetReady sets whether the items of a lane may be dispatched.
func (q *Queue[L, V]) SetReady(l L, ready bool) {
	set := q.set(l)
	if set.ready == ready {
		return
	}
	set.ready = ready
	for _, ln := range set.lanes {
		if ready {
			q.enable(ln)
		} else {
			q.disable(ln)
		}
	}
	if !ready && len(set.lanes) == 0 {
		delete(q.laneSets, l)
	}
}

// Remove removes an item from the queue. It returns false if the item is not queued.
func (q *Queue[L, V]) Remove(it *Item[L, V]) bool {
	ln := it.lane
	if ln == nil {
		return false
	}
	ln.unlink(it)
	q.length--
	if q.teams[it.Team]--; q.teams[it.Team] == 0 {
		delete(q.teams, it.Team)
	}
	if ln.count == 0 {
		q.dropLane(ln, it.Lane)
	}
	return true
}
