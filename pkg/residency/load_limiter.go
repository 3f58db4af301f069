package residency

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Parameters of the load limiter.
const (
	// maxConcurrentLoads is the highest number of adapters that one server loads at
	// a time.
	maxConcurrentLoads = 4
	// initialCapacity is the capacity of the weight store that is assumed until loads
	// have shown it. After a restart of the fleet, all servers begin to load at once.
	initialCapacity = 1.0
	// slowFactor is the ratio of the average to the fastest average load time above
	// which the weight store counts as saturated.
	slowFactor = 1.25
	// capacityGrowth multiplies the capacity after a load until the weight store is
	// saturated for the first time. After that, capacityStep is added instead.
	capacityGrowth = 1.5
	capacityStep   = 0.5
	// capacityWeight is the weight of a new estimate of the capacity.
	capacityWeight = 0.3
	// maxWarmLoadTime is the longest time of a warm load, which is one from the copy
	// of the adapter in the server's main memory. Such a load says nothing about the
	// weight store.
	maxWarmLoadTime = 120 * time.Millisecond
	// lostLoadTimeout is the time after the start of a load from which the load is
	// discarded if the server reports its adapter neither as loading nor as resident.
	lostLoadTimeout = time.Second
	// averageWeight is the weight of a new load in the moving averages. A single load
	// time includes the interval between two reports.
	averageWeight = 0.3
	// DefaultLoadTime is the load time assumed before the first measured load. Until the
	// full rate of the weight store is known, it also caps the fastest load time that
	// others are compared with: after a restart of the fleet, all loads may be slow.
	DefaultLoadTime = 300 * time.Millisecond
)

// LoadLimiter limits the number of adapters that one server loads at the same time.
// The weight store shares its bandwidth among all loads of the fleet: beyond its
// capacity, further concurrent loads only slow each other down and delay the requests
// that wait for any of them. The limiter estimates the capacity from the times of its
// own server's loads and from the number of loads that other servers ran meanwhile.
// It leaves a server that needs many adapters at once what the others do not use.
type LoadLimiter struct {
	// capacity is the estimated number of concurrent loads of all servers that the
	// weight store serves at its full rate.
	capacity float64
	// saturated is true once loads were slowed down by others.
	saturated bool
	// elsewhere is the number of loads that run at other servers.
	elsewhere int
	// average is the moving average of the load times, and fastest its lowest value.
	average time.Duration
	fastest time.Duration
	// concurrent is the moving average of the number of loads of all servers.
	concurrent float64
	// fewest and most are the loads that ran beside the fewest and the most others.
	fewest, most sample
	// fullRateKnown is true once loads beside few and beside many others took equally
	// long, so that neither were slowed down.
	fullRateKnown bool
	started       map[fleet.AdapterKey]startedLoad
}

// sample is the duration of a load beside a number of concurrent ones.
type sample struct {
	concurrent float64
	took       time.Duration
}

const (
	// minSpread is the ratio of the numbers of concurrent loads from which the times of
	// two loads are compared, and maxDifference the ratio of their times up to which
	// they count as equal.
	minSpread     = 1.5
	maxDifference = 1.15
)

// learnFullRate sets fullRateKnown if the load is evidence of it.
func (l *LoadLimiter) learnFullRate(s sample) {
	if l.fewest.took == 0 || s.concurrent < l.fewest.concurrent {
		l.fewest = s
	}
	if s.concurrent > l.most.concurrent {
		l.most = s
	}
	spread := l.most.concurrent / l.fewest.concurrent
	difference := float64(l.most.took) / float64(l.fewest.took)
	if spread >= minSpread && difference <= maxDifference {
		l.fullRateKnown = true
	}
}

// fullRateTime returns the time of a load that is not slowed down by others.
func (l *LoadLimiter) fullRateTime() time.Duration {
	if l.fullRateKnown {
		return l.fastest
	}
	return min(l.fastest, DefaultLoadTime)
}

// startedLoad is a load that was ordered and has not completed.
type startedLoad struct {
	// at is when the load was ordered or, once the server has reported it, when the
	// first such report was read. A server may carry out an order late.
	at       time.Time
	reported bool
	// concurrent is the number of loads of all servers at its start, itself included.
	concurrent int
}

// NewLoadLimiter returns a limiter that has observed no load.
func NewLoadLimiter() *LoadLimiter {
	return &LoadLimiter{capacity: initialCapacity, started: map[fleet.AdapterKey]startedLoad{}}
}

// Limit returns the number of adapters that the server may load at the same time,
// which is at least 1.
func (l *LoadLimiter) Limit() int {
	return max(1, min(int(l.capacity)-l.elsewhere, maxConcurrentLoads))
}

// Capacity returns the estimated number of concurrent loads of all servers that the
// weight store serves at its full rate.
func (l *LoadLimiter) Capacity() float64 { return l.capacity }

// LoadTime returns the average time of a load from the weight store, or
// DefaultLoadTime if none has been measured.
func (l *LoadLimiter) LoadTime() time.Duration {
	if l.average == 0 {
		return DefaultLoadTime
	}
	return l.average
}

// Started records the start of a load that the server accepted.
func (l *LoadLimiter) Started(now time.Time, k fleet.AdapterKey) {
	l.started[k] = startedLoad{at: now, concurrent: l.elsewhere + len(l.started) + 1}
}

// completedLoad is a load that a report has shown as complete.
type completedLoad struct {
	key  fleet.AdapterKey
	took time.Duration
}

// Observe records the number of loads at other servers and the time of each started
// load that the report shows as complete, and discards the loads that are lost. It
// returns the complete ones.
func (l *LoadLimiter) Observe(now time.Time, r *Report, elsewhere int) []completedLoad {
	var done []completedLoad
	l.elsewhere = elsewhere
	for k, load := range l.started {
		if _, loading := r.Loading[k]; loading {
			l.started[k] = load.reportedAt(now)
			continue
		}
		took := now.Sub(load.at)
		if _, held := r.Residents[k]; held {
			concurrent := float64(load.concurrent+elsewhere+len(l.started)) / 2
			l.recordLoad(took, concurrent)
			done = append(done, completedLoad{key: k, took: took})
			delete(l.started, k)
		} else if took > lostLoadTimeout {
			delete(l.started, k)
		}
	}
	return done
}

// reportedAt returns the load as of a report that lists it.
func (s startedLoad) reportedAt(now time.Time) startedLoad {
	if !s.reported {
		s.at, s.reported = now, true
	}
	return s
}

// recordLoad updates the load times and the capacity with one load, during which the
// given number of loads ran on average.
func (l *LoadLimiter) recordLoad(took time.Duration, concurrent float64) {
	if took <= maxWarmLoadTime {
		return
	}
	if l.average == 0 {
		l.average, l.fastest, l.concurrent = took, took, concurrent
	}
	l.average += time.Duration(averageWeight * float64(took-l.average))
	l.concurrent += averageWeight * (concurrent - l.concurrent)
	l.fastest = min(l.fastest, l.average)
	l.learnFullRate(sample{concurrent: concurrent, took: took})
	slowdown := float64(l.average) / float64(l.fullRateTime())
	switch {
	case slowdown > slowFactor:
		l.saturated = true
		l.capacity += capacityWeight * (l.concurrent/slowdown - l.capacity)
	case !l.saturated:
		l.capacity = max(l.capacity, l.concurrent*capacityGrowth)
	case l.concurrent > l.capacity-1:
		// Loads are fast at full use of the capacity, so there is more of it.
		l.capacity = max(l.capacity, l.concurrent) + capacityStep
	}
	l.capacity = max(l.capacity, initialCapacity)
}
