// Package residency decides which models and adapters one model server holds: it
// turns the server's report and the demand of the entries into the next order.
// It does no I/O.
package residency

import (
	"math"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// Report is what the server says of itself.
type Report struct {
	// Born tells the lifetimes of the server apart.
	Born int64
	// Busy means that an order is being carried out that keeps others from starting:
	// one for a model, or the replacement of an adapter that is in use.
	Busy bool
	// Sequence is the number of orders that the server has accepted.
	Sequence int64
	// Models maps the base models that the server holds to their versions.
	Models map[string]int
	// Residents and Coming map adapters to their versions.
	Residents map[fleet.AdapterKey]int
	Coming    map[fleet.AdapterKey]int
	InFlight  int
	Queued    int
	// CacheUsed and CacheTotal are tokens of KV cache.
	CacheUsed  int64
	CacheTotal int64
	// Draining means that the server is about to leave.
	Draining bool
}

// Operation is the kind of an order.
type Operation uint8

// Kinds of orders.
const (
	Load Operation = iota + 1
	Unload
)

// String returns the name used in logs.
func (o Operation) String() string {
	if o == Unload {
		return "unload"
	}
	return "load"
}

// Order is one command to the server.
type Order struct {
	Operation Operation
	Key       fleet.AdapterKey
	// Version of the adapter to load, or 0 for the newest.
	Version int
	// Expected is the sequence at which the order may be carried out.
	Expected int64
	// Reason says why, for the log line.
	Reason string
}

// Demand is the demand of all entries for one adapter.
type Demand struct {
	InFlight int
	Waiting  int
	// Version is the lowest version that may answer.
	Version int
	// Waited is the age of the oldest waiting request.
	Waited time.Duration
}

const (
	// demandHalfLife is how fast past requests lose their weight for the choice of
	// the adapter to evict.
	demandHalfLife = 10 * time.Second
	// recentUse protects an adapter from eviction shortly after a request for it
	// was sent, which the demand of its entry may not show yet.
	recentUse = 300 * time.Millisecond
)

// usage is the demand for one adapter so far.
type usage struct {
	rate float64
	at   time.Time
	last time.Time
}

func (u *usage) get(now time.Time) float64 {
	return u.rate * math.Exp2(-now.Sub(u.at).Seconds()/demandHalfLife.Seconds())
}

// Planner holds the demand so far. It is used from one goroutine.
type Planner struct {
	used map[fleet.AdapterKey]*usage
	pace *LoadLimiter
}

// New returns a planner without history.
func New() *Planner { return &Planner{used: map[fleet.AdapterKey]*usage{}, pace: NewLoadLimiter()} }

// LoadLimiter returns the pace of the loads.
func (p *Planner) LoadLimiter() *LoadLimiter { return p.pace }

// Accepted records an order that the server accepted.
func (p *Planner) Accepted(now time.Time, o Order) {
	if o.Operation == Load && o.Key.Name != "" {
		p.pace.Started(now, o.Key)
	}
}

// Arrived counts requests for an adapter.
func (p *Planner) Arrived(now time.Time, k fleet.AdapterKey, n int) {
	u := p.used[k]
	if u == nil {
		u = &usage{at: now}
		p.used[k] = u
	}
	u.rate = u.get(now) + float64(n)
	u.at = now
	if n > 0 {
		u.last = now
	}
}

// Input is what the next order depends on.
type Input struct {
	Now    time.Time
	Report *Report
	// Engine has the limits of the server.
	Engine          *route.Engine
	DemandByAdapter map[fleet.AdapterKey]Demand
	// Versions are the newest versions that the operator named.
	Versions map[fleet.AdapterKey]fleet.NewestVersion
}

// newest returns the newest version of an adapter that this process or an entry has
// heard of, or 0.
func (in *Input) newest(k fleet.AdapterKey) int {
	return max(in.Versions[k].Version, in.DemandByAdapter[k].Version)
}

// Next returns the next order, or false if none is due.
func (p *Planner) Next(in *Input) (Order, bool) {
	if in.Report == nil || in.Engine == nil {
		return Order{}, false
	}
	p.pace.Observe(in.Now, in.Report)
	if in.Report.Busy {
		return Order{}, false
	}
	if o, ok := p.loadModel(in); ok {
		return o, true
	}
	if o, ok := p.replace(in); ok {
		return o, true
	}
	return p.loadAdapter(in)
}

// loadModel orders the first configured model that fits and is not there.
func (p *Planner) loadModel(in *Input) (Order, bool) {
	if len(in.Report.Models) > 0 {
		return Order{}, false
	}
	for _, m := range in.Engine.Models {
		if m.WeightMB <= in.Engine.WeightMB {
			return order(in, Load, fleet.AdapterKey{Model: m.Name}, 0, "the server holds no model"), true
		}
	}
	return Order{}, false
}

// replace orders the newest version of an adapter that the server holds in an
// older one. A replacement waits for the runs of the adapter and keeps all other
// orders waiting, so an adapter in use is left alone: entries soon send its
// requests to servers with the newer version.
func (p *Planner) replace(in *Input) (Order, bool) {
	if len(in.Report.Coming) >= p.pace.Limit() {
		return Order{}, false
	}
	var best fleet.AdapterKey
	rate := -1.0
	for k, held := range in.Report.Residents {
		if in.newest(k) <= held || in.Report.Coming[k] > 0 || in.DemandByAdapter[k].InFlight > 0 {
			continue
		}
		if r := p.rate(in.Now, k); r > rate || r == rate && before(k, best) {
			best, rate = k, r
		}
	}
	if rate < 0 {
		return Order{}, false
	}
	return order(in, Load, best, in.newest(best), "a newer version was named"), true
}

func (p *Planner) rate(now time.Time, k fleet.AdapterKey) float64 {
	if u := p.used[k]; u != nil {
		return u.get(now)
	}
	return 0
}

// loadAdapter orders the adapter whose requests have waited longest, after making
// room for it.
func (p *Planner) loadAdapter(in *Input) (Order, bool) {
	k, ok := p.mostWanted(in)
	if !ok || len(in.Report.Coming) >= p.pace.Limit() {
		return Order{}, false
	}
	if Free(in.Report, in.Engine) > 0 {
		return order(in, Load, k, in.newest(k), "requests wait for it"), true
	}
	victim, ok := p.victim(in)
	if !ok {
		return Order{}, false
	}
	return order(in, Unload, victim, 0, "its place is needed"), true
}

func (p *Planner) mostWanted(in *Input) (fleet.AdapterKey, bool) {
	var best fleet.AdapterKey
	found := false
	for k, w := range in.DemandByAdapter {
		if w.Waiting <= 0 || k.Name == "" || !hasModel(in.Report, k.Model) {
			continue
		}
		if _, held := in.Report.Residents[k]; held {
			continue // a newer version is a replacement
		}
		if _, coming := in.Report.Coming[k]; coming {
			continue
		}
		longest := in.DemandByAdapter[best].Waited
		if !found || w.Waited > longest || w.Waited == longest && before(k, best) {
			best, found = k, true
		}
	}
	return best, found
}

// before orders adapters, so that equal ones are decided the same way each time.
func before(a, b fleet.AdapterKey) bool {
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	return a.Name < b.Name
}

func hasModel(r *Report, name string) bool {
	_, ok := r.Models[name]
	return ok
}

// Free returns how many more adapters the server can fetch.
func Free(r *Report, e *route.Engine) int {
	held := len(r.Residents)
	for k := range r.Coming {
		if _, also := r.Residents[k]; !also {
			held++
		}
	}
	// A replacement may hold both versions for a while.
	held = max(held, len(r.Residents)+len(r.Coming))
	free := e.MaxAdapters - held
	weight := 0.0
	size := 0.0
	for _, m := range e.Models {
		if hasModel(r, m.Name) {
			weight += m.WeightMB
		}
		size = max(size, m.AdapterMB)
	}
	if size > 0 {
		free = min(free, int((e.WeightMB-weight)/size)-held)
	}
	return max(free, 0)
}

// victim returns the adapter in least demand that no request uses.
func (p *Planner) victim(in *Input) (fleet.AdapterKey, bool) {
	var best fleet.AdapterKey
	lowest := math.Inf(1)
	for k := range in.Report.Residents {
		if !p.evictable(in, k) {
			continue
		}
		if r := p.rate(in.Now, k); r < lowest || r == lowest && before(k, best) {
			best, lowest = k, r
		}
	}
	return best, !math.IsInf(lowest, 1)
}

func (p *Planner) evictable(in *Input, k fleet.AdapterKey) bool {
	w := in.DemandByAdapter[k]
	if w.InFlight > 0 || w.Waiting > 0 {
		return false
	}
	if _, coming := in.Report.Coming[k]; coming {
		return false
	}
	u := p.used[k]
	return u == nil || in.Now.Sub(u.last) >= recentUse
}

// Evictable returns the number of adapters that could give way now.
func (p *Planner) Evictable(in *Input) int {
	n := 0
	for k := range in.Report.Residents {
		if p.evictable(in, k) {
			n++
		}
	}
	return n
}

func order(in *Input, op Operation, k fleet.AdapterKey, version int, reason string) Order {
	return Order{Operation: op, Key: k, Version: version, Expected: in.Report.Sequence, Reason: reason}
}
