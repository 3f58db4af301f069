package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
	"github.com/fescuecourse/fescuecourse/pkg/ratelimit"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

const (
	// permitTimeout limits the question for a permit. A sidecar answers within a few
	// milliseconds.
	permitTimeout = 100 * time.Millisecond
	// dividers is the number of sidecars that are asked for a permit: the second one only
	// if the first does not answer.
	dividers = 2
	// silentDivider is how long a sidecar that did not answer is not asked.
	silentDivider = time.Second
	// minThrottle and maxThrottle limit the time for which a server is not chosen after a
	// permit was denied.
	minThrottle = 10 * time.Millisecond
	maxThrottle = 5 * time.Second
	// trickleInterval is the interval at which all entries together send a request to a
	// server with a limit although no sidecar answers. Without any request, nobody would
	// learn that the limit has ended.
	trickleInterval = 4 * time.Second
	// unknownEntries is the number of entries that is assumed if none is known.
	unknownEntries = 330
)

// limiter asks for permits to send requests to servers that name a limit.
type limiter struct {
	origins *originTracker
	share   *retry.Share
	log     logging.Logger

	mu sync.Mutex
	// silent maps a sidecar that did not answer to the time until which it is not asked.
	silent map[*originLink]time.Time
	// trickled maps a server to the time of the last request without a permit, or of the
	// first one that was denied.
	trickled map[*fleet.Runtime]time.Time
}

func newLimiter(o *originTracker, share *retry.Share, log logging.Logger) *limiter {
	return &limiter{
		origins:  o,
		share:    share,
		log:      log.For(logging.ComponentRoute),
		silent:   map[*originLink]time.Time{},
		trickled: map[*fleet.Runtime]time.Time{},
	}
}

// take reports whether a request may be sent to a server now. Servers that name no limit
// need no permit. If there is none, the server is not chosen again until there may be.
func (l *limiter) take(ctx context.Context, x *exchange, e *fleet.Endpoint) bool {
	perSecond, namedAt, limited := e.Runtime.Limit()
	if !limited {
		return true
	}
	now := time.Now()
	grant, asked, answered := l.ask(ctx, e, ratelimit.Demand{
		Server:    ratelimit.Server{ID: string(e.ID), Born: e.Born},
		PerSecond: perSecond,
		NamedAgo:  max(now.Sub(namedAt), 0),
	})
	if !answered {
		grant = l.trickle(now, e)
	}
	if grant.Ended {
		e.Runtime.EndLimit()
	}
	if !grant.Granted {
		e.Runtime.Throttle(now.Add(min(max(grant.RetryAfter, minThrottle), maxThrottle)))
	}
	l.log.Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(e.ID)).
		Float("limit_per_s", perSecond).
		Dur("limit_age_ms", now.Sub(namedAt)).
		Int("dividers_asked", asked).
		Bool("answered", answered).
		Bool("granted", grant.Granted).
		Bool("ended", grant.Ended).
		Dur("retry_after_ms", grant.RetryAfter).
		Msg("permit for a limited server")
	return grant.Granted
}

// ask asks the dividers of a server in turn. It reports how many it asked and whether one
// has answered.
func (l *limiter) ask(ctx context.Context, e *fleet.Endpoint, q ratelimit.Demand) (grant ratelimit.Grant, asked int, answered bool) {
	for i, link := range l.dividers(e) {
		if l.isSilent(link) {
			continue
		}
		asked++
		q.Fallback = i > 0
		if grant, answered = askDivider(ctx, link, q); answered {
			return grant, asked, true
		}
		l.markSilent(link)
	}
	return ratelimit.Grant{}, asked, false
}

// askDivider asks one sidecar for a permit. It reports false if the sidecar does not
// answer.
func askDivider(ctx context.Context, link *originLink, q ratelimit.Demand) (ratelimit.Grant, bool) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	client := link.connection(ctx)
	if client == nil {
		return ratelimit.Grant{}, false
	}
	resp, err := client.TakePermit(ctx, &fescuev1.TakePermitRequest{
		InstanceId:     q.Server.ID,
		Born:           q.Server.Born,
		LimitPerSecond: q.PerSecond,
		NamedMsAgo:     uint32(q.NamedAgo.Milliseconds()),
		Fallback:       q.Fallback,
	})
	if err != nil {
		return ratelimit.Grant{}, false
	}
	return ratelimit.Grant{
		Granted:    resp.GetGranted(),
		RetryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
		Ended:      resp.GetEnded(),
	}, true
}

// dividers returns the links to the sidecars that divide the limit of a server: first the
// server's own one, if it has one, then those that a hash of its id chooses.
func (l *limiter) dividers(e *fleet.Endpoint) []*originLink {
	var out []*originLink
	if own := l.origins.link(e); own != nil {
		out = append(out, own)
	}
	for _, holder := range l.origins.currentHolders().listed.Of(origin.ID(string(e.ID))) {
		if link := l.origins.link(holder); link != nil && holder.Runtime != e.Runtime && len(out) < dividers {
			out = append(out, link)
		}
	}
	return out
}

func (l *limiter) isSilent(link *originLink) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.silent[link])
}

func (l *limiter) markSilent(link *originLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for other, until := range l.silent {
		if until.Before(now) {
			delete(l.silent, other)
		}
	}
	l.silent[link] = now.Add(silentDivider)
}

// trickle grants a request to a server while no divider answers. All entries that are known
// together send one in each trickleInterval.
func (l *limiter) trickle(now time.Time, e *fleet.Endpoint) ratelimit.Grant {
	entries := l.share.Entries()
	if entries == 0 {
		entries = unknownEntries
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.trickled[e.Runtime]
	if !known {
		l.trickled[e.Runtime] = now
		return ratelimit.Grant{RetryAfter: maxThrottle}
	}
	if wait := time.Duration(entries)*trickleInterval - now.Sub(last); wait > 0 {
		return ratelimit.Grant{RetryAfter: wait}
	}
	l.trickled[e.Runtime] = now
	return ratelimit.Grant{Granted: true}
}

// ended tells the dividers of a server that it has stopped naming a limit.
func (l *limiter) ended(e *fleet.Endpoint) {
	for _, link := range l.dividers(e) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
			defer cancel()
			client := link.connection(ctx)
			if client == nil {
				return
			}
			_, err := client.TakePermit(ctx, &fescuev1.TakePermitRequest{InstanceId: string(e.ID), Born: e.Born, Ended: true})
			if err != nil {
				l.log.Debug().Str("endpoint", string(e.ID)).Err(err).Msg("cannot report the end of a limit")
			}
		}()
	}
}

// forget drops what is known of servers that are gone.
func (l *limiter) forget(keep map[*fleet.Runtime]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for rt := range l.trickled {
		if !keep[rt] {
			delete(l.trickled, rt)
		}
	}
}

// recordLimit records what a response says about the limit of its server, and logs a
// change.
func (g *Gateway) recordLimit(x *exchange, n fleet.NamedLimit) {
	e := x.endpoint
	if n.Malformed {
		g.log.For(logging.ComponentRoute).Warn().
			Str("request", x.call.RequestID).
			Str("endpoint", string(e.ID)).
			Msg("server names a limit that cannot be read")
	}
	if !e.Runtime.RecordLimit(time.Now(), n) {
		return
	}
	if !n.Named {
		g.limits.ended(e)
	}
	g.log.For(logging.ComponentRoute).Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(e.ID)).
		Bool("limited", n.Named).
		Float("limit_per_s", n.PerSecond).
		Msg("limit of a server changed")
}
