package placement

import (
	"math"
	"sync"
	"time"
)

// Limits of the demand counters.
const (
	demandHalfLife  = 10 * time.Second
	demandShards    = 64
	maxShardEntries = 2048
	// pruneBelow is the rate in requests/s below which a counter is dropped
	// when its shard is full.
	pruneBelow = 0.05
)

// demand keeps a decayed request rate for each adapter.
type demand struct{ shards [demandShards]demandShard }

type demandShard struct {
	mu    sync.Mutex
	rates map[uint64]decayed
}

type decayed struct {
	value float64
	at    time.Time
}

// decayTo returns the value at a later time.
func (d decayed) decayTo(now time.Time) float64 {
	age := now.Sub(d.at)
	if age <= 0 {
		return d.value
	}
	return d.value * math.Exp2(-float64(age)/float64(demandHalfLife))
}

// perSecond converts the decayed sum of one per request to requests/s.
func perSecond(value float64) float64 { return value * math.Ln2 / demandHalfLife.Seconds() }

// add counts a request and returns the rate of its adapter in requests/s.
func (d *demand) add(now time.Time, hash uint64) float64 {
	s := &d.shards[hash%demandShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rates == nil {
		s.rates = map[uint64]decayed{}
	}
	old, known := s.rates[hash]
	if !known && len(s.rates) >= maxShardEntries {
		s.prune(now)
	}
	next := decayed{value: old.decayTo(now) + 1, at: now}
	s.rates[hash] = next
	return perSecond(next.value)
}

// rate returns the rate of an adapter in requests/s.
func (d *demand) rate(now time.Time, hash uint64) float64 {
	s := &d.shards[hash%demandShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return perSecond(s.rates[hash].decayTo(now))
}

// prune drops rarely used adapters, or all if none is rare enough.
func (s *demandShard) prune(now time.Time) {
	for h, d := range s.rates {
		if perSecond(d.decayTo(now)) < pruneBelow {
			delete(s.rates, h)
		}
	}
	if len(s.rates) >= maxShardEntries {
		clear(s.rates)
	}
}
