package quota

import (
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ratelimit"
)

const (
	// unsettledShare is the part of its capacity with which the bucket of a team starts if
	// another sidecar, or an earlier process of this one, may have granted all of its own within
	// the lifetime of a lease.
	unsettledShare = 0.5
	// reserveShare is the part of the capacity that is not granted ahead of use, because many
	// entries could hold all of it while one of them needs some.
	reserveShare = 0.75
	// largeShare is the part of the capacity at which larger requests are granted.
	largeShare = 0.5
	// aheadShare is the part of the other available credit that an entry gets ahead of use.
	aheadShare = 0.25
	// maxLifetime limits the lifetime of leases.
	maxLifetime = 30 * time.Second
	// retention is how long a team is remembered that no entry asks for.
	retention = time.Minute
)

// Keeper grants a part of the quota of each team. The tokens in a team's bucket and the credit
// that entries have not spent never exceed the burst together, so that in each window entries
// spend at most the burst and what the rate adds. It is safe for concurrent use.
type Keeper struct {
	started time.Time

	mu    sync.Mutex
	teams map[string]*allotment
}

// allotment is the keeper's part of the quota of one team.
type allotment struct {
	limit   Limit
	bucket  ratelimit.Bucket
	leases  map[string]outstanding // by entry
	spent   average
	askedAt time.Time
	// promisedAt is when the bucket will have worked off the refusals so far, if their callers
	// return.
	promisedAt time.Time
}

// outstanding is credit that an entry may still spend.
type outstanding struct {
	credit    float64
	expiresAt time.Time
}

// NewKeeper returns a Keeper of a process that starts now.
func NewKeeper(now time.Time) *Keeper { return &Keeper{started: now, teams: map[string]*allotment{}} }

// Lease grants the needed credit and a part of the expected credit, or nothing if there is too
// little. A demand larger than largeShare of the capacity is granted when so much is there,
// and the bucket is overdrawn.
func (k *Keeper) Lease(now time.Time, d Demand) Grant {
	k.mu.Lock()
	defer k.mu.Unlock()
	d.Lifetime = min(d.Lifetime, maxLifetime)
	a := k.allotment(now, &d)
	if d.Limit.Version >= a.limit.Version {
		a.limit = d.Limit
	}
	a.report(now, &d)
	a.bucket.Refill(now, a.limit.PerSecond, a.limit.Burst-a.unspent(now))
	return a.grant(now, &d)
}

// allotment returns the allotment of a team, which is created on first use, and drops those
// that no entry asks for any more. The caller holds mu.
func (k *Keeper) allotment(now time.Time, d *Demand) *allotment {
	a := k.teams[d.Team]
	if a == nil {
		for team, other := range k.teams {
			if now.Sub(other.askedAt) > retention {
				delete(k.teams, team)
			}
		}
		a = &allotment{
			limit:  d.Limit,
			bucket: ratelimit.NewBucket(now, d.Limit.Burst*k.initialShare(now, d)),
			leases: map[string]outstanding{},
		}
		k.teams[d.Team] = a
	}
	a.askedAt = now
	return a
}

// initialShare returns the part of its capacity with which a bucket starts.
func (k *Keeper) initialShare(now time.Time, d *Demand) float64 {
	if now.Sub(k.started) < d.Lifetime || d.Settled < d.Lifetime {
		return unsettledShare
	}
	return 1
}

// report records what an entry has spent since its last request.
func (a *allotment) report(now time.Time, d *Demand) {
	last := a.leases[d.Entry]
	a.spent.add(now, max(last.credit-d.Unspent, 0))
	if d.Unspent <= 0 {
		delete(a.leases, d.Entry)
		return
	}
	if last.credit == 0 { // the lease of an earlier process of this sidecar
		last.expiresAt = now.Add(d.Lifetime)
	}
	a.leases[d.Entry] = outstanding{credit: d.Unspent, expiresAt: last.expiresAt}
}

// unspent returns the credit that entries may still spend, and drops expired leases.
func (a *allotment) unspent(now time.Time) float64 {
	sum := 0.0
	for entry, l := range a.leases {
		if !now.Before(l.expiresAt) {
			delete(a.leases, entry)
			continue
		}
		sum += l.credit
	}
	return sum
}

// grant takes credit from the bucket and records the lease.
func (a *allotment) grant(now time.Time, d *Demand) Grant {
	available, reserve := a.bucket.Tokens(), reserveShare*a.limit.Burst
	if d.Needed <= 0 && available <= 0 {
		return Grant{SpentPerSecond: a.spent.perSecond(now)} // no caller waits for this credit
	}
	if required := min(d.Needed, largeShare*a.limit.Burst); available < required || available <= 0 {
		return Grant{RetryAfter: a.promise(now, required-available, d.Lifetime), SpentPerSecond: a.spent.perSecond(now)}
	}
	ahead := max(0, min(d.Expected, (available-d.Needed-reserve)*aheadShare))
	left := d.Unspent + ahead
	if d.Needed > 0 {
		// The entry spends the needed credit and what it had at once.
		a.spent.add(now, d.Needed+d.Unspent)
		left = ahead
	}
	if granted := d.Needed + ahead; granted > 0 {
		a.bucket.Overdraw(granted)
		a.leases[d.Entry] = outstanding{credit: left, expiresAt: now.Add(d.Lifetime)}
	}
	return Grant{Credit: d.Needed + ahead, SpentPerSecond: a.spent.perSecond(now)}
}

// promise returns the time until credit may be granted that is missing now: after that for
// all earlier refusals, but at most the given time.
func (a *allotment) promise(now time.Time, missing float64, most time.Duration) time.Duration {
	if a.limit.PerSecond <= 0 {
		return most
	}
	if a.promisedAt.Before(now) {
		a.promisedAt = now
	}
	wait := most
	if seconds := missing / a.limit.PerSecond; seconds < most.Seconds() {
		wait = time.Duration(seconds * float64(time.Second))
	}
	a.promisedAt = a.promisedAt.Add(wait)
	if latest := now.Add(most); a.promisedAt.After(latest) {
		a.promisedAt = latest
	}
	return a.promisedAt.Sub(now)
}

// Status is the state of one team's allotment, for operators.
type Status struct {
	Team           string
	Limit          Limit
	Available      float64
	Unspent        float64
	SpentPerSecond float64
	Entries        int
}

// Status returns the state of the teams for which entries have asked.
func (k *Keeper) Status(now time.Time) []Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]Status, 0, len(k.teams))
	for team, a := range k.teams {
		s := Status{Team: team, Limit: a.limit, Unspent: a.unspent(now), SpentPerSecond: a.spent.perSecond(now)}
		s.Available, s.Entries = a.bucket.Tokens(), len(a.leases)
		out = append(out, s)
	}
	return out
}
