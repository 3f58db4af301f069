package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

var (
	start  = time.Unix(1000, 0)
	engine = &route.Engine{MaxAdapters: 3, WeightMB: 1000, Models: []route.Model{{Name: "m", WeightMB: 800, AdapterMB: 60}}}
)

func key(i int) fleet.AdapterKey { return fleet.AdapterKey{Model: "m", Name: fmt.Sprintf("a%d", i)} }

func report(residents ...int) *Report {
	r := &Report{Models: map[string]int{"m": 1}, Residents: map[fleet.AdapterKey]int{}, Loading: map[fleet.AdapterKey]int{}, Sequence: 7}
	for _, i := range residents {
		r.Residents[key(i)] = 1
	}
	return r
}

// announced returns the versions after one announcement for an adapter.
func announced(k fleet.AdapterKey, version int) map[fleet.AdapterKey]fleet.Versions {
	d := fleet.NewDirectory()
	d.SetVersion(start.Add(-time.Minute), fleet.AdapterVersion{Model: k.Model, Adapter: k.Name, Version: version})
	return d.Snapshot().Versions
}

func input(r *Report, demand map[fleet.AdapterKey]Demand) *Input {
	return &Input{Now: start, Report: r, Engine: engine, DemandByAdapter: demand}
}

// Guards against requests that keep waiting for a load although the server has a
// free slot.
func TestLoadsWhatRequestsWaitFor(t *testing.T) {
	o, ok := New().Next(input(report(1), map[fleet.AdapterKey]Demand{
		key(1): {InFlight: 5},
		key(2): {Waiting: 1, Waited: time.Second},
	}))
	assert.Assert(t, ok)
	assert.DeepEqual(t, o, Order{Operation: Load, Key: key(2), Expected: 7, Reason: o.Reason})
}

// Guards against evicting an adapter that a request uses, or one with more demand
// than another.
func TestEvictsTheLeastWanted(t *testing.T) {
	p := New()
	p.Arrived(start.Add(-2*time.Second), key(1), 5)
	p.Arrived(start.Add(-2*time.Second), key(2), 1)
	p.Arrived(start.Add(-2*time.Second), key(3), 3)
	demand := map[fleet.AdapterKey]Demand{key(4): {Waiting: 1}}
	o, ok := p.Next(input(report(1, 2, 3), demand))
	assert.Assert(t, ok)
	assert.Equal(t, o.Operation, Unload)
	assert.Equal(t, o.Key, key(2))
	demand[key(2)] = Demand{InFlight: 1}
	o, ok = p.Next(input(report(1, 2, 3), demand))
	assert.Assert(t, ok)
	assert.Equal(t, o.Key, key(3))
}

// Guards against evicting an adapter right after a request for it was sent, while the
// reported demand does not include that request yet.
func TestKeepsWhatWasJustUsed(t *testing.T) {
	p := New()
	for i := 1; i <= 3; i++ {
		p.Arrived(start.Add(-recentUseWindow/2), key(i), 1)
	}
	_, ok := p.Next(input(report(1, 2, 3), map[fleet.AdapterKey]Demand{key(4): {Waiting: 1}}))
	assert.Assert(t, !ok)
}

// Guards against replacing a busy adapter, which would block all other loads until
// its running requests have ended.
func TestReplacesOnlyIdleAdapters(t *testing.T) {
	in := input(report(1, 2), map[fleet.AdapterKey]Demand{key(1): {InFlight: 1}})
	in.Versions = announced(key(1), 2)
	_, ok := New().Next(in)
	assert.Assert(t, !ok)
	delete(in.DemandByAdapter, key(1))
	o, ok := New().Next(in)
	assert.Assert(t, ok)
	assert.DeepEqual(t, o, Order{Operation: Unload, Key: key(1), Expected: 7, Renewal: true, Reason: o.Reason})
}

