package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// Limits of the candidate set and parameters of the estimates.
const (
	// maxPreferred bounds the endpoints that are considered by rendezvous hash.
	maxPreferred = 16
	// spillOver is the number of endpoints considered in addition to the preferred
	// ones.
	spillOver = 3
	// maxHolders bounds the endpoints considered in one decision because the adapter
	// is resident on them (its holders).
	maxHolders = 16
	// maxSample bounds the endpoints considered for requests without an adapter.
	maxSample = 32
	// holderUtilisation is the share of the positions of one endpoint that an
	// adapter may use before it gets another preferred endpoint.
	holderUtilisation = 0.5
	// evictionHorizon is the time over which the requests for an evicted adapter are
	// counted in Candidate.ExpectedMisses.
	evictionHorizon = 20 * time.Second
	// maxLoadBound limits the load bound while many loads are waiting.
	maxLoadBound = 2
	// defaultServiceTime is used until the first service time of a backend is
	// measured.
	defaultServiceTime = time.Second
	// minConfidence is the weight of the oldest status report that is still used.
	minConfidence = 0.25
)

// Affinity is the default policy. It prefers endpoints on which the adapter is
// resident, and otherwise a few endpoints chosen by rendezvous hash. Load,
// availability zone and prompt prefix are weighed against this preference.
type Affinity struct {
	demand  demand
	scorers atomic.Pointer[[]weightedScorer]
	// deployment is the deployment section of the active bundle, with the weights.
	deployment atomic.Pointer[bundle.Deployment]
	picker     Picker
	sample     source
	scratch    sync.Pool
}

// scratch holds slices that are reused between decisions.
type scratch struct {
	candidates []Candidate
	scored     []ScoredCandidate
}

// NewAffinity returns an Affinity policy. Each entry should use a different seed, so
// that entries do not all choose the same endpoint.
func NewAffinity(seed uint64) *Affinity {
	p := &Affinity{picker: NewPowerOfTwo(seed), sample: source{seed: ^seed}}
	p.scratch.New = func() any { return &scratch{} }
	p.ApplyConfig(bundle.Deployment{})
	return p
}

// Name implements Policy.
func (*Affinity) Name() string { return "affinity" }

// ApplyConfig sets the weights from a deployment.
func (p *Affinity) ApplyConfig(d bundle.Deployment) {
	s := scorers(d)
	p.scorers.Store(&s)
	p.deployment.Store(&d)
}

// Place implements Policy.
func (p *Affinity) Place(r *Request, s *membership.Snapshot) (Decision, error) {
	g := s.Group(membership.BackendKey{Kind: r.Kind, Backend: r.Backend})
	if g == nil {
		return Decision{}, ErrNoEndpoint
	}
	sc := p.scratch.Get().(*scratch)
	defer p.scratch.Put(sc)
	sc.candidates = p.gather(sc.candidates[:0], r, s, g)
	bound := p.loadBound(r, s, g)
	in, err := filter(r, sc.candidates)
	if err != nil && len(sc.candidates) < len(g.Slots) {
		in, err = scan(sc.candidates[:0], r, s, g)
		sc.candidates = in[:0]
	}
	if err != nil {
		return Decision{}, err
	}
	for i := range in {
		in[i].LoadBound = bound
	}
	return p.choose(r, sc, in), nil
}

// loadBound returns the load above which requests for an adapter spill over. A load
// of n means a queueing time of n-1 service times. The bound is therefore the load
// at which the queueing time equals the time to load another copy of the adapter. A
// high batch weight raises the bound, because another copy occupies another engine.
func (p *Affinity) loadBound(r *Request, s *membership.Snapshot, g *membership.Group) float64 {
	if r.Adapter.IsZero() {
		return loadBound
	}
	serviceTimes := s.LoadWait.Seconds() / serviceTime(g).Seconds()
	return min(max(loadBound, 1+serviceTimes*(1+p.batchShare())), maxLoadBound)
}

func (p *Affinity) batchShare() float64 {
	_, batch := normalizedWeights(*p.deployment.Load())
	return batch
}

func serviceTime(g *membership.Group) time.Duration {
	if mean := g.ServiceTime.Mean(); mean > 0 {
		return mean
	}
	return defaultServiceTime
}

// choose scores the candidates and lets the picker choose one of them.
func (p *Affinity) choose(r *Request, sc *scratch, in []Candidate) Decision {
	scorers := *p.scorers.Load()
	sc.scored = sc.scored[:0]
	for i := range in {
		total := 0.0
		for _, s := range scorers {
			total += s.weight * s.Score(r, &in[i])
		}
		sc.scored = append(sc.scored, ScoredCandidate{Candidate: &in[i], Score: total})
	}
	chosen := sc.scored[p.picker.Pick(r, sc.scored)]
	return Decision{Endpoint: chosen.Endpoint, Reason: reason(r, chosen.Candidate), Score: chosen.Score, Candidates: len(in)}
}

