// Package ratelimit divides the requests that a server takes among all entries.
//
// A server names one limit for all processes together. One process, the divider of that
// server, grants each request by itself, so that the sum does not depend on the number of
// entries or on how the requests are spread over them.
package ratelimit

import (
	"sync"
	"time"
)

const (
	// burst is the largest number of requests that are granted at the same moment.
	burst = 2.0
	// minRate is the rate, in requests per second, at which requests are granted even if the
	// limit is lower. Without any request, nobody would learn that the limit has ended.
	minRate = 0.1
	// partialShare is the part of the limit that a divider grants while another one may
	// grant the rest: bounds on the sum allow one and a half times the limit.
	partialShare = 0.5
	// takeoverTime is how long a new divider grants only partialShare. Entries may ask
	// different dividers until all of them know of a change of the fleet.
	takeoverTime = 5 * time.Second
	// reportTime is how long a limit is reported that no entry has heard of again.
	reportTime = 30 * time.Second
	// retention is how long a server is remembered that no entry asks for.
	retention = time.Minute
)

// Server identifies one lifetime of a server.
type Server struct {
	ID   string
	Born int64
}

// Demand is a request of an entry for a permit.
type Demand struct {
	Server Server
	// PerSecond is the limit in requests per second, which the server named NamedAgo ago.
	PerSecond float64
	NamedAgo  time.Duration
	// Fallback is true if the entry's first choice of a divider does not answer.
	Fallback bool
}

// Grant is the answer to a Demand.
type Grant struct {
	Granted bool
	// RetryAfter is the time until a permit may be granted.
	RetryAfter time.Duration
	// Ended is true if the server names no limit any more. Requests then need no permit.
	Ended bool
}

// Divider grants permits. It is safe for concurrent use.
type Divider struct {
	mu      sync.Mutex
	servers map[Server]*bucket
}

// bucket has the permits and the state of one server's limit.
type bucket struct {
	tokens Bucket
	// firstAt is when an entry first chose this divider first, and lastAt when one last did.
	firstAt, lastAt time.Time
	perSecond       float64
	// namedAt is when the server last named its limit, and endedAt when it last did not.
	namedAt, endedAt time.Time
}

// NewDivider returns a Divider without any limits.
func NewDivider() *Divider { return &Divider{servers: map[Server]*bucket{}} }

// Take grants or denies one request.
func (d *Divider) Take(now time.Time, q Demand) Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.bucket(now, q.Server)
	if named := now.Add(-q.NamedAgo); named.After(b.namedAt) {
		b.namedAt, b.perSecond = named, q.PerSecond
	}
	if b.endedAt.After(b.namedAt) {
		return Grant{Granted: true, Ended: true}
	}
	if !q.Fallback {
		b.chosen(now)
	}
	rate := b.rate(now)
	b.tokens.Refill(now, rate, burst)
	if !b.tokens.Take(1) {
		return Grant{RetryAfter: b.tokens.Wait(1, rate)}
	}
	return Grant{Granted: true}
}

// End records that a server has stopped naming a limit.
func (d *Divider) End(now time.Time, s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bucket(now, s).endedAt = now
}

// Limit returns the limit of a server in requests per second, if entries have recently
// reported one that has not ended.
func (d *Divider) Limit(now time.Time, id string) (perSecond float64, limited bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var latest time.Time
	for s, b := range d.servers {
		if s.ID != id || b.endedAt.After(b.namedAt) || now.Sub(b.namedAt) > reportTime || b.namedAt.Before(latest) {
			continue
		}
		latest, perSecond, limited = b.namedAt, b.perSecond, true
	}
	return perSecond, limited
}

// bucket returns the bucket of a server, which is created on first use, and drops those
// that no entry asks for any more. The caller holds mu.
func (d *Divider) bucket(now time.Time, s Server) *bucket {
	if b := d.servers[s]; b != nil {
		return b
	}
	for other, b := range d.servers {
		if now.Sub(b.tokens.updatedAt) > retention {
			delete(d.servers, other)
		}
	}
	b := &bucket{tokens: NewBucket(now, 0)}
	d.servers[s] = b
	return b
}

// chosen records that an entry has chosen this divider first.
func (b *bucket) chosen(now time.Time) {
	if now.Sub(b.lastAt) > takeoverTime {
		b.firstAt = now
	}
	b.lastAt = now
}

// rate returns the permits per second that the divider grants.
func (b *bucket) rate(now time.Time) float64 {
	whole := now.Sub(b.lastAt) <= takeoverTime && now.Sub(b.firstAt) >= takeoverTime
	if whole {
		return max(b.perSecond, minRate)
	}
	return max(b.perSecond*partialShare, minRate)
}
