package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

const (
	// minStallLimit is the shortest gap in a stream after which callers disconnect.
	minStallLimit = 2 * time.Second
	// stallTargetFactor and stallGapFactor give the gap after which callers disconnect
	// as multiples of the latency target and of the longest permitted gap of a route.
	stallTargetFactor = 4
	stallGapFactor    = 8
)

// stallLimit returns how long callers wait for the first event of a stream, and for
// each further one, before they disconnect.
func stallLimit(r *route.Route) time.Duration {
	return max(minStallLimit, stallTargetFactor*r.TargetLatency, stallGapFactor*r.MaxEventGap)
}

// stallTimer cancels a stream shortly before its caller disconnects because no event
// arrived, so that the caller gets a final response and no server works on for it. Only
// expiry may be called by other goroutines than that of the request.
type stallTimer struct {
	limit time.Duration
	timer *time.Timer
	began time.Time
	// pausedAt is when the timer was paused last.
	pausedAt time.Time
	// expiresAfter is the time from began to the expiry of the timer, in nanoseconds.
	expiresAfter atomic.Int64
}

// startStallTimer returns a context that is cancelled with endcause.Stalled when no
// event has arrived within the limit of the route, counted from began.
func startStallTimer(ctx context.Context, r *route.Route, began time.Time) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stallTimer{limit: withReplyMargin(stallLimit(r)), began: began}
	s.expiresAfter.Store(int64(s.limit))
	s.timer = time.AfterFunc(time.Until(s.expiry()), func() { cancel(endcause.Stalled) })
	return ctx, s
}

// eventSent restarts the timer after an event was sent to the caller.
func (s *stallTimer) eventSent() {
	if s == nil {
		return
	}
	s.expiresAfter.Store(int64(time.Since(s.began) + s.limit))
	s.timer.Reset(s.limit)
}

// pause stops the timer until resume is called.
func (s *stallTimer) pause() {
	if s == nil {
		return
	}
	s.timer.Stop()
	s.pausedAt = time.Now()
}

// resume starts the timer again. The pause does not count.
func (s *stallTimer) resume() {
	if s == nil {
		return
	}
	s.expiresAfter.Add(int64(time.Since(s.pausedAt)))
	s.timer.Reset(time.Until(s.expiry()))
}

// expiry returns when the stream is cancelled unless an event is sent before.
func (s *stallTimer) expiry() time.Time { return s.began.Add(time.Duration(s.expiresAfter.Load())) }

func (s *stallTimer) stop() { s.timer.Stop() }

// withReplyMargin shortens a limit of the caller so that the final response arrives
// before the caller disconnects.
func withReplyMargin(limit time.Duration) time.Duration {
	return limit - min(replyMargin, limit/replyMarginShare)
}
