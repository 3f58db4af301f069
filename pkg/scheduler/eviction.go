package scheduler

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// EvictionCandidate describes a resident adapter to an Evictor.
type EvictionCandidate struct {
	Adapter  ident.Adapter
	LastUsed time.Time
	// Rate is the decayed number of recent requests.
	Rate float64
	// LoadTime is the measured time of its last load, or the shortest recent one.
	LoadTime time.Duration
}

// Evictor orders resident adapters that may all be evicted.
type Evictor interface {
	// Less reports whether a is to be evicted rather than b.
	Less(a, b EvictionCandidate) bool
}

// LowestReloadCost evicts the adapter with the lowest demand times load time.
type LowestReloadCost struct{}

// Less compares the expected cost of loading the adapters again.
func (LowestReloadCost) Less(a, b EvictionCandidate) bool {
	x, y := a.Rate*max(a.LoadTime.Seconds(), minLoadSeconds), b.Rate*max(b.LoadTime.Seconds(), minLoadSeconds)
	if x != y {
		return x < y
	}
	return LRU{}.Less(a, b)
}

// minLoadSeconds keeps the demand in the cost while no load has been measured.
const minLoadSeconds = 0.001

// LRU evicts the least recently used adapter. It is the baseline.
type LRU struct{}

// Less compares the times of the last use.
func (LRU) Less(a, b EvictionCandidate) bool {
	if !a.LastUsed.Equal(b.LastUsed) {
		return a.LastUsed.Before(b.LastUsed)
	}
	return compareAdapters(a.Adapter, b.Adapter) < 0
}

// tier orders resident adapters by the work that is queued for them, compared
// with the work that waits for a slot. Lower tiers are evicted first.
type tier int

const (
	// tierDraining adapters have been chosen before. The choice stands while their
	// queues change, or work could wait for ever between two half drained slots.
	tierDraining tier = iota
	tierIdle
	tierLower
	tierEqual
	tierHigher
	tierNone
)

// evictionDelay is how long stalled work waits before an adapter of a tier gives way, and
// how long that adapter stays after its own load.
func (s *Scheduler) evictionDelay(t tier) time.Duration {
	switch t {
	case tierDraining, tierIdle:
		return 0
	case tierLower:
		return s.cfg.drainAfter()
	case tierEqual:
		return 2 * s.cfg.drainAfter()
	default:
		return 4 * s.cfg.drainAfter()
	}
}

// tier compares with the aged class, so that less urgent candidates that need a
// shorter hold do not take every slot before an old one.
func (s *Scheduler) tier(st *adapter, c loadCandidate) tier {
	_, n, class := s.queue.Waiting(st.name)
	switch {
	case st.draining:
		return tierDraining
	case n == 0:
		return tierIdle
	case int(class) < c.agedClass():
		return tierLower
	case int(class) == c.agedClass():
		return tierEqual
	default:
		return tierHigher
	}
}

// victim chooses the adapter that gives way to a candidate, among those without
// pins, or among the pinned ones that are to be drained. An adapter with queued
// work of a higher class is chosen only if every resident adapter has such work.
func (s *Scheduler) victim(now time.Time, c loadCandidate, pinned bool, taken map[*adapter]bool) *adapter {
	var best *adapter
	bestTier, lowest := tierNone, tierNone
	for _, st := range s.slots {
		if st.state != stateResident || now.Before(st.retryAt) {
			continue
		}
		t := s.tier(st, c)
		lowest = min(lowest, t)
		if taken[st] || st.inUse() != pinned || t > bestTier {
			continue
		}
		if st.unusedSinceLoad && t > tierIdle || min(c.waited, now.Sub(st.loadedAt)) < s.evictionDelay(t) {
			continue
		}
		if pinned && t != tierDraining && c.waited < s.cfg.drainAfter() {
			continue
		}
		if t < bestTier || s.evictBefore(now, st, best) {
			best, bestTier = st, t
		}
	}
	if bestTier == tierHigher && lowest < tierHigher {
		return nil
	}
	return best
}

// evictBefore asks the evictor.
func (s *Scheduler) evictBefore(now time.Time, a, b *adapter) bool {
	return s.evictor.Less(s.evictionCandidate(now, a), s.evictionCandidate(now, b))
}

func (s *Scheduler) evictionCandidate(now time.Time, st *adapter) EvictionCandidate {
	r := EvictionCandidate{Adapter: st.name, LastUsed: st.lastUsed, Rate: st.decayedRate(now), LoadTime: st.loadTime}
	if r.LoadTime == 0 {
		r.LoadTime = s.loads.shortest(now)
	}
	return r
}
