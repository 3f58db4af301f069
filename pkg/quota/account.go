package quota

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// aheadTime is the use that a lease covers ahead.
	aheadTime = time.Second
	// aheadRequests is the number of requests per second from which credit is asked for ahead of
	// use. With fewer, most of it would not be used before the lease expires.
	aheadRequests = 0.5
	// refillPause is how long no credit is asked for ahead of use after a keeper had too little.
	refillPause = time.Second
	// jointShare is the part of a keeper's burst up to which the costs of several waiting
	// requests are asked for together.
	jointShare = 0.25
	// trustTime is the recent use that an entry may go on with if no keeper answers.
	trustTime = time.Second
	// refundTime is how long after it was spent credit may be given back. Later it would
	// belong to another window.
	refundTime = 250 * time.Millisecond
	// silentTime is how long a keeper that did not answer is asked only after the others.
	silentTime = time.Second
	// minDenied and maxDenied limit how long a keeper is not asked again that had too little
	// credit.
	minDenied = 20 * time.Millisecond
	maxDenied = 250 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused request may return.
	minRetryAfter = 10 * time.Millisecond
)

// Account spends the credit of one team at one entry and decides which keeper to ask for more.
// It is safe for concurrent use.
type Account struct {
	entry, team string
	tolerance   Tolerance

	mu      sync.Mutex
	limit   Limit
	part    Limit
	keepers []*source
	// former are sidecars that were keepers when they granted leases which have not expired.
	former []*source
	// settledAt is when the sidecars of the fleet last changed.
	settledAt time.Time
	// current is the index of the keeper that is asked first.
	current int
	// trust is what may be spent while no keeper answers.
	trust          float64
	used, requests average
	// refilling is true while a request for credit ahead of use is under way.
	refilling   bool
	refillAfter time.Time
	promisedAt  time.Time
}

// source is a keeper with its lease.
type source struct {
	name      string
	credit    float64
	expiresAt time.Time
	grantedAt time.Time
	// silentUntil is the time until which the keeper is asked last, and deniedUntil that until
	// which it is not asked for the credit denied or more.
	silentUntil, deniedUntil time.Time
	denied                   float64
	spentPerSecond           float64
}

// Ask is a request that the caller has to send to a keeper. Granted or Silent must follow.
type Ask struct {
	Keeper string
	Demand Demand
	SentAt time.Time
	// Ahead is true for a request ahead of use, for which no request waits.
	Ahead bool
	// Joint is true for a request for several waiting requests. If it is denied, there may be
	// credit for the first of them.
	Joint bool
}

// NewAccount returns the account of a team at an entry.
func NewAccount(entry, team string, t Tolerance) *Account {
	return &Account{entry: entry, team: team, tolerance: t}
}

// SetLimit sets the quota and its keepers, in the order of their choice, which is the same at
// all entries, and the time at which the sidecars of the fleet last changed. Leases of a higher
// quota end.
func (a *Account) SetLimit(l Limit, keepers []string, settledAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.PerSecond < a.limit.PerSecond || l.Burst < a.limit.Burst {
		a.dropLeases()
	}
	a.limit, a.settledAt = l, settledAt
	if !slices.EqualFunc(a.keepers, keepers, func(s *source, name string) bool { return s.name == name }) {
		a.setKeepers(keepers)
	}
	a.part = a.tolerance.Part(l, max(len(keepers), 1))
}

// setKeepers replaces the keepers. The leases of those that are not in the list go on until they
// expire: what was granted is counted, and the item of a sidecar's server may only have lapsed.
func (a *Account) setKeepers(names []string) {
	known := map[string]*source{}
	for _, s := range a.sources() {
		known[s.name] = s
	}
	a.keepers = make([]*source, 0, len(names))
	for _, name := range names {
		s := known[name]
		if s == nil {
			s = &source{name: name}
		}
		a.keepers = append(a.keepers, s)
		delete(known, name)
	}
	a.former = slices.SortedFunc(maps.Values(known), func(s, t *source) int { return strings.Compare(s.name, t.name) })
	if len(names) > 0 {
		a.current = int(xxhash.Sum64String(a.entry+"/"+a.team) % uint64(len(names)))
	}
}

// Spend takes the cost of a request from the local credit. It reports false if there is too
// little.
func (a *Account) Spend(now time.Time, cost float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.credit(now) < cost {
		return false
	}
	a.take(now, cost)
	a.count(now, cost)
	return true
}

// sources returns all that may have granted leases.
func (a *Account) sources() []*source { return slices.Concat(a.keepers, a.former) }

// credit returns the credit of all leases.
func (a *Account) credit(now time.Time) float64 {
	a.former = slices.DeleteFunc(a.former, func(s *source) bool { return !now.Before(s.expiresAt) })
	sum := 0.0
	for _, s := range a.sources() {
		sum += s.unspent(now)
	}
	return sum
}

func (s *source) unspent(now time.Time) float64 {
	if !now.Before(s.expiresAt) {
		s.credit = 0
	}
	return s.credit
}

// take removes credit from the leases, first from those that expire first.
func (a *Account) take(now time.Time, cost float64) {
	byExpiry := slices.SortedFunc(slices.Values(a.sources()), func(s, t *source) int { return s.expiresAt.Compare(t.expiresAt) })
	for _, s := range byExpiry {
		part := min(cost, s.unspent(now))
		s.credit -= part
		cost -= part
	}
}

func (a *Account) count(now time.Time, cost float64) {
	a.used.add(now, cost)
	a.requests.add(now, 1)
}

func (a *Account) dropLeases() {
	for _, s := range a.sources() {
		s.credit = 0
	}
}

// Drop ends all leases. It is called when the clock has stood still.
func (a *Account) Drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropLeases()
}

// Refund gives back the cost of a request that has not run, if it was spent recently. It
// reports whether it did.
func (a *Account) Refund(now, spentAt time.Time, cost float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(spentAt) > refundTime {
		return false
	}
	for _, s := range a.sources() {
		if now.Before(s.expiresAt) {
			s.credit += cost
			return true
		}
	}
	return false
}
