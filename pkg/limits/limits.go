// Package limits bounds the request rate and the concurrency of each team at
// one entry. The team's limits are divided by the number of entries.
package limits

import (
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Reason says which limit refused a request.
type Reason string

// Reasons of refusals.
const (
	ReasonRate     Reason = "rate"
	ReasonInFlight Reason = "in_flight"
)

// retryAfterInFlight is the advice to callers above the concurrency limit. The
// limiter does not know when a request in flight will end.
const retryAfterInFlight = time.Second

// Refusal describes why a request is over a limit.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Limiter holds the counts of all teams. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	teams map[ident.Team]*team
}

// team is a token bucket with a capacity of one second and a count of requests
// in flight.
type team struct {
	tokens    float64
	updatedAt time.Time // when tokens was computed
	inFlight  int
}

// New returns a limiter without counts.
func New() *Limiter { return &Limiter{teams: map[ident.Team]*team{}} }

// entryLimits returns the limits of one of n entries: requests/s and requests in flight.
// A limit of 0 means none.
func entryLimits(p bundle.TeamPolicy, n int) (rate float64, inFlight int) {
	n = max(n, 1)
	rate = p.RatePerSecond / float64(n)
	if p.MaxInFlight > 0 {
		inFlight = max((p.MaxInFlight+n-1)/n, 1)
	}
	return rate, inFlight
}

// Acquire admits a request of a team, or refuses it. The policy comes from the
// active bundle, so a new bundle takes effect at once and keeps the counts.
// entries is the number of entries that share the limits. Each admitted request
// must be released.
func (l *Limiter) Acquire(now time.Time, p bundle.TeamPolicy, entries int) (Refusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, inFlight := entryLimits(p, entries)
	t := l.team(now, p.Team, rate)
	if inFlight > 0 && t.inFlight >= inFlight {
		return Refusal{Reason: ReasonInFlight, RetryAfter: retryAfterInFlight}, false
	}
	if rate > 0 {
		if wait := t.take(now, rate); wait > 0 {
			return Refusal{Reason: ReasonRate, RetryAfter: wait}, false
		}
	}
	t.inFlight++
	return Refusal{}, true
}

// Release ends an admitted request.
func (l *Limiter) Release(id ident.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.teams[id]; t != nil && t.inFlight > 0 {
		t.inFlight--
	}
}

// InFlight returns the number of admitted requests of a team.
func (l *Limiter) InFlight(id ident.Team) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.teams[id]; t != nil {
		return t.inFlight
	}
	return 0
}

// Retain drops the idle counts of teams that are not in the bundle.
func (l *Limiter) Retain(b *bundle.Bundle) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.teams {
		if _, ok := b.Team(id); !ok && t.inFlight == 0 {
			delete(l.teams, id)
		}
	}
}

// team returns the counts of a team. A new team starts with a full bucket.
func (l *Limiter) team(now time.Time, id ident.Team, rate float64) *team {
	t := l.teams[id]
	if t == nil {
		t = &team{tokens: max(rate, 1), updatedAt: now}
		l.teams[id] = t
	}
	return t
}

// take removes a token or returns the time until there is one.
func (t *team) take(now time.Time, rate float64) time.Duration {
	if elapsed := now.Sub(t.updatedAt); elapsed > 0 {
		t.tokens += elapsed.Seconds() * rate
		t.updatedAt = now
	}
	t.tokens = min(t.tokens, max(rate, 1))
	if t.tokens < 1 {
		return max(time.Duration((1-t.tokens)/rate*float64(time.Second)), time.Nanosecond)
	}
	t.tokens--
	return 0
}
