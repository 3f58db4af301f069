// Package residency decides which models and adapters one model server loads and
// evicts. It derives the next order for the server from the server's report and the
// demand of the entries. It does no I/O.
package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// Report is the state that the server reports.
type Report struct {
	// Born differs between the lifetimes of the server.
	Born int64
	// Busy means that the server is carrying out an order that keeps others from
	// starting: a load of a model, or the replacement of an adapter that is in use.
	Busy bool
	// Sequence is the number of orders that the server has accepted in this
	// lifetime.
	Sequence int64
	// Models maps the base models that the server holds to their versions.
	Models map[string]int
	// Residents and Loading map the loaded adapters and those being loaded to their
	// versions.
	Residents map[fleet.AdapterKey]int
	Loading   map[fleet.AdapterKey]int
	InFlight  int
	Queued    int
	// CacheUsed and CacheTotal are the used and the total size of the KV cache in
	// tokens.
	CacheUsed  int64
	CacheTotal int64
	// Draining means that the server is about to shut down.
	Draining bool
	// Leaving means that the response that brought the report says that the server leaves.
	// Within the lifetime of the server, nothing takes that back.
	Leaving bool
}

// Operation is the kind of an order.
type Operation uint8

// Kinds of orders.
const (
	Load Operation = iota + 1
	Unload
)

// String returns the name of the operation on the wire and in logs.
func (o Operation) String() string {
	if o == Unload {
		return "unload"
	}
	return "load"
}

// Order is one command to the server.
type Order struct {
	Operation Operation
	// Key names the adapter. An empty adapter name means the model itself.
	Key fleet.AdapterKey
	// Version is the version of the adapter to load, or 0 for the newest.
	Version int
	// Expected is the sequence number that the server must have for it to accept the
	// order.
	Expected int64
	// Renewal means that the order is part of the renewal of an adapter: it is unloaded and
	// then loaded in the newest version.
	Renewal bool
	// Reason says why the order is given. It is written to the log.
	Reason string
}

// Demand is the demand of all entries for one adapter.
type Demand struct {
	InFlight int
	Waiting  int
	// Version is the lowest version that may serve the requests.
	Version int
	// Waited is how long the oldest waiting request has waited.
	Waited time.Duration
	// Slacks are the times within which the adapter must be loaded for waiting requests
	// to meet their latency targets, negative for missed targets. Not all waiting
	// requests may be listed.
	Slacks []time.Duration
}

const (
	// demandHalfLife is the half-life of the weight of past requests when the
	// adapter to evict is chosen.
	demandHalfLife = 10 * time.Second
	// recentUseWindow is how long an adapter is protected from eviction after a
	// request for it was sent. The demand reported by the entry may not include that
	// request yet.
	recentUseWindow = 300 * time.Millisecond
)

// usage is the past demand for one adapter.
type usage struct {
	// rate is the number of past requests, with exponential decay up to the time at.
	rate float64
	at   time.Time
	// last is the time of the latest request.
	last time.Time
}

// rateAt returns the rate, decayed to the given time.
func (u *usage) rateAt(now time.Time) float64 {
	return u.rate * math.Exp2(-now.Sub(u.at).Seconds()/demandHalfLife.Seconds())
}

// Planner chooses the orders for one server. It keeps the past demand for each
// adapter and is not safe for concurrent use.
type Planner struct {
	usageByAdapter map[fleet.AdapterKey]*usage
	limiter        *LoadLimiter
	warm           *WarmCopies
	// reloading is the base model that was unloaded last to be loaded again, or empty.
	reloading string
	// renewals maps the adapters that were unloaded to be loaded in a newer version to the
	// times at which that was ordered.
	renewals map[fleet.AdapterKey]time.Time
}

// New returns a planner without any past demand.
func New() *Planner {
	return &Planner{usageByAdapter: map[fleet.AdapterKey]*usage{}, limiter: NewLoadLimiter(), warm: NewWarmCopies(), renewals: map[fleet.AdapterKey]time.Time{}}
}

// LoadLimiter returns the limiter of the server's concurrent loads.
func (p *Planner) LoadLimiter() *LoadLimiter { return p.limiter }

// WarmCopies returns the estimated number of adapters that the server keeps in main
// memory, loaded ones included.
func (p *Planner) WarmCopies() int { return p.warm.Count() }

// Accepted records an order that the server has accepted.
func (p *Planner) Accepted(now time.Time, o Order) {
	if o.Operation == Load && o.Key.Name != "" {
		p.limiter.Started(now, o.Key)
		p.warm.started(o.Key, o.Version)
	}
	if o.Operation == Unload && o.Key.Name == "" {
		p.reloading = o.Key.Model
	}
	if o.Renewal && o.Operation == Unload {
		p.renewals[o.Key] = now
	}
}

