package placement

import (
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// Random is a baseline policy that picks a random eligible endpoint.
type Random struct{ source source }

// NewRandom returns a Random policy whose random numbers derive from seed.
func NewRandom(seed uint64) *Random { return &Random{source: source{seed: seed}} }

// Name implements Policy.
func (*Random) Name() string { return "random" }

// Place implements Policy.
func (p *Random) Place(r *Request, s *membership.Snapshot) (Decision, error) {
	in, err := eligible(r, s)
	if err != nil {
		return Decision{}, err
	}
	return decide(in, p.source.intN(len(in)), "random"), nil
}

// LeastLoaded is a baseline policy that picks the eligible endpoint with the lowest
// load.
type LeastLoaded struct{}

// Name implements Policy.
func (LeastLoaded) Name() string { return "least-loaded" }

// Place implements Policy.
func (LeastLoaded) Place(r *Request, s *membership.Snapshot) (Decision, error) {
	in, err := eligible(r, s)
	if err != nil {
		return Decision{}, err
	}
	best := 0
	for i := range in {
		if in[i].Load < in[best].Load {
			best = i
		}
	}
	return decide(in, best, "least loaded"), nil
}

// PlainHash is a baseline policy that picks the eligible endpoint with the highest
// rendezvous hash, regardless of its load.
type PlainHash struct{}

// Name implements Policy.
func (PlainHash) Name() string { return "hash" }

// Place implements Policy.
func (PlainHash) Place(r *Request, s *membership.Snapshot) (Decision, error) {
	in, err := eligible(r, s)
	if err != nil {
		return Decision{}, err
	}
	key := membership.AdapterHash(r.Adapter)
	best := 0
	for i := range in {
		if ident.MixHashes(key, in[i].Hash) > ident.MixHashes(key, in[best].Hash) {
			best = i
		}
	}
	return decide(in, best, "hash"), nil
}

// eligible returns all endpoints that pass the default filters.
func eligible(r *Request, s *membership.Snapshot) ([]Candidate, error) {
	g := s.Group(membership.BackendKey{Kind: r.Kind, Backend: r.Backend})
	if g == nil {
		return nil, ErrNoEndpoint
	}
	return filter(r, gatherAll(nil, r, s, g))
}

func decide(in []Candidate, i int, reason string) Decision {
	return Decision{Endpoint: in[i].Endpoint, Reason: reason, Candidates: len(in)}
}
