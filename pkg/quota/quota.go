// Package quota keeps what all entries together accept from a team within its quota.
//
// Keepers, which run in sidecars, each grant a fixed part of the quota as leases of credit. An
// Account spends the leases of one entry and decides which keeper to ask. Neither of them uses
// the network or a clock of its own.
package quota

import "time"

const (
	// maxKeepers is the largest number of sidecars that grant parts of one quota. The loss of
	// one leaves three quarters of the quota.
	maxKeepers = 4
	// usedTolerance is the part of the tolerance that keepers grant. The rest covers credit
	// that no keeper counts: that of new keepers, of refunds and of entries out of contact.
	usedTolerance = 0.7
	// useMemory is the time constant of averages of use.
	useMemory = 4 * time.Second
)

// Limit is a quota or a part of one.
type Limit struct {
	PerSecond float64
	Burst     float64
	// Version is the version of the configuration that sets the limit.
	Version int64
}

// Tolerance is what may be used beyond a quota in each window: Overage, as a fraction of what
// the quota allows in it, and Slack, in the unit of the quota.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Keepers returns the number of sidecars that grant parts of a quota. The part of each should
// hold a request of the given size.
func (t Tolerance) Keepers(l Limit, largeRequest float64) int {
	whole := t.Part(l, 1)
	return int(min(max(whole.Burst/largeRequest, 1), maxKeepers))
}

// Part returns the part of a quota that each of a number of keepers grants.
func (t Tolerance) Part(l Limit, keepers int) Limit {
	factor := (1 + t.Overage*usedTolerance) / float64(keepers)
	return Limit{
		PerSecond: l.PerSecond * factor,
		Burst:     l.Burst*factor + t.Slack*usedTolerance/float64(keepers),
		Version:   l.Version,
	}
}

// Demand is a request of an entry for credit.
type Demand struct {
	Entry string
	Team  string
	// Limit is the part of the quota that the keeper grants.
	Limit Limit
	// Needed is the credit that the entry needs now, and Expected what it would like to have
	// beyond that.
	Needed   float64
	Expected float64
	// Unspent is what is left of earlier leases of this keeper.
	Unspent float64
	// Lifetime is the time until the lease expires.
	Lifetime time.Duration
	// Settled is for how long the entry has known no change of the sidecars of the fleet.
	Settled time.Duration
}

// Grant is the answer of a keeper to a Demand.
type Grant struct {
	Credit float64
	// RetryAfter is the time until the keeper may grant what is missing of the needed credit.
	RetryAfter time.Duration
	// SpentPerSecond is what all entries have recently spent of the keeper's credit.
	SpentPerSecond float64
}
