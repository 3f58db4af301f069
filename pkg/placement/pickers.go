package placement

import (
	"sync/atomic"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// BestScore picks the candidate with the highest score, or the first of several.
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

// nearEqual is the difference from the best score up to which candidates are treated
// as equal.
const nearEqual = 0.05

// PowerOfTwo draws two random candidates among those whose score is close to the
// best one and picks the less loaded of the two. This keeps entries that have
// received the same status reports from all choosing the same endpoint.
type PowerOfTwo struct{ source source }

// NewPowerOfTwo returns a picker whose random numbers derive from seed.
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

// nthAtLeast returns the index of the n-th candidate, counted from 0, whose score is
// at least limit. It returns 0 if there is none.
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

// source is a source of pseudo-random numbers that is safe for concurrent use and
// takes no lock.
type source struct {
	seed uint64
	next atomic.Uint64
}

// intN returns a number in [0, n).
func (s *source) intN(n int) int {
	return int(ident.MixHashes(s.seed, s.next.Add(1)) % uint64(n))
}