// gather returns the candidates for a request: the endpoints with the highest
// rendezvous hashes for the adapter and those on which it is resident.
func (p *Affinity) gather(out []Candidate, r *Request, s *membership.Snapshot, g *membership.Group) []Candidate {
	if r.Adapter.IsZero() {
		return p.gatherSample(out, r, s, g)
	}
	hash := membership.AdapterHash(r.Adapter)
	preferred := preferredCount(p.demand.add(r.Now, hash), s, g)
	holders := s.Holders(r.Adapter, hash)
	considered := preferred + spillOver
	if len(holders) == 0 {
		considered = maxPreferred
	}
	var top topRanks
	top.fill(hash, g, considered)
	for rank := range top.n {
		out = append(out, candidate(r, s.At(g.Slots[top.index[rank]]), g, rank, preferred))
	}
	if len(holders) == 0 {
		p.setExpectedMisses(out, r, s)
	}
	start := 0
	if len(holders) > maxHolders {
		start = p.sample.intN(len(holders))
	}
	for i := range min(len(holders), maxHolders) {
		e := s.At(holders[(start+i)%len(holders)])
		if e.Kind == r.Kind && e.Backend == r.Backend && !contains(out, e) {
			out = append(out, candidate(r, e, g, maxPreferred, preferred))
		}
	}
	return out
}

// setExpectedMisses sets ExpectedMisses of each candidate for a request whose
// adapter is resident nowhere. It extrapolates from the requests at this entry to
// all entries.
func (p *Affinity) setExpectedMisses(list []Candidate, r *Request, s *membership.Snapshot) {
	for i := range list {
		e := list[i].Endpoint
		if len(e.Residents)+len(e.Loading) < e.SlotsTotal {
			continue
		}
		if e.LoadableSlots == 0 {
			list[i].ExpectedMisses = math.Inf(1)
			continue
		}
		lowest := math.Inf(1)
		for _, a := range e.Residents {
			lowest = min(lowest, p.demand.rate(r.Now, membership.AdapterHash(a)))
		}
		list[i].ExpectedMisses = lowest * float64(s.Entries) * evictionHorizon.Seconds()
	}
}

// gatherSample returns up to maxSample endpoints, spread evenly over the group, for
// a request without an adapter.
func (p *Affinity) gatherSample(out []Candidate, r *Request, s *membership.Snapshot, g *membership.Group) []Candidate {
	n := len(g.Slots)
	if n <= maxSample {
		return gatherAll(out, r, s, g)
	}
	start := p.sample.intN(n)
	stride := n / maxSample
	for i := range maxSample {
		out = append(out, candidate(r, s.At(g.Slots[(start+i*stride)%n]), g, maxPreferred, 1))
	}
	return out
}

// gatherAll returns all endpoints of a group as candidates.
func gatherAll(out []Candidate, r *Request, s *membership.Snapshot, g *membership.Group) []Candidate {
	for _, slot := range g.Slots {
		out = append(out, candidate(r, s.At(slot), g, maxPreferred, 1))
	}
	return out
}

// contains reports whether list has a candidate for the endpoint.
func contains(list []Candidate, e *membership.Endpoint) bool {
	for i := range list {
		if list[i].Endpoint == e {
			return true
		}
	}
	return false
}

// candidate returns a candidate with the estimated load of the endpoint. Requests
// from this entry count fully. Requests from other entries count as in the last status
// report, weighted by a confidence that decreases with its age. Requests that
// wait for a load occupy no position and are not counted, unless the endpoint is
// loading this adapter: they are then likely to need a position at the same time as
// this request.
func candidate(r *Request, e *membership.Endpoint, g *membership.Group, rank, preferred int) Candidate {
	others := max(float64(int64(e.PositionsUsed+e.Queued)-e.InFlightAtReport), 0)
	age := max(float64(r.Now.Sub(e.ReportedAt))/float64(StaleAfter), 0)
	confidence := max(1-age*(1-minConfidence), minConfidence)
	positions := float64(max(e.PositionsTotal, 1))
	c := Candidate{Endpoint: e, Rank: rank, Preferred: preferred}
	c.Wait = queueWait(e, g.ServiceTime.Mean())
	if !r.Adapter.IsZero() {
		c.Resident = e.Holds(r.Adapter)
		c.Loading = e.IsLoading(r.Adapter)
	}
	stalled := float64(e.WaitingForLoad)
	if c.Loading && !c.Resident {
		stalled = 0
	}
	c.Load = max(float64(e.Attempts.InFlight())+confidence*others-stalled, 0) / positions
	return c
}

// preferredCount derives the number of preferred endpoints of an adapter from its
// request rate: the concurrency according to Little's law, divided by the number of
// requests that one endpoint is to run.
func preferredCount(rate float64, s *membership.Snapshot, g *membership.Group) int {
	e := s.At(g.Slots[0])
	service := serviceTime(g)
	concurrency := rate * float64(max(e.ConnectedEntries, 1)) * service.Seconds()
	holders := math.Ceil(concurrency / (holderUtilisation * float64(max(e.PositionsTotal, 1))))
	return int(min(max(holders, 1), maxPreferred-spillOver))
}

// topRanks holds the endpoints with the highest rendezvous hashes, highest first.
type topRanks struct {
	n     int
	hash  [maxPreferred]uint64
	index [maxPreferred]int32
}

// fill finds the k endpoints with the highest rendezvous hashes. It reads only the
// array of endpoint hashes, which takes about 1 ns per endpoint.
func (t *topRanks) fill(key uint64, g *membership.Group, k int) {
	lowest := uint64(0)
	for i, h := range g.Hashes {
		v := ident.MixHashes(key, h)
		if v < lowest {
			continue
		}
		t.insert(v, int32(i), k)
		if t.n == k {
			lowest = t.hash[k-1]
		}
	}
}

func (t *topRanks) insert(v uint64, index int32, k int) {
	if t.n < k {
		t.n++
	}
	j := t.n - 1
	for j > 0 && t.hash[j-1] < v {
		t.hash[j], t.index[j] = t.hash[j-1], t.index[j-1]
		j--
	}
	t.hash[j], t.index[j] = v, index
}