// Arrived records n new requests for an adapter.
func (p *Planner) Arrived(now time.Time, k fleet.AdapterKey, n int) {
	u := p.usageByAdapter[k]
	if u == nil {
		u = &usage{at: now}
		p.usageByAdapter[k] = u
	}
	u.rate = u.rateAt(now) + float64(n)
	u.at = now
	if n > 0 {
		u.last = now
	}
}

// Input is the state that the next order is chosen from.
type Input struct {
	Now    time.Time
	Report *Report
	// Engine has the capacity limits of the server.
	Engine *route.Engine
	// DemandByAdapter is the current demand of all entries.
	DemandByAdapter map[fleet.AdapterKey]Demand
	// LoadsElsewhere is the number of adapters that the other servers are loading.
	LoadsElsewhere int
	// Versions are the versions that the operator has announced.
	Versions map[fleet.AdapterKey]fleet.Versions
	// ReloadModel is the base model whose outdated weights the server may unload and
	// load again, because all entries send their requests elsewhere, or empty for none.
	ReloadModel string
}

// newest returns the newest version of an adapter known to this process or an entry,
// or 0 if none is known.
func (in *Input) newest(k fleet.AdapterKey) int {
	return max(in.Versions[k].Newest(), in.DemandByAdapter[k].Version)
}

// Next returns the next order, or false if none is due.
func (p *Planner) Next(in *Input) (Order, bool) {
	if in.Report == nil || in.Engine == nil {
		return Order{}, false
	}
	for _, load := range p.limiter.Observe(in.Now, in.Report, in.LoadsElsewhere) {
		p.warm.ended(load.key, load.took)
	}
	p.warm.observe(in.Now, in.Report, in.Engine.MaxAdapters)
	if in.Report.Busy {
		return Order{}, false
	}
	if o, ok := p.loadModel(in); ok {
		return o, true
	}
	if o, ok := p.unloadModel(in); ok {
		return o, true
	}
	if o, ok := p.loadRenewed(in); ok {
		return o, true
	}
	if o, ok := p.unloadOutdated(in); ok {
		return o, true
	}
	return p.loadAdapter(in)
}

// loadModel returns an order for the model that was unloaded to be loaded again, or else
// for the first configured model that fits the memory of the server, if the server holds
// no model.
func (p *Planner) loadModel(in *Input) (Order, bool) {
	if len(in.Report.Models) > 0 {
		return Order{}, false
	}
	for _, m := range in.Engine.Models {
		if p.reloading != "" && m.Name != p.reloading {
			continue
		}
		if m.WeightMB <= in.Engine.WeightMB {
			return newOrder(in, Load, fleet.AdapterKey{Model: m.Name}, 0, "the server holds no model"), true
		}
	}
	return Order{}, false
}

// unloadModel returns an order to unload a base model whose weights are outdated, if the
// server may reload it and no request uses it. A server keeps the old weights when it is
// ordered to load a model that it holds, so the model has to be unloaded first, which
// also drops its adapters.
func (p *Planner) unloadModel(in *Input) (Order, bool) {
	k := fleet.AdapterKey{Model: in.ReloadModel}
	held, ok := in.Report.Models[in.ReloadModel]
	if !ok || len(in.Report.Models) > 1 || held >= in.newest(k) || in.inUse() {
		return Order{}, false
	}
	return newOrder(in, Unload, k, 0, "newer weights are announced"), true
}

// inUse reports whether any request runs or waits at the server, or a load is in
// progress.
func (in *Input) inUse() bool {
	if in.Report.InFlight > 0 || in.Report.Queued > 0 || len(in.Report.Loading) > 0 {
		return true
	}
	for _, d := range in.DemandByAdapter {
		if d.InFlight > 0 || d.Waiting > 0 {
			return true
		}
	}
	return false
}

// unloadOutdated returns an order to unload an adapter that the server holds in an older
// version than the newest, so that it can be loaded again. A load of the newer version in
// its place would keep the prompt parts cached for the older one, and servers that fetch
// from this one do not tell them apart. An unload waits until the running requests of the
// adapter have ended, and blocks all other orders meanwhile. Adapters in use are therefore
// skipped: entries soon send their requests to servers with the newer version.
func (p *Planner) unloadOutdated(in *Input) (Order, bool) {
	if len(in.Report.Loading) >= p.limiter.Limit() {
		return Order{}, false
	}
	var best fleet.AdapterKey
	rate := -1.0
	for k, held := range in.Report.Residents {
		if _, pending := p.renewals[k]; pending {
			continue
		}
		if in.newest(k) <= held || in.Report.Loading[k] > 0 || in.DemandByAdapter[k].InFlight > 0 {
			continue
		}
		if in.DemandByAdapter[k].Waiting == 0 && p.usedRecently(in.Now, k) {
			continue
		}
		if r := p.rate(in.Now, k); r > rate || r == rate && lessAdapter(k, best) {
			best, rate = k, r
		}
	}
	if rate < 0 {
		return Order{}, false
	}
	o := newOrder(in, Unload, best, 0, "a newer version is announced")
	o.Renewal = true
	return o, true
}

