package residency

import (
	"math"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Limits of the pace.
const (
	// maxComing is the number of adapters that may be on their way to one server.
	maxComing = 4
	// firstLimit applies until loads have shown how busy the weight store is. After
	// a restart of the fleet all servers begin to load at once.
	firstLimit = 1.0
	// slowFactor is the ratio to the fastest load from which on a load counts as
	// slowed down by others.
	slowFactor = 1.5
	// limitStep and limitCut change the limit after a fast and a slow load.
	limitStep = 0.5
	limitCut  = 0.6
	// warmLoad is the longest load that comes from the server's own copy. It says
	// nothing of the weight store.
	warmLoad = 120 * time.Millisecond
	// lostLoad is how long a load may be neither on its way nor there before it is
	// forgotten.
	lostLoad = time.Second
	// timeWeight is the weight of a new load in the average time.
	timeWeight = 0.3
	// DefaultLoadTime stands in for the average before the first load.
	DefaultLoadTime = 300 * time.Millisecond
)

// LoadLimiter bounds the adapters that one server fetches at the same time. The weight
// store shares its rate among all loads of the fleet: beyond it, more loads at a
// time only make each of them slower, so that nobody is served early. The pace
// learns from the time of its own loads, without a word between servers.
type LoadLimiter struct {
	limit   float64
	fastest time.Duration
	average time.Duration
	started map[fleet.AdapterKey]time.Time
}

// NewLoadLimiter returns a pace that has seen no load.
func NewLoadLimiter() *LoadLimiter {
	return &LoadLimiter{limit: firstLimit, started: map[fleet.AdapterKey]time.Time{}}
}

// Limit returns the number of adapters that may be on their way.
func (p *LoadLimiter) Limit() int { return int(math.Floor(p.limit)) }

// LoadTime returns the average time of a load from the weight store.
func (p *LoadLimiter) LoadTime() time.Duration {
	if p.average == 0 {
		return DefaultLoadTime
	}
	return p.average
}

// Started records a load that the server accepted.
func (p *LoadLimiter) Started(now time.Time, k fleet.AdapterKey) { p.started[k] = now }

// Observe records the loads that a report shows as ended.
func (p *LoadLimiter) Observe(now time.Time, r *Report) {
	for k, at := range p.started {
		if _, coming := r.Coming[k]; coming {
			continue
		}
		took := now.Sub(at)
		if _, held := r.Residents[k]; held {
			p.ended(took)
			delete(p.started, k)
		} else if took > lostLoad {
			delete(p.started, k)
		}
	}
}

func (p *LoadLimiter) ended(took time.Duration) {
	if took <= warmLoad {
		return
	}
	if p.fastest == 0 || took < p.fastest {
		p.fastest = took
	}
	if p.average == 0 {
		p.average = took
	}
	p.average += time.Duration(timeWeight * float64(took-p.average))
	fast := min(p.fastest, DefaultLoadTime)
	if float64(took) > slowFactor*float64(fast) {
		p.limit = max(p.limit*limitCut, firstLimit)
		return
	}
	p.limit = min(p.limit+limitStep, maxComing)
}
