package permits

import (
	"math"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

const (
	// debtHalfLife is the time in which the weight of an earlier grant halves.
	debtHalfLife = 10 * time.Second
	// debtStep is the waiting time that one recent grant costs a team of weight 1.
	debtStep = 500 * time.Millisecond
	// forgottenDebt is the number of grants below which a team is forgotten.
	forgottenDebt = 0.01
)

// debts counts the recent grants of each team. A team with many of them loses the
// head start of its class, so that a burst of a dominant team does not keep the
// loads of all others waiting.
type debts map[ident.Team]debt

type debt struct {
	grants float64
	at     time.Time
}

func (d debt) decayed(now time.Time) float64 {
	return d.grants * math.Exp2(-float64(now.Sub(d.at))/float64(debtHalfLife))
}

// charge counts one grant.
func (m debts) charge(now time.Time, t ident.Team) {
	m[t] = debt{grants: m[t].decayed(now) + 1, at: now}
}

// of returns the waiting time that the recent grants cost a request, at most the
// head start of its class.
func (m debts) of(now time.Time, r Request) time.Duration {
	cost := m[r.Adapter.Team].decayed(now) / float64(max(r.Weight, 1)) * float64(debtStep)
	return min(time.Duration(cost), headStart(r.Priority))
}

// forget drops the teams without recent grants.
func (m debts) forget(now time.Time) {
	for t, d := range m {
		if d.decayed(now) < forgottenDebt {
			delete(m, t)
		}
	}
}
