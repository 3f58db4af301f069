package locality

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// workload describes a simulated fleet and the requests that it gets.
type workload struct {
	servers      int
	adapterSlots int
	adapters     int
	// skew is the exponent of the popularity distribution of the adapters.
	skew float64
	// perSecond is the average number of requests per second.
	perSecond float64
	// shift is the interval at which the popularity distribution moves on by one
	// adapter, or 0 if it stays.
	shift    time.Duration
	duration time.Duration
	// shortOnly leaves out the long prompts.
	shortOnly bool
	// fullRateLoads is the number of loads that the weight store serves at its full
	// rate at a time, or 0 for defaultFullRateLoads.
	fullRateLoads int
	// coldLoad is the time of a load from the weight store at its full rate, or 0 for
	// defaultColdLoad.
	coldLoad time.Duration
	// modelLoad is the time at the start in which the servers load their base model and
	// no adapter.
	modelLoad time.Duration
	// renewals is the number of new versions of the adapter in most demand that are
	// announced, renewEvery apart, from renewFrom on.
	renewals   int
	renewFrom  time.Duration
	renewEvery time.Duration
	// newWeightsAt is when new weights of the base model are announced, or 0 for never.
	newWeightsAt time.Duration
	// baseEvery makes every n-th request one for the base model itself, or 0 for none.
	baseEvery int
	// slow is the number of servers that take slowFactor times as long for prompts between
	// slowFrom and slowUntil, while their reports stay good.
	slow       int
	slowFactor float64
	slowFrom   time.Duration
	slowUntil  time.Duration
	// ignorePace hides the pace of the servers.
	ignorePace bool
	// entries is the number of entries that share the servers, each of which knows the work
	// of the others only from reports, or 0 for one that knows all work at once.
	entries int
	// reportEvery is the interval of the reports on servers, or 0 for statusInterval.
	reportEvery time.Duration
	// sumsOnly makes the reports give only sums over all entries, which does not tell the work
	// of an entry from that of the others.
	sumsOnly bool
	// newFrom is when the second half of the servers joins, or 0 if all are there from the
	// start.
	newFrom time.Duration
	// urgentReports makes servers report large changes of their backlog at once.
	urgentReports bool
	// reportsLost is the fraction of reports that do not arrive.
	reportsLost float64
	// burstEvery is the interval at which one request for each server arrives at the same
	// moment, or 0 for none.
	burstEvery time.Duration
	// hotShare is the fraction of the requests that is for one adapter.
	hotShare float64
	// speeds are the speeds of the servers in turn, or none for 1 each.
	speeds []float64
	// ignoreSlack makes the servers load the adapters in the order of the oldest
	// waiting request, without regard to the latency targets.
	ignoreSlack bool
}

// Parameters of the simulation. There are two kinds of requests: long prompts with
// short responses, and short prompts with long responses.
const (
	longPrompt           = 9190
	longRun              = 300 * time.Millisecond
	shortPrompt          = 826
	shortRun             = 2 * time.Second
	tokensPerMS          = 38.4
	defaultFullRateLoads = 8
	defaultColdLoad      = 250 * time.Millisecond
	maxWarmCopies        = 54
	warmLoadTime         = 25 * time.Millisecond
	statusInterval       = 150 * time.Millisecond
	simStep              = 5 * time.Millisecond
	reloadInterval       = 250 * time.Millisecond
	reloadTime           = 2 * time.Second
	longTarget           = time.Second
	shortTarget          = 800 * time.Millisecond
)

// simRequest is a request in the simulation.
type simRequest struct {
	at     time.Time
	key    fleet.AdapterKey
	prompt int
	run    time.Duration
	server *simServer
	first  time.Duration
	// entry holds what the entry of the request knows of the server.
	entry *fleet.Runtime
	// startedAt is when the server got the request, and expected the time that it would
	// take to the first event at the usual pace.
	startedAt time.Time
	expected  time.Duration
	// read is the number of prompt tokens that the server has processed.
	read float64
	// version is the version of the adapter that served the request.
	version int
	// required is the lowest version that could serve it when it arrived.
	required int
	// waited is true if the request waited for a load, and uncovered if no server had
	// the adapter loaded in a version that could serve it.
	waited, uncovered bool
}

// priority returns 0 for short prompts and 1 for long ones, as in the deployments
// that the workloads model.
func (r *simRequest) priority() int {
	if r.prompt == shortPrompt {
		return 0
	}
	return 1
}

func (r *simRequest) target() time.Duration {
	if r.prompt == shortPrompt {
		return shortTarget
	}
	return longTarget
}

func (r *simRequest) inTime() bool { return r.first > 0 && r.first <= r.target() }

// slack returns the time left for the adapter to be loaded in time.
func (r *simRequest) slack(now time.Time) time.Duration {
	read := time.Duration(float64(r.prompt) / tokensPerMS * float64(time.Millisecond))
	return r.target() - read - now.Sub(r.at)
}

// sim simulates a fleet in virtual time.
type sim struct {
	l          workload
	engine     *route.Engine
	servers    []*simServer
	started    time.Time
	now        time.Time
	storeLoads int
	// directory holds the announced versions, and versions is their last snapshot.
	directory *fleet.Directory
	versions  map[fleet.AdapterKey]fleet.Versions
	renewed   int
	// weights is the newest announced version of the base model, and reloading lists the
	// servers that may reload it.
	weights   int
	reloading []fleet.ID
	// without is the highest number of servers without a model at a time.
	without int
	all     []*simRequest
	// views holds the servers as each entry knows them, and view is that of the entry that
	// chooses now.
	views  [][]*fleet.Endpoint
	view   int
	rng    *rand.Rand
	choose func(r *Request, s *sim) (*simServer, bool)
}