// Guards against a newer version of an adapter that is loaded in the place of the older
// one: the server would keep the prompt parts cached for the older version, and others
// would fetch them for the newer one (found by the soak test, seeds 113 and 134).
func TestRenewalUnloadsBeforeItLoads(t *testing.T) {
	p := New()
	in := input(report(1, 2, 3), nil)
	in.Versions = announced(key(1), 2)
	o, ok := p.Next(in)
	assert.Assert(t, ok && o.Operation == Unload && o.Key == key(1))
	p.Accepted(in.Now, o)
	_, ok = p.Next(in)
	assert.Assert(t, !ok, "ordered before the unload has ended")
	in.Report = report(2, 3)
	o, ok = p.Next(in)
	assert.Assert(t, ok)
	assert.DeepEqual(t, o, Order{Operation: Load, Key: key(1), Version: 2, Expected: 7, Renewal: true, Reason: o.Reason})
	in.Report = report(2, 3)
	in.Report.Loading[key(1)] = 2
	_, ok = p.Next(in)
	assert.Assert(t, !ok)
}

// Guards against a renewal that takes a place which is needed for requests long after the
// unload, for instance after another load was given the place.
func TestRenewalEndsWithItsTime(t *testing.T) {
	p := New()
	in := input(report(1), nil)
	in.Versions = announced(key(1), 2)
	o, ok := p.Next(in)
	assert.Assert(t, ok)
	p.Accepted(in.Now, o)
	in.Report = report()
	in.Now = in.Now.Add(2 * renewalTimeout)
	_, ok = p.Next(in)
	assert.Assert(t, !ok)
}

// Guards against keeping an old version because this process learns of the newer
// version later than the entries do.
func TestReplacesWhatAnEntryKnowsToBeOld(t *testing.T) {
	in := input(report(1), map[fleet.AdapterKey]Demand{key(1): {Version: 3}})
	p := New()
	o, ok := p.Next(in)
	assert.Assert(t, ok)
	p.Accepted(in.Now, o)
	in.Report = report()
	o, ok = p.Next(in)
	assert.Assert(t, ok)
	assert.Equal(t, o.Version, 3)
}

// Guards against sending orders that the server rejects because it is carrying out
// another one.
func TestNoOrderWhileBusy(t *testing.T) {
	r := report(1)
	r.Busy = true
	_, ok := New().Next(input(r, map[fleet.AdapterKey]Demand{key(2): {Waiting: 1}}))
	assert.Assert(t, !ok)
}

// Guards against a server that stays without a model after a restart.
func TestLoadsTheModelFirst(t *testing.T) {
	r := report()
	r.Models = map[string]int{}
	o, ok := New().Next(input(r, map[fleet.AdapterKey]Demand{key(2): {Waiting: 1}}))
	assert.Assert(t, ok)
	assert.Equal(t, o.Key, fleet.AdapterKey{Model: "m"})
}

// simulatedServer carries out orders and checks that they respect the limits of the
// server.
type simulatedServer struct {
	t        *testing.T
	report   *Report
	loadedAt map[fleet.AdapterKey]time.Time
	demand   map[fleet.AdapterKey]Demand
}

func (s *simulatedServer) execute(now time.Time, o Order) {
	assert.Equal(s.t, o.Expected, s.report.Sequence)
	s.report.Sequence++
	if o.Operation == Unload {
		assert.Equal(s.t, s.demand[o.Key].InFlight, 0, "evicted %v in use", o.Key)
		delete(s.report.Residents, o.Key)
		return
	}
	_, resident := s.report.Residents[o.Key]
	assert.Assert(s.t, !resident, "loaded %v in the place of another version", o.Key)
	held := len(s.report.Residents) + len(s.report.Loading)
	assert.Assert(s.t, held < engine.MaxAdapters, "ordered more than the server holds")
	s.report.Loading[o.Key] = max(o.Version, 1)
	s.loadedAt[o.Key] = now.Add(250 * time.Millisecond)
}

