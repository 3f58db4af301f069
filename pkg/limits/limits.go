// Package limits bounds the request rate and the number of requests in flight of
// each team at one entry. The limits of a team are divided equally among the
// entries.
package limits

import (
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Reason is the limit that caused a refusal.
type Reason string

// Reasons of refusals.
const (
	ReasonRate     Reason = "rate"
	ReasonInFlight Reason = "in_flight"
)

// retryAfterInFlight is the retry delay suggested to clients above the limit on
// requests in flight. It is fixed, because the limiter does not know when a request
// in flight will end.
const retryAfterInFlight = time.Second

// Refusal states the limit that refused a request and the time after which the
// client may retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Limiter holds the state of all teams. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	teams map[ident.Team]*team
}

// team is the state of one team: a token bucket with a capacity of one second of its
// rate, and the number of requests in flight.
type team struct {
	tokens    float64
	updatedAt time.Time // time for which tokens was computed
	inFlight  int
}

// New returns a limiter with no requests in flight.
func New() *Limiter { return &Limiter{teams: map[ident.Team]*team{}} }

// entryLimits returns the limits that apply at one of n entries: requests/s and
// requests in flight. Zero means no limit.
func entryLimits(p bundle.TeamPolicy, n int) (rate float64, inFlight int) {
	n = max(n, 1)
	rate = p.RatePerSecond / float64(n)
	if p.MaxInFlight > 0 {
		inFlight = max((p.MaxInFlight+n-1)/n, 1)
	}
	return rate, inFlight
}

// Acquire admits or refuses a request of a team and reports whether it is admitted.
// The caller takes the policy p from the active bundle, so that a new bundle takes
// effect at once while the counts are kept. entries is the number of entries that
// share the limits. Release must be called for each admitted request.
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

// Release ends an admitted request of a team.
func (l *Limiter) Release(id ident.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.teams[id]; t != nil && t.inFlight > 0 {
		t.inFlight--
	}
}

// InFlight returns the number of admitted requests of a team that have not been
// released.
func (l *Limiter) InFlight(id ident.Team) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.teams[id]; t != nil {
		return t.inFlight
	}
	return 0
}

// Retain deletes the state of teams that are not in the bundle and have no requests
// in flight.
func (l *Limiter) Retain(b *bundle.Bundle) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.teams {
		if _, ok := b.Team(id); !ok && t.inFlight == 0 {
			delete(l.teams, id)
		}
	}
}

// team returns the state of a team. The token bucket of a new team is full.
func (l *Limiter) team(now time.Time, id ident.Team, rate float64) *team {
	t := l.teams[id]
	if t == nil {
		t = &team{tokens: max(rate, 1), updatedAt: now}
		l.teams[id] = t
	}
	return t
}

// take removes a token and returns 0, or returns the time until a token is
// available.
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
