package scheduler

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// EvictionCandidate describes a resident adapter to an Evictor.
type EvictionCandidate struct {
	Adapter  ident.Adapter
	LastUsed time.Time
	// Rate is the number of recent requests for the adapter, with exponential decay.
	Rate float64
	// LoadTime is the measured duration of the last load of the adapter. If none was
	// measured, it is the shortest recent duration of any load, or 0.
	LoadTime time.Duration
}

// Evictor orders resident adapters that may all be evicted.
type Evictor interface {
	// Less reports whether a should be evicted before b.
	Less(a, b EvictionCandidate) bool
}

// LowestReloadCost evicts the adapter with the lowest product of request rate and
// load time first.
type LowestReloadCost struct{}

// Less compares the expected costs of loading the adapters again. Equal costs are
// ordered as by LRU.
func (LowestReloadCost) Less(a, b EvictionCandidate) bool {
	x, y := a.Rate*max(a.LoadTime.Seconds(), minLoadSeconds), b.Rate*max(b.LoadTime.Seconds(), minLoadSeconds)
	if x != y {
		return x < y
	}
	return LRU{}.Less(a, b)
}

// minLoadSeconds is the lowest load time, in seconds, used in the reload cost. It is
// above zero so that the request rate still counts while no load has been measured.
const minLoadSeconds = 0.001

// LRU evicts the least recently used adapter first. It is the baseline for
// comparisons.
type LRU struct{}

// Less compares the times of last use. Equal times are ordered by the adapter.
func (LRU) Less(a, b EvictionCandidate) bool {
	if !a.LastUsed.Equal(b.LastUsed) {
		return a.LastUsed.Before(b.LastUsed)
	}
	return compareAdapters(a.Adapter, b.Adapter) < 0
}

// tier ranks a resident adapter for eviction by comparing the priority of the work
// queued for it with that of the work that waits for a slot. Lower tiers are evicted
// first.
type tier int

const (
	// tierDraining is for adapters that are already being drained. They come first
	// even if their queues change; otherwise work could wait forever while two slots
	// are drained in turn and neither becomes free.
	tierDraining tier = iota
	// tierIdle is for adapters without queued work. tierLower, tierEqual and
	// tierHigher are for adapters with queued work of a lower, an equal and a higher
	// class than the work that waits for a slot. tierNone is above all others.
	tierIdle
	tierLower
	tierEqual
	tierHigher
	tierNone
)

// evictionDelay returns how long work must have waited for a load before an adapter
// of the given tier is evicted for it. It is also the minimum time that the adapter
// stays resident after its load.
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

// tier returns the eviction tier of an adapter with respect to a load candidate. It
// uses the aged class of the candidate. With the plain class, a candidate of a low
// class that has waited long would have a longer eviction delay than newer candidates
// of a higher class, which could take every slot first.
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

// victim returns the adapter to evict for a load candidate, or nil. If pinned is
// false, it considers only adapters that are not in use, otherwise only adapters in
// use, which must be drained first. Adapters in taken are skipped. An adapter with
// queued work of a higher class than the candidate is chosen only if every resident
// adapter has such work.
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

// evictBefore reports whether the evictor prefers to evict a rather than b.
func (s *Scheduler) evictBefore(now time.Time, a, b *adapter) bool {
	return s.evictor.Less(s.evictionCandidate(now, a), s.evictionCandidate(now, b))
}

// evictionCandidate describes an adapter to the evictor.
func (s *Scheduler) evictionCandidate(now time.Time, st *adapter) EvictionCandidate {
	r := EvictionCandidate{Adapter: st.name, LastUsed: st.lastUsed, Rate: st.decayedRate(now), LoadTime: st.loadTime}
	if r.LoadTime == 0 {
		r.LoadTime = s.recentLoadTimes.shortest(now)
	}
	return r
}