func (s *simulatedServer) finishLoads(now time.Time) {
	for k, at := range s.loadedAt {
		if !now.Before(at) {
			s.report.Residents[k] = s.report.Loading[k]
			delete(s.report.Loading, k)
			delete(s.loadedAt, k)
		}
	}
}

// Guards against orders beyond the capacity of the server and evictions of adapters
// in use, with random demand and versions.
func TestPlannerKeepsTheLimits(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &simulatedServer{t: t, report: report(), loadedAt: map[fleet.AdapterKey]time.Time{}, demand: map[fleet.AdapterKey]Demand{}}
		p := New()
		versions := fleet.NewDirectory()
		now := start
		for range 2000 {
			now = now.Add(20 * time.Millisecond)
			s.finishLoads(now)
			k := key(rng.IntN(8))
			w := s.demand[k]
			switch rng.IntN(4) {
			case 0:
				w.Waiting, w.Waited = 1, time.Duration(rng.IntN(1000))*time.Millisecond
			case 1:
				if s.report.Residents[k] > 0 {
					w.InFlight, w.Waiting = w.InFlight+1, 0
					p.Arrived(now, k, 1)
				}
			case 2:
				w.InFlight = max(w.InFlight-1, 0)
			default:
				if rng.IntN(50) == 0 {
					newest := versions.Snapshot().Versions[k].Newest()
					versions.SetVersion(now, fleet.AdapterVersion{Model: k.Model, Adapter: k.Name, Version: newest + 2})
				}
			}
			s.demand[k] = w
			in := &Input{Now: now, Report: s.report, Engine: engine, DemandByAdapter: s.demand, Versions: versions.Snapshot().Versions}
			for range 4 {
				o, ok := p.Next(in)
				if !ok {
					break
				}
				s.execute(now, o)
			}
		}
	}
}

// Guards against unloading a base model with outdated weights while requests use it,
// while it is not allowed, or without need, and against loading another model instead of
// the one that was unloaded.
func TestReloadsOutdatedWeightsOnlyWhenIdle(t *testing.T) {
	model := fleet.AdapterKey{Model: "m"}
	reloadable := func() *Input {
		in := input(report(1, 2), map[fleet.AdapterKey]Demand{})
		in.Versions = announced(model, 2)
		in.ReloadModel = "m"
		return in
	}
	for name, change := range map[string]func(in *Input){
		"not allowed":      func(in *Input) { in.ReloadModel = "" },
		"another model":    func(in *Input) { in.ReloadModel = "n" },
		"current":          func(in *Input) { in.Report.Models["m"] = 2 },
		"not announced":    func(in *Input) { in.Versions = nil },
		"in flight":        func(in *Input) { in.DemandByAdapter[key(1)] = Demand{InFlight: 1} },
		"waiting":          func(in *Input) { in.DemandByAdapter[key(1)] = Demand{Waiting: 1} },
		"running":          func(in *Input) { in.Report.InFlight = 1 },
		"queued":           func(in *Input) { in.Report.Queued = 1 },
		"loading":          func(in *Input) { in.Report.Loading[key(3)] = 1 },
		"two models":       func(in *Input) { in.Report.Models["n"] = 1 },
		"an order is open": func(in *Input) { in.Report.Busy = true },
	} {
		in := reloadable()
		change(in)
		o, ok := New().Next(in)
		assert.Assert(t, !ok, "%s: %+v", name, o)
	}

	p := New()
	in := reloadable()
	o, ok := p.Next(in)
	assert.Assert(t, ok)
	assert.DeepEqual(t, o, Order{Operation: Unload, Key: model, Expected: 7, Reason: o.Reason})
	p.Accepted(start, o)
	in.Report = report()
	in.Report.Models = map[string]int{}
	in.Engine = &route.Engine{MaxAdapters: 3, WeightMB: 1000, Models: []route.Model{{Name: "n", WeightMB: 500}, {Name: "m", WeightMB: 800}}}
	o, ok = p.Next(in)
	assert.Assert(t, ok)
	assert.Equal(t, o.Operation, Load)
	assert.Equal(t, o.Key, model)
}
