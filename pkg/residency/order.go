package residency

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// lateShare is the value of a waiting request that misses its latency target, relative
// to one that meets it.
const lateShare = 0.3

// loadValue is what the load of one adapter is worth to the requests that wait for it.
type loadValue struct {
	// value is the number of requests that the load serves in time, plus lateShare for
	// each further one.
	value float64
	// slack is the shortest slack among the requests that are served in time.
	slack time.Duration
	// waited is how long the oldest request has waited.
	waited time.Duration
}

// valueOf returns the value of a load that takes the given time.
func valueOf(d Demand, loadTime time.Duration) loadValue {
	v := loadValue{waited: d.Waited}
	inTime := 0
	for _, slack := range d.Slacks {
		if slack < loadTime {
			continue
		}
		if inTime == 0 || slack < v.slack {
			v.slack = slack
		}
		inTime++
	}
	v.value = float64(inTime) + lateShare*float64(d.Waiting-inTime)
	return v
}

// before reports whether the load comes before another one: the more valuable load
// first, then the one whose requests have less time left, then the one that requests
// have waited for longer.
func (v loadValue) before(w loadValue) bool {
	if v.value != w.value {
		return v.value > w.value
	}
	if v.slack != w.slack {
		return v.slack < w.slack
	}
	return v.waited > w.waited
}

// bestLoad returns the adapter whose load is worth most among those that are neither
// loaded nor being loaded. While more loads are due than the weight store can deliver,
// this order serves requests that are still in time before those that are already
// late. In order of arrival, each load would come too late for the requests that wait
// for it until the backlog is gone.
func (p *Planner) bestLoad(in *Input) (fleet.AdapterKey, bool) {
	var (
		best  fleet.AdapterKey
		value loadValue
		found bool
	)
	loadTime := p.limiter.LoadTime()
	for k, d := range in.DemandByAdapter {
		if !due(in.Report, k, d) {
			continue
		}
		v := valueOf(d, loadTime)
		if !found || v.before(value) || v == value && lessAdapter(k, best) {
			best, value, found = k, v, true
		}
	}
	return best, found
}

// due reports whether requests wait for an adapter that is neither loaded nor being
// loaded. Planner.unloadOutdated and loadRenewed take care of loaded adapters in older
// versions.
func due(r *Report, k fleet.AdapterKey, d Demand) bool {
	if d.Waiting <= 0 || k.Name == "" || !hasModel(r, k.Model) {
		return false
	}
	_, held := r.Residents[k]
	_, loading := r.Loading[k]
	return !held && !loading
}
