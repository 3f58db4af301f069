package locality

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/pace"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
)

// simServer is a model server that processes prompts one after the other and has room
// for a few adapters.
type simServer struct {
	endpoint *fleet.Endpoint
	planner  *residency.Planner
	report   *residency.Report
	loads    map[fleet.AdapterKey]time.Duration
	cold     map[fleet.AdapterKey]bool
	copies   []fleet.AdapterKey
	waiting  map[fleet.AdapterKey][]*simRequest
	// preloads holds, for each adapter that an entry has asked the server to load before
	// requests need it, when that ends.
	preloads map[fleet.AdapterKey]time.Time
	// modelBy is when the load of the base model ends, if one is in progress.
	modelBy     time.Time
	inFlight    map[fleet.AdapterKey]int
	promptQueue []*simRequest
	pace        pace.Estimator
	running     map[*simRequest]time.Time
}

func (s *sim) dispatch(r *simRequest) {
	s.view = s.rng.IntN(max(len(s.views), 1))
	req := &Request{Now: s.now, Key: r.key, PromptTokens: r.prompt, Priority: r.priority()}
	req.Version, req.Upcoming = s.versions[r.key].Required(s.now), s.versions[r.key].Required(s.now.Add(RenewalLead))
	req.Reloading = s.reloading
	if r.key.Name == "" {
		req.Version, req.Upcoming = 0, s.weights
	}
	r.required = req.Version
	srv, ok := s.choose(req, s)
	if !ok {
		return
	}
	r.server = srv
	r.entry = s.entryView(srv)
	srv.planner.Arrived(s.now, r.key, 1)
	if srv.held(r.key) >= max(req.Version, 1) {
		srv.start(s.now, r)
		return
	}
	r.waited = true
	r.uncovered = !slices.ContainsFunc(s.servers, func(v *simServer) bool { return v.report.Residents[r.key] >= max(req.Version, 1) })
	srv.waiting[r.key] = append(srv.waiting[r.key], r)
	for _, known := range r.views() {
		known.StartWait(r.key, r.priority(), int64(r.prompt))
	}
}

// held returns the version of an adapter, or of the base model, at a server, or 0 if the
// server does not hold it.
func (v *simServer) held(k fleet.AdapterKey) int {
	if k.Name == "" {
		return v.report.Models[k.Model]
	}
	return v.report.Residents[k]
}

// orderModel carries out an order for the base model.
func (v *simServer) orderModel(now time.Time, o residency.Order) {
	if o.Operation == residency.Unload {
		clear(v.report.Models)
		clear(v.report.Residents)
		return
	}
	v.report.Busy = true
	v.modelBy = now.Add(reloadTime)
}

func (v *simServer) start(now time.Time, r *simRequest) {
	v.inFlight[r.key]++
	ahead := v.endpoint.Runtime.OwnBacklog().Ahead(r.priority())
	r.startedAt = now
	r.expected = baseFirstEventTime + time.Duration(float64(ahead+int64(r.prompt))/tokensPerMS*float64(time.Millisecond))
	r.version = v.held(r.key)
	for _, known := range r.views() {
		known.Backlog[r.priority()].Add(int64(r.prompt))
	}
	v.promptQueue = append(v.promptQueue, r)
	slices.SortStableFunc(v.promptQueue, func(a, b *simRequest) int { return a.priority() - b.priority() })
}

// read advances the processing of the prompts in the queue of a server by one step
// of time.
func (s *sim) read(v *simServer) {
	budget := tokensPerMS * float64(simStep/time.Millisecond) / s.slowdown(v)
	for budget > 0 && len(v.promptQueue) > 0 {
		r := v.promptQueue[0]
		used := min(budget, float64(r.prompt)-r.read)
		r.read += used
		budget -= used
		if r.read < float64(r.prompt) {
			return
		}
		v.promptQueue = v.promptQueue[1:]
		r.first = s.now.Sub(r.at)
		v.pace.Add(s.now, pace.Samples{Expected: r.expected, Actual: s.now.Sub(r.startedAt)})
		for _, known := range r.views() {
			known.Backlog[r.priority()].Add(-int64(r.prompt))
		}
		v.running[r] = s.now.Add(r.run)
	}
}

// slowdown returns the factor by which a server now takes longer than usual.
func (s *sim) slowdown(v *simServer) float64 {
	since := s.now.Sub(s.started)
	if len(s.l.speeds) > 0 {
		return 1 / s.l.speeds[slices.Index(s.servers, v)%len(s.l.speeds)]
	}
	if since < s.l.slowFrom || since >= s.l.slowUntil || slices.Index(s.servers, v) >= s.l.slow {
		return 1
	}
	return s.l.slowFactor
}

