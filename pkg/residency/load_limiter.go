package residency

import (
	"math"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Parameters of the load limiter.
const (
	// maxConcurrentLoads is the highest number of adapters that one server loads at
	// a time.
	maxConcurrentLoads = 4
	// initialLimit is the limit until loads have shown how busy the weight store is,
	// and the lowest limit. After a restart of the fleet, all servers begin to load
	// at once.
	initialLimit = 1.0
	// slowFactor is the ratio to the fastest load above which a load counts as
	// slowed down by concurrent loads.
	slowFactor = 1.5
	// limitIncrease is added to the limit after a fast load; after a slow load, the
	// limit is multiplied by limitDecrease.
	limitIncrease = 0.5
	limitDecrease = 0.6
	// maxWarmLoadTime is the longest time of a warm load, which is one from the copy
	// of the adapter in the server's main memory. Such a load says nothing about the
	// weight store.
	maxWarmLoadTime = 120 * time.Millisecond
	// lostLoadTimeout is the time after the start of a load from which the load is
	// discarded if the server reports its adapter neither as loading nor as resident.
	lostLoadTimeout = time.Second
	// averageWeight is the weight of a new load time in the moving average of load
	// times.
	averageWeight = 0.3
	// DefaultLoadTime is the load time assumed before the first measured load. It
	// also caps the fastest load time that later loads are compared with.
	DefaultLoadTime = 300 * time.Millisecond
)

// LoadLimiter limits the number of adapters that one server loads at the same time.
// The weight store shares its bandwidth among all loads of the fleet: once it is
// saturated, further concurrent loads only slow each other down and delay the
// requests that wait for any of them. The limiter adapts to the times of its own
// server's loads and needs no communication between servers.
type LoadLimiter struct {
	limit   float64
	fastest time.Duration
	average time.Duration
	started map[fleet.AdapterKey]time.Time
}

// NewLoadLimiter returns a limiter that has observed no load.
func NewLoadLimiter() *LoadLimiter {
	return &LoadLimiter{limit: initialLimit, started: map[fleet.AdapterKey]time.Time{}}
}

// Limit returns the number of adapters that may be loaded at the same time.
func (l *LoadLimiter) Limit() int { return int(math.Floor(l.limit)) }

// LoadTime returns the average time of a load from the weight store, or
// DefaultLoadTime if none has been measured.
func (l *LoadLimiter) LoadTime() time.Duration {
	if l.average == 0 {
		return DefaultLoadTime
	}
	return l.average
}

// Started records the start of a load that the server accepted.
func (l *LoadLimiter) Started(now time.Time, k fleet.AdapterKey) { l.started[k] = now }

// Observe records the time of each started load that the report shows as complete,
// and discards the loads that are lost.
func (l *LoadLimiter) Observe(now time.Time, r *Report) {
	for k, at := range l.started {
		if _, loading := r.Loading[k]; loading {
			continue
		}
		took := now.Sub(at)
		if _, held := r.Residents[k]; held {
			l.recordLoadTime(took)
			delete(l.started, k)
		} else if took > lostLoadTimeout {
			delete(l.started, k)
		}
	}
}

// recordLoadTime updates the average and the limit with the time of one load.
func (l *LoadLimiter) recordLoadTime(took time.Duration) {
	if took <= maxWarmLoadTime {
		return
	}
	if l.fastest == 0 || took < l.fastest {
		l.fastest = took
	}
	if l.average == 0 {
		l.average = took
	}
	l.average += time.Duration(averageWeight * float64(took-l.average))
	fast := min(l.fastest, DefaultLoadTime)
	if float64(took) > slowFactor*float64(fast) {
		l.limit = max(l.limit*limitDecrease, initialLimit)
		return
	}
	l.limit = min(l.limit+limitIncrease, maxConcurrentLoads)
}
