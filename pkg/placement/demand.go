package placement

import (
	"math"
	"sync"
	"time"
)

// Parameters of the demand counters.
const (
	// demandHalfLife is the time in which a counter without requests falls by half.
	demandHalfLife = 10 * time.Second
	// demandShards is the number of separately locked shards of the counters.
	demandShards = 64
	// maxShardEntries bounds the number of counters in a shard.
	maxShardEntries = 2048
	// pruneBelow is the rate in requests/s below which a counter is deleted when its
	// shard is full.
	pruneBelow = 0.05
)

// demand holds an exponentially decayed request rate for each adapter, indexed by
// the hash of the adapter. It is safe for concurrent use.
type demand struct{ shards [demandShards]demandShard }

type demandShard struct {
	mu    sync.Mutex
	rates map[uint64]decayed
}

// decayed is an exponentially decayed sum, as of the time at.
type decayed struct {
	value float64
	at    time.Time
}

// decayTo returns the value decayed to a later time.
func (d decayed) decayTo(now time.Time) float64 {
	age := now.Sub(d.at)
	if age <= 0 {
		return d.value
	}
	return d.value * math.Exp2(-float64(age)/float64(demandHalfLife))
}

// perSecond converts a decayed sum, in which each request counts 1, to requests/s.
func perSecond(value float64) float64 { return value * math.Ln2 / demandHalfLife.Seconds() }

// add counts one request and returns the request rate of the adapter in requests/s.
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

// rate returns the request rate of an adapter in requests/s.
func (d *demand) rate(now time.Time, hash uint64) float64 {
	s := &d.shards[hash%demandShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return perSecond(s.rates[hash].decayTo(now))
}

// prune deletes the counters of rarely used adapters. If the shard is still full, it
// deletes all of them.
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
