package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ratelimit"
)

const (
	simTick     = 10 * time.Millisecond
	simTeam     = "tokachi"
	refillDelay = 2 * simTick
	// largeRequest is the largest cost of a request.
	largeRequest = 40_000.0
)

var simTolerance = Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}

// simulation is a fleet of entries and of sidecars, the first of which are the keepers of one
// team. Answers to requests ahead of use arrive after refillDelay.
type simulation struct {
	random *rand.Rand
	now    time.Time
	limit  Limit
	// settledAt is when the sidecars last changed.
	settledAt time.Time
	keepers   []*simKeeper
	entries   []*simEntry
	// weights are the parts of the traffic that the entries get.
	weights  []float64
	admitted []admission
	// central is a single bucket for all entries, and refused counts the refusals of requests
	// that it has credit for.
	central ratelimit.Bucket
	refused int
	asks    int
}

type simKeeper struct {
	name   string
	keeper *Keeper
	frozen bool
}

type simEntry struct {
	account *Account
	// cut has the names of the sidecars that the entry does not reach.
	cut     map[string]bool
	pending []pendingGrant
}

type pendingGrant struct {
	at    time.Time
	ask   Ask
	grant Grant
}

type admission struct {
	at   time.Time
	cost float64
}

func newSimulation(entries, sidecars int, l Limit, seed uint64) *simulation {
	start := time.Unix(1000, 0)
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: start, limit: l, settledAt: start.Add(-time.Minute), central: ratelimit.NewBucket(start, l.Burst)}
	for i := range sidecars {
		s.keepers = append(s.keepers, &simKeeper{name: fmt.Sprintf("side-%d", i), keeper: NewKeeper(s.now.Add(-time.Minute))})
	}
	for i := range entries {
		s.entries = append(s.entries, &simEntry{})
		s.weights = append(s.weights, 0.2+s.random.ExpFloat64())
		s.restartEntry(i)
	}
	return s
}

func (s *simulation) restartEntry(i int) {
	s.entries[i] = &simEntry{account: NewAccount(fmt.Sprintf("entry-%d", i), simTeam, simTolerance), cut: map[string]bool{}}
	s.configure()
}

// configure tells all entries of the limit and of the keepers.
func (s *simulation) configure() {
	var names []string
	for _, k := range s.keepers[:min(len(s.keepers), simTolerance.Keepers(s.limit, largeRequest))] {
		names = append(names, k.name)
	}
	for _, e := range s.entries {
		if e.account != nil {
			e.account.SetLimit(s.limit, names, s.settledAt)
		}
	}
}

// keeper returns a sidecar that an entry reaches, or nil.
func (s *simulation) keeper(e *simEntry, name string) *Keeper {
	for _, k := range s.keepers {
		if k.name == name && !k.frozen && !e.cut[name] {
			return k.keeper
		}
	}
	return nil
}

// request sends a request to an entry and reports whether it is admitted.
func (s *simulation) request(e *simEntry, cost float64) bool {
	ok := e.account.Spend(s.now, cost)
	for tried := map[string]bool{}; !ok; ok = e.account.Spend(s.now, cost) {
		q, more := e.account.Next(s.now, []float64{cost}, tried)
		if !more {
			break
		}
		tried[q.Keeper] = true
		s.ask(e, q, 0)
	}
	if !ok {
		_, ok = e.account.Refuse(s.now, cost)
	}
	s.central.Refill(s.now, s.limit.PerSecond, s.limit.Burst)
	owed := s.central.Take(cost)
	if !ok && owed {
		s.refused++
	}
	if !ok {
		return false
	}
	s.admitted = append(s.admitted, admission{at: s.now, cost: cost})
	if q, due := e.account.Refill(s.now); due {
		s.ask(e, q, refillDelay)
	}
	return true
}

func (s *simulation) ask(e *simEntry, q Ask, delay time.Duration) {
	s.asks++
	k := s.keeper(e, q.Keeper)
	if k == nil {
		e.account.Silent(s.now, &q)
		return
	}
	g := k.Lease(s.now, q.Demand)
	if delay == 0 {
		e.account.Granted(s.now, &q, g)
		return
	}
	e.pending = append(e.pending, pendingGrant{at: s.now.Add(delay), ask: q, grant: g})
}

// run sends traffic of the given rate, in tokens per second, for a time. The sizes of requests
// vary as those of prompts do.
func (s *simulation) run(length time.Duration, perSecond float64) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(simTick) {
		for _, e := range s.entries {
			e.pending = slices.DeleteFunc(e.pending, func(p pendingGrant) bool {
				if p.at.After(s.now) {
					return false
				}
				e.account.Granted(s.now, &p.ask, p.grant)
				return true
			})
		}
		const meanCost = 3800
		for n := s.random.ExpFloat64() * perSecond * simTick.Seconds() / meanCost; n > s.random.Float64(); n-- {
			s.request(s.pick(), s.cost())
		}
	}
}

// cost returns the cost of a request: many of about 800 tokens, some of up to 40,000.
func (s *simulation) cost() float64 {
	if s.random.Float64() < 0.6 {
		return 200 + 600*s.random.ExpFloat64()
	}
	return min(2000+6400*s.random.ExpFloat64(), largeRequest)
}

func (s *simulation) pick() *simEntry {
	sum := 0.0
	for _, w := range s.weights {
		sum += w
	}
	point := sum * s.random.Float64()
	for i, w := range s.weights {
		if point -= w; point < 0 {
			return s.entries[i]
		}
	}
	return s.entries[0]
}

// mostFrom returns the largest cost that was admitted in a window that begins at a time or later.
func (s *simulation) mostFrom(from time.Time) float64 {
	most, sum, end := 0.0, 0.0, 0
	for i, first := range s.admitted {
		for ; end < len(s.admitted) && s.admitted[end].at.Sub(first.at) < simTolerance.Window; end++ {
			sum += s.admitted[end].cost
		}
		if i > 0 {
			sum -= s.admitted[i-1].cost
		}
		if !first.at.Before(from) {
			most = max(most, sum)
		}
	}
	return most
}

// bound returns what may be admitted in each window.
func bound(l Limit) float64 {
	return (l.PerSecond*simTolerance.Window.Seconds()+l.Burst)*(1+simTolerance.Overage) + simTolerance.Slack
}