// renewalTimeout is how long after its unload an adapter is loaded again although no
// request waits for it.
const renewalTimeout = 2 * time.Second

// loadRenewed returns an order to load an adapter that was unloaded because a newer
// version of it is announced.
func (p *Planner) loadRenewed(in *Input) (Order, bool) {
	maps.DeleteFunc(p.renewals, func(k fleet.AdapterKey, at time.Time) bool {
		return in.Now.Sub(at) > renewalTimeout || in.Report.Loading[k] >= in.newest(k) || in.Report.Residents[k] >= in.newest(k)
	})
	if len(p.renewals) == 0 || len(in.Report.Loading) >= p.limiter.Limit() || Free(in.Report, in.Engine) == 0 {
		return Order{}, false
	}
	k := slices.MinFunc(slices.Collect(maps.Keys(p.renewals)), compareAdapters)
	if _, held := in.Report.Residents[k]; held {
		return Order{}, false // not unloaded yet
	}
	o := newOrder(in, Load, k, in.newest(k), "it was unloaded for a newer version")
	o.Renewal = true
	return o, true
}

// rate returns the decayed number of past requests for an adapter.
func (p *Planner) rate(now time.Time, k fleet.AdapterKey) float64 {
	if u := p.usageByAdapter[k]; u != nil {
		return u.rateAt(now)
	}
	return 0
}

// loadAdapter returns an order for the adapter whose load serves its requests best
// or, if there is no free slot, an order that evicts another adapter.
func (p *Planner) loadAdapter(in *Input) (Order, bool) {
	k, ok := p.bestLoad(in)
	if !ok || len(in.Report.Loading) >= p.limiter.Limit() {
		return Order{}, false
	}
	if Free(in.Report, in.Engine) > 0 {
		return newOrder(in, Load, k, in.newest(k), "requests wait for it"), true
	}
	victim, ok := p.victim(in)
	if !ok {
		return Order{}, false
	}
	return newOrder(in, Unload, victim, 0, "its place is needed"), true
}

// compareAdapters orders adapters by name so that ties are broken in the same way each
// time.
func compareAdapters(a, b fleet.AdapterKey) int {
	return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.Name, b.Name))
}

func lessAdapter(a, b fleet.AdapterKey) bool { return compareAdapters(a, b) < 0 }

func hasModel(r *Report, name string) bool {
	_, ok := r.Models[name]
	return ok
}

// Free returns how many more adapters the server can load within its adapter limit
// and its memory limit, without an eviction.
func Free(r *Report, e *route.Engine) int {
	held := len(r.Residents)
	for k := range r.Loading {
		if _, also := r.Residents[k]; !also {
			held++
		}
	}
	// A replacement may temporarily occupy the slots of both versions.
	held = max(held, len(r.Residents)+len(r.Loading))
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

// victim returns the evictable adapter in least demand, or false if there is none.
func (p *Planner) victim(in *Input) (fleet.AdapterKey, bool) {
	var best fleet.AdapterKey
	lowest := math.Inf(1)
	for k := range in.Report.Residents {
		if !p.evictable(in, k) {
			continue
		}
		if r := p.rate(in.Now, k); r < lowest || r == lowest && lessAdapter(k, best) {
			best, lowest = k, r
		}
	}
	return best, !math.IsInf(lowest, 1)
}

// evictable reports whether an adapter has no waiting, running or recent requests
// and is not being replaced.
func (p *Planner) evictable(in *Input, k fleet.AdapterKey) bool {
	w := in.DemandByAdapter[k]
	if w.InFlight > 0 || w.Waiting > 0 {
		return false
	}
	if _, loading := in.Report.Loading[k]; loading {
		return false
	}
	return !p.usedRecently(in.Now, k)
}

func (p *Planner) usedRecently(now time.Time, k fleet.AdapterKey) bool {
	u := p.usageByAdapter[k]
	return u != nil && now.Sub(u.last) < recentUseWindow
}

// Evictable returns the number of adapters that can be evicted now.
func (p *Planner) Evictable(in *Input) int {
	n := 0
	for k := range in.Report.Residents {
		if p.evictable(in, k) {
			n++
		}
	}
	return n
}

func newOrder(in *Input, op Operation, k fleet.AdapterKey, version int, reason string) Order {
	return Order{Operation: op, Key: k, Version: version, Expected: in.Report.Sequence, Reason: reason}
}
