package placement

import (
	"sync/atomic"

	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// BestScore picks the highest score; ties go to the first.
type BestScore struct{}

// Name implements Picker.
func (BestScore) Name() string { return "best-score" }

// Pick implements Picker.
func (BestScore) Pick(_ *Request, scored []ScoredCandidate) int {
	best := 0
	for i := range scored {
		if scored[i].Score > scored[best].Score {
			best = i
		}
	}
	return best
}

// nearEqual is the distance from the best score within which candidates count
// as equal.
const nearEqual = 0.05

// PowerOfTwo picks the less loaded of two random candidates among those whose
// score is close to the best one, so that entries with the same reports do not
// all choose the same endpoint.
type PowerOfTwo struct{ source source }

// NewPowerOfTwo returns a picker with a seeded source.
func NewPowerOfTwo(seed uint64) *PowerOfTwo { return &PowerOfTwo{source: source{seed: seed}} }

// Name implements Picker.
func (*PowerOfTwo) Name() string { return "power-of-two" }

// Pick implements Picker.
func (p *PowerOfTwo) Pick(r *Request, scored []ScoredCandidate) int {
	best := BestScore{}.Pick(r, scored)
	limit := scored[best].Score - nearEqual
	near := 0
	for i := range scored {
		if scored[i].Score >= limit {
			near++
		}
	}
	if near == 1 {
		return best
	}
	first := nthAtLeast(scored, limit, p.source.intN(near))
	second := nthAtLeast(scored, limit, p.source.intN(near))
	if scored[second].Load < scored[first].Load {
		return second
	}
	return first
}

// nthAtLeast returns the index of the n-th candidate with at least the given score.
func nthAtLeast(scored []ScoredCandidate, limit float64, n int) int {
	for i := range scored {
		if scored[i].Score < limit {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}

// source is a random source for concurrent use without a lock.
type source struct {
	seed uint64
	next atomic.Uint64
}

// intN returns a number in [0, n).
func (s *source) intN(n int) int {
	return int(membership.MixHashes(s.seed, s.next.Add(1)) % uint64(n))
}