func newSim(l workload, choose func(r *Request, s *sim) (*simServer, bool)) *sim {
	s := &sim{l: l, directory: fleet.NewDirectory(), choose: choose, now: time.Unix(1000, 0), engine: &route.Engine{MaxAdapters: l.adapterSlots, WeightMB: 1e6, Models: []route.Model{{Name: "m", WeightMB: 1, AdapterMB: 1}}}}
	for i := range l.servers {
		s.servers = append(s.servers, &simServer{
			endpoint: &fleet.Endpoint{ID: fleet.ID(fmt.Sprintf("i-%d", i)), State: fleet.Ready, Slots: 64, Runtime: fleet.NewRuntime()},
			planner:  residency.New(),
			report:   &residency.Report{Models: map[string]int{"m": 1}, Residents: map[fleet.AdapterKey]int{}, Loading: map[fleet.AdapterKey]int{}},
			loads:    map[fleet.AdapterKey]time.Duration{}, cold: map[fleet.AdapterKey]bool{},
			waiting: map[fleet.AdapterKey][]*simRequest{}, preloads: map[fleet.AdapterKey]time.Time{}, inFlight: map[fleet.AdapterKey]int{}, running: map[*simRequest]time.Time{},
		})
	}
	return s
}

func (s *sim) endpoints() []*fleet.Endpoint {
	if len(s.views) > 0 {
		return s.views[s.view]
	}
	out := make([]*fleet.Endpoint, len(s.servers))
	for i, srv := range s.servers {
		out[i] = srv.endpoint
	}
	return out
}

// simulate runs the workload. It returns the fraction of requests whose first event
// came in time, and the number of loads from the weight store.
func (s *sim) simulate(seed uint64) (inTime float64, storeLoads int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s.rng = rand.New(rand.NewPCG(seed, 2))
	s.addViews()
	weights := make([]float64, s.l.adapters)
	total := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -s.l.skew)
		total += weights[i]
	}
	s.started = s.now
	start := s.now
	next := s.now
	for s.now.Sub(start) < s.l.duration {
		for !next.After(s.now) {
			r := s.arrival(rng, weights, total, next, start)
			s.all = append(s.all, r)
			s.dispatch(r)
			next = next.Add(time.Duration(rng.ExpFloat64() / s.l.perSecond * float64(time.Second)))
		}
		s.join()
		s.burst(rng, weights, total, start)
		s.renew()
		s.reload()
		s.step()
		s.now = s.now.Add(simStep)
	}
	n := 0
	for _, r := range s.all {
		if r.inTime() {
			n++
		}
	}
	return float64(n) / float64(len(s.all)), s.storeLoads
}

func (s *sim) arrival(rng *rand.Rand, weights []float64, total float64, at, start time.Time) *simRequest {
	x, i := rng.Float64()*total, 0
	for i < len(weights)-1 && x > weights[i] {
		x -= weights[i]
		i++
	}
	if s.l.hotShare > 0 && s.rng.Float64() < s.l.hotShare {
		i = 0
	}
	if s.l.shift > 0 {
		i = (i + int(at.Sub(start)/s.l.shift)) % len(weights)
	}
	r := &simRequest{at: at, key: fleet.AdapterKey{Model: "m", Name: fmt.Sprintf("a%d", i)}, prompt: longPrompt, run: longRun}
	if s.l.shortOnly || rng.IntN(2) == 0 {
		r.prompt, r.run = shortPrompt, shortRun
	}
	if s.l.baseEvery > 0 && len(s.all)%s.l.baseEvery == 0 {
		r.key.Name = ""
	}
	return r
}

func (s *sim) step() {
	s.advanceLoads()
	for _, v := range s.servers {
		s.read(v)
		for r, end := range v.running {
			if !s.now.Before(end) {
				v.inFlight[r.key]--
				delete(v.running, r)
			}
		}
		s.planLoads(v)
		if s.reportDue(v) {
			s.report(v)
		}
	}
}

// byChooser chooses servers with a Chooser with the given weights.
func byChooser(w Weights) func(r *Request, s *sim) (*simServer, bool) {
	c := New(w, NewPrefixIndex())
	return func(r *Request, s *sim) (*simServer, bool) {
		choice, ok := c.Choose(r, s.endpoints())
		if choice.Preload != nil {
			v := s.find(choice.Preload)
			v.preloads[r.Key] = s.now.Add(PreloadTimeout)
			v.planner.Arrived(s.now, r.Key, 1)
		}
		return s.find(choice.Endpoint), ok
	}
}

func (s *sim) find(e *fleet.Endpoint) *simServer {
	for _, v := range s.servers {
		if e != nil && v.endpoint.ID == e.ID {
			return v
		}
	}
	return nil
}

// leastLoaded is a baseline that considers only the work waiting at the servers.
func leastLoaded(_ *Request, s *sim) (*simServer, bool) {
	return slices.MinFunc(s.servers, func(a, b *simServer) int {
		return int(a.queued() - b.queued())
	}), true
}

// plainHash is a baseline that sends all requests for an adapter to one server, which
// it chooses by hashing.
func plainHash(r *Request, s *sim) (*simServer, bool) {
	return s.servers[slices.Index(ranks(r.Key, s.endpoints()), 0)], true
}
