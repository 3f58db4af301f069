package placement

import (
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// loadBound is the lowest value of Candidate.LoadBound.
const loadBound = 1.25

// overloadFactor returns 1 up to the load bound of a candidate and the square of
// bound/load above it. Multiplied with a score, it reduces the preference for an
// overloaded endpoint, so that requests spill over to the next one.
func overloadFactor(c *Candidate) float64 {
	bound := max(c.LoadBound, loadBound)
	if c.Load <= bound {
		return 1
	}
	ratio := bound / c.Load
	return ratio * ratio
}

// ResidentScorer prefers endpoints on which the adapter is resident.
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

// RendezvousScorer prefers endpoints in the order of their rendezvous hashes for the
// adapter, with bounded load.
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

// EvictionScorer prefers endpoints where a load evicts no adapter that will be
// needed soon.
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

// LoadScorer prefers endpoints with a low load.
type LoadScorer struct{}

// Name implements Scorer.
func (LoadScorer) Name() string { return "load" }

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, c *Candidate) float64 { return 1 / (1 + c.Load) }

// PackScorer prefers endpoints whose batch is in use but not full, and among them
// those with the fullest batch.
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

// ZoneScorer prefers endpoints in the availability zone of the entry.
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

// PrefixScorer prefers the same endpoint for all prompts with the same first part,
// because the prefix cache of this endpoint is likely to hold it.
type PrefixScorer struct{}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Score implements Scorer.
func (PrefixScorer) Score(r *Request, c *Candidate) float64 {
	if r.Prefix == 0 {
		return 0
	}
	return unitInterval(ident.MixHashes(r.Prefix, c.Hash)) * overloadFactor(c)
}

// unitInterval maps a hash to [0, 1).
func unitInterval(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// weightedScorer is a scorer with its weight in the total score.
type weightedScorer struct {
	Scorer
	weight float64
}

// scorers returns the scorers with the weights for a deployment. A high stall weight
// favours endpoints where the adapter is resident, idle endpoints and the preferred
// endpoints of the adapter. A high batch weight favours endpoints that already run a
// batch.
//
// The weight of PackScorer is below those for an endpoint where the adapter is
// resident or loading; otherwise the adapter would be loaded a second time. It is
// also below the weight for a slot that can be freed.
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

// normalizedWeights returns the stall and batch weights of a deployment, scaled to
// the sum 1. If both are zero, each is 0.5.
func normalizedWeights(d bundle.Deployment) (stall, batch float64) {
	sum := d.StallWeight + d.BatchWeight
	if sum <= 0 {
		return 0.5, 0.5
	}
	return d.StallWeight / sum, d.BatchWeight / sum
}
