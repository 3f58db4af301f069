package placement

import (
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// loadBound is the lowest load above which a holder or a preferred endpoint loses its
// advantage, so that requests spill over to the next endpoint.
const loadBound = 1.25

// overloadFactor lowers an advantage in proportion to the load above the bound.
func overloadFactor(c *Candidate) float64 {
	bound := max(c.LoadBound, loadBound)
	if c.Load <= bound {
		return 1
	}
	over := bound / c.Load
	return over * over
}

// ResidentScorer prefers endpoints that hold the adapter.
type ResidentScorer struct{}

// Name implements Scorer.
func (ResidentScorer) Name() string { return "resident" }

// Score implements Scorer.
func (ResidentScorer) Score(_ *Request, c *Candidate) float64 {
	if !c.Resident {
		return 0
	}
	return overloadFactor(c)
}

// LoadingScorer prefers endpoints that are loading the adapter.
type LoadingScorer struct{}

// Name implements Scorer.
func (LoadingScorer) Name() string { return "loading" }

// Score implements Scorer.
func (LoadingScorer) Score(_ *Request, c *Candidate) float64 {
	if !c.Loading || c.Resident {
		return 0
	}
	return overloadFactor(c)
}

// RendezvousScorer prefers the adapter's endpoints in the order of their
// rendezvous hashes, with bounded load.
type RendezvousScorer struct{}

// Name implements Scorer.
func (RendezvousScorer) Name() string { return "rendezvous" }

// Score implements Scorer.
func (RendezvousScorer) Score(_ *Request, c *Candidate) float64 {
	if c.Rank < c.Preferred {
		return overloadFactor(c)
	}
	return overloadFactor(c) / float64(2+c.Rank-c.Preferred)
}

// EvictionScorer prefers endpoints where a load evicts nothing that is wanted soon.
type EvictionScorer struct{}

// Name implements Scorer.
func (EvictionScorer) Name() string { return "eviction" }

// Score implements Scorer.
func (EvictionScorer) Score(_ *Request, c *Candidate) float64 {
	if c.Resident || c.Loading {
		return 1
	}
	return 1 / (1 + c.ExpectedMisses)
}

// LoadScorer prefers endpoints with little load.
type LoadScorer struct{}

// Name implements Scorer.
func (LoadScorer) Name() string { return "load" }

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, c *Candidate) float64 { return 1 / (1 + c.Load) }

// PackScorer prefers endpoints whose batch is in use but not full.
type PackScorer struct{}

// Name implements Scorer.
func (PackScorer) Name() string { return "pack" }

// Score implements Scorer.
func (PackScorer) Score(_ *Request, c *Candidate) float64 {
	if c.Load >= 1 {
		return 0
	}
	return c.Load
}

// ZoneScorer prefers endpoints in the entry's zone.
type ZoneScorer struct{}

// Name implements Scorer.
func (ZoneScorer) Name() string { return "zone" }

// Score implements Scorer.
func (ZoneScorer) Score(r *Request, c *Candidate) float64 {
	if c.Zone == r.Zone {
		return 1
	}
	return 0
}

// PrefixScorer directs prompts with the same first part to the same endpoint,
// whose prefix cache then holds it.
type PrefixScorer struct{}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Score implements Scorer.
func (PrefixScorer) Score(r *Request, c *Candidate) float64 {
	if r.Prefix == 0 {
		return 0
	}
	return unitInterval(membership.MixHashes(r.Prefix, c.Hash)) * overloadFactor(c)
}

// unitInterval maps a hash to [0, 1).
func unitInterval(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// weightedScorer is a scorer with its weight.
type weightedScorer struct {
	Scorer
	weight float64
}

// scorers returns the scorers with the weights of a deployment. A high stall
// weight favours resident adapters, idle endpoints and the adapter's own endpoint; a
// high batch weight favours filling batches that already run.
// Packing weighs less than an endpoint that holds or loads the adapter, or the
// adapter would be loaded twice, and less than a slot that can be freed.
func scorers(d bundle.Deployment) []weightedScorer {
	stall, batch := normalizedWeights(d)
	return []weightedScorer{
		{ResidentScorer{}, 1.5 + 1.5*stall},
		{LoadingScorer{}, 1.25 + stall},
		{RendezvousScorer{}, 0.25 + 0.5*stall},
		{EvictionScorer{}, 0.75 + batch},
		{LoadScorer{}, 0.05 + 1.2*stall},
		{PackScorer{}, batch},
		{ZoneScorer{}, 0.1},
		{PrefixScorer{}, 0.2},
	}
}

// normalizedWeights returns the weights of a deployment with the sum 1.
func normalizedWeights(d bundle.Deployment) (stall, batch float64) {
	sum := d.StallWeight + d.BatchWeight
	if sum <= 0 {
		return 0.5, 0.5
	}
	return d.StallWeight / sum, d.BatchWeight / sum
}