// advanceLoads advances all loads by one step of time. Loads from the weight store
// share its bandwidth.
func (s *sim) advanceLoads() {
	n := 0
	for _, v := range s.servers {
		n += len(v.cold)
	}
	fullRate := cmp.Or(s.l.fullRateLoads, defaultFullRateLoads)
	share := min(1, float64(fullRate)/float64(max(n, 1)))
	for _, v := range s.servers {
		for _, k := range v.loading() {
			left := v.loads[k]
			progress := simStep
			if v.cold[k] {
				progress = time.Duration(share * float64(simStep))
			}
			if v.loads[k] = left - progress; v.loads[k] > 0 {
				continue
			}
			delete(v.loads, k)
			delete(v.cold, k)
			v.report.Residents[k] = v.report.Loading[k]
			delete(v.report.Loading, k)
			v.copies = append(slices.DeleteFunc(v.copies, func(c fleet.AdapterKey) bool { return c == k }), k)
			v.copies = v.copies[max(0, len(v.copies)-maxWarmCopies):]
			for _, r := range v.waiting[k] {
				for _, known := range r.views() {
					known.EndWait(r.key, r.priority(), int64(r.prompt))
				}
				v.start(s.now, r)
			}
			delete(v.waiting, k)
		}
	}
}

// loading returns the adapters that are being loaded, ordered by name.
func (v *simServer) loading() []fleet.AdapterKey {
	return slices.SortedFunc(maps.Keys(v.loads), func(a, b fleet.AdapterKey) int { return strings.Compare(a.Name, b.Name) })
}

func (v *simServer) input(s *sim) *residency.Input {
	wants := map[fleet.AdapterKey]residency.Demand{}
	for k, n := range v.inFlight {
		wants[k] = residency.Demand{InFlight: n}
	}
	for k, list := range v.waiting {
		w := wants[k]
		w.Waiting, w.Waited = len(list), s.now.Sub(list[0].at)
		for _, r := range list {
			if !s.l.ignoreSlack {
				w.Slacks = append(w.Slacks, r.slack(s.now))
			}
		}
		w.Version = s.versions[k].Required(s.now)
		wants[k] = w
	}
	for k, until := range v.preloads {
		if s.now.Before(until) {
			w := wants[k]
			w.Waiting++
			wants[k] = w
		}
	}
	return &residency.Input{Now: s.now, Report: v.report, Engine: s.engine, DemandByAdapter: wants, LoadsElsewhere: s.loading() - len(v.loads), Versions: s.versions}
}

// loading returns the number of loads that run at all servers.
func (s *sim) loading() int {
	n := 0
	for _, v := range s.servers {
		n += len(v.loads)
	}
	return n
}

func (s *sim) planLoads(v *simServer) {
	if s.now.Sub(s.started) < s.l.modelLoad {
		return
	}
	for range 4 {
		in := v.input(s)
		if slices.Contains(s.reloading, v.endpoint.ID) {
			in.ReloadModel = "m"
		}
		o, ok := v.planner.Next(in)
		if !ok {
			return
		}
		v.report.Sequence++
		v.planner.Accepted(s.now, o)
		if o.Key.Name == "" {
			v.orderModel(s.now, o)
			continue
		}
		if o.Operation == residency.Unload {
			delete(v.report.Residents, o.Key)
			continue
		}
		v.report.Loading[o.Key] = max(o.Version, 1)
		v.loads[o.Key] = warmLoadTime
		if !slices.Contains(v.copies, o.Key) {
			v.loads[o.Key] = cmp.Or(s.l.coldLoad, defaultColdLoad)
			v.cold[o.Key] = true
			s.storeLoads++
		}
	}
}

func (v *simServer) state(s *sim) *fleet.Status {
	in := v.input(s)
	st := &fleet.Status{
		ReceivedAt: s.now, Models: maps.Clone(v.report.Models), Residents: map[fleet.AdapterKey]int{}, Loading: map[fleet.AdapterKey]int{},
		Free: residency.Free(v.report, s.engine), Evictable: v.planner.Evictable(in),
		WarmCopies: v.planner.WarmCopies(),
		Backlog:    v.endpoint.Runtime.OwnBacklog(),
		LoadTime:   v.planner.LoadLimiter().LoadTime(), LoadLimit: v.planner.LoadLimiter().Limit(),
	}
	if !s.l.ignorePace {
		st.Slowdown = v.pace.Slowdown(s.now)
	}
	for k, version := range v.report.Residents {
		st.Residents[k] = version
	}
	for k, version := range v.report.Loading {
		st.Loading[k] = version
	}
	for k := range v.waiting {
		if st.Loading[k] == 0 {
			st.PendingLoads++
		}
	}
	return st
}

func (v *simServer) queued() int64 {
	return v.endpoint.Runtime.OwnBacklog().Ahead(fleet.PriorityClasses-1) + v.endpoint.Runtime.Waiting.Load()*longPrompt
}
