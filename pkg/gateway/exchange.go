package gateway

import (
	"context"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/membudget"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/route"
	"github.com/fescuecourse/fescuecourse/pkg/settle"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// exchange holds the state of one request while it passes through the filters.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	started  time.Time
	deadline time.Time
	// stall ends a stream whose next event is late. It is nil for other requests.
	stall   *stallTimer
	call    Call
	table   *route.Table
	route   *route.Route
	service *route.Service
	// team is the team of the caller, or nil if the request belongs to none.
	team *route.Team
	// quota is what the request has used of the quota of its team.
	quota quotaUse
	body  *membudget.Buffer
	// bodyBegun is true once the body is being read, and bodyRead once all of it was read.
	bodyBegun, bodyRead bool

	settlement *settle.Settlement
	history    retry.History
	excluded   []fleet.ID
	// outdated lists the status reports that attempts have shown to be outdated.
	outdated []*fleet.Status
	// sends is the number of attempts that were started for the request.
	sends int
	// carriedBy are the connections on which the request was sent.
	carriedBy []*upstream.Conn
	// arrived is true once an attempt may have reached a server.
	arrived bool
	// software is the software version at which the stream of the request began, or nil if
	// any may serve the request. It does not change once it is set.
	software atomic.Pointer[string]
	// originUnknown is true for a resumed stream that continues at the only software version
	// of its service.
	originUnknown bool

	// State of the current attempt.
	endpoint *fleet.Endpoint
	choice   locality.Choice
	version  int
	result   result
	// admission is the right to send the attempt to a server that has asked for a backoff, or
	// nil.
	admission *fleet.Admission
	// reply is what the head of the last response to the request says.
	reply Reply
	// weightsVersion is the version of the base model's weights that the response names,
	// or 0 if it names none.
	weightsVersion int
	// framing is how the server's response marks its end, or 0 before its head has arrived.
	framing upstream.Framing

	// lastTransfer is when the current attempt began, or bytes of its request or its response
	// last passed, in nanoseconds since started.
	lastTransfer atomic.Int64
	// State of the response.
	headSent bool
	// endsByClose is true if the response to the caller ends with its connection.
	endsByClose bool
	// complete is set once the end of a server's response has been relayed.
	complete bool
	// firstByte is the time from started to the start of the response, or 0 before it.
	firstByte   time.Duration
	lastEventID string
	// streamType is the media type of the response that began the stream.
	streamType string
	// lastEvent is when the last event of a stream was sent to the caller, and longestGap the
	// longest time between two of them.
	lastEvent  time.Time
	longestGap time.Duration
	// cause is why the request ended before its response was complete.
	cause endcause.Cause
}

// forModelServer reports whether the request goes to a service of model servers.
func (x *exchange) forModelServer() bool { return x.service.Engine != nil }

// priority returns the priority of the request: that of its team, if the team has one, else
// that of its route.
func (x *exchange) priority() int {
	if x.team != nil && x.team.Priority != nil {
		return *x.team.Priority
	}
	return x.route.Priority
}

// nextEventBy returns the time by which the response, or the next event of a stream,
// must be sent. Afterwards the caller is gone. It may be called by several goroutines.
func (x *exchange) nextEventBy() time.Time {
	if x.stall == nil {
		return x.deadline
	}
	if expiry := x.stall.expiry(); expiry.Before(x.deadline) {
		return expiry
	}
	return x.deadline
}

// eventSent records that an event of a stream was sent to the caller.
func (x *exchange) eventSent() {
	now := time.Now()
	if !x.lastEvent.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEvent))
	}
	x.lastEvent = now
	x.stall.eventSent()
}

// avoid keeps further attempts away from the endpoint of a failed attempt: until its next
// status report if only the last one was outdated, else for the rest of the request.
func (x *exchange) avoid(e *fleet.Endpoint) {
	if x.result.outdated {
		x.outdated = append(x.outdated, x.choice.Status)
		return
	}
	x.excluded = append(x.excluded, e.ID)
}

// ranInChosenScope reports whether the response names the weights that the choice of the
// server was based on, as far as either is known. The server may have loaded others since
// its last status report. The request itself names the adapter's version to the server.
func (x *exchange) ranInChosenScope() bool {
	chosen := x.choice.Scope.Weights
	return chosen == 0 || x.weightsVersion == 0 || chosen == x.weightsVersion
}

// repeatable reports whether the request may be sent again although an earlier
// attempt may have run.
func (x *exchange) repeatable() bool {
	return x.route.Kind == route.Idempotent || x.route.Kind == route.Streaming && x.route.Resumable
}

// sent reports whether an attempt of the request was sent, at least in part. An attempt that
// found no connection was not.
func (x *exchange) sent() bool { return x.settlement != nil && x.settlement.Sent() }

// result describes how one attempt ended.
type result struct {
	end    retry.Result
	detail string
	// cause is why the attempt was cancelled before it got a complete response, or
	// endcause.None.
	cause endcause.Cause
	// status is the HTTP status of the endpoint's response, or 0 if there was none.
	status int
	// outdated means that the server did not hold the versions that the choice was based
	// on, which is no failure of the server.
	outdated bool
	// unsent means that the attempt was refused by this entry, which is no failure of the
	// server.
	unsent bool
}

// failure is the error response to a request for which no endpoint's response is
// relayed.
type failure struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// next runs the remaining filters of the chain.
type next func(ctx context.Context, x *exchange) *failure

// filter is one step of request handling. It calls next to continue, or returns a
// failure to end the request.
type filter interface {
	do(ctx context.Context, x *exchange, next next) *failure
}

func chain(filters ...filter) next {
	n := func(context.Context, *exchange) *failure { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		f, inner := filters[i], n
		n = func(ctx context.Context, x *exchange) *failure { return f.do(ctx, x, inner) }
	}
	return n
}

// serve handles one HTTP request of a caller. The caller gets the complete response of
// a server, a complete error response, or a connection that is closed.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{w: w, r: r, started: time.Now()}
	g.metrics.requests.Inc(1)
	if r.ContentLength != 0 {
		connlimit.Of(r.Context()).BeginBody()
	}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	fail := g.handleSafely(r.Context(), x)
	g.settle(x, fail)
	if x.complete {
		if x.endsByClose {
			_ = http.NewResponseController(w).Flush() // the caller may be gone
			closeRegularly(r.Context())
		}
		return
	}
	if fail == nil || x.headSent {
		// Returning would make net/http end the response as if it were complete.
		panic(http.ErrAbortHandler)
	}
	if fail.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(fail.retryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	unread := !x.bodyRead && r.ContentLength != 0
	if unread {
		connlimit.BeginRefusal(w, !x.bodyBegun)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(fail.status)
	_, _ = w.Write([]byte(fail.reason + "\n")) // the caller may be gone
	if unread && x.bodyBegun {
		connlimit.EndRefusal(w, r)
	}
}

// recordCause records why the request ended before its response was complete.
func (x *exchange) recordCause(ctx context.Context) {
	if !x.complete {
		x.cause = endcause.OfRequest(ctx, x.result.cause)
	}
}

// settle records the outcome of a request in metrics and writes its closing log line.
func (g *Gateway) settle(x *exchange, fail *failure) {
	outcome := x.history.Outcome()
	if !x.sent() && outcome == ident.Unknown {
		outcome = ident.NotRun // the caller left before anything was sent
	}
	switch {
	case fail == nil && outcome == ident.Answered:
		g.metrics.answered.Inc(1)
	case outcome == ident.NotRun:
		g.metrics.refused.Inc(1)
	default:
		g.metrics.failed.Inc(1)
	}
	if x.settlement != nil {
		x.settlement.Settle(outcome)
	}
	ev := g.log.For(logging.ComponentEntry).Info().
		Str("request", x.call.RequestID).
		Str("outcome", outcome.String()).
		Dur("took_ms", time.Since(x.started)).
		Dur("first_byte_ms", x.firstByte).
		Dur("longest_gap_ms", x.longestGap).
		Int("sends", x.sends).
		Int("ran_weights", x.weightsVersion).
		Str("framing", x.framing.String()).
		Str("cause", x.cause.String())
	if x.route != nil {
		ev = ev.Str("route", x.route.Name).Uint("config", uint64(x.table.Version))
	}
	if x.quota.cost > 0 {
		ev = ev.Float("quota_cost", x.quota.cost).Dur("quota_wait_ms", x.quota.waited).Bool("quota_refunded", x.quota.refunded)
	}
	if x.team != nil {
		ev = ev.Str("team", string(x.team.Name))
	}
	if x.call.LastEventID != "" {
		ev = ev.Str("resumes", x.call.Resumes).Str("after_event", x.call.LastEventID)
	}
	if fail != nil {
		ev = ev.Int("status", fail.status).Str("reason", fail.reason).Dur("retry_after_ms", fail.retryAfter)
	}
	ev.Msg("request ended")
}

// handleSafely passes a request through the filters. If one panics, the request fails: it is
// not left to net/http, which closes the connection of the caller without a trace in the
// logs and metrics of requests.
func (g *Gateway) handleSafely(ctx context.Context, x *exchange) (fail *failure) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		invariant.Check(false, invariant.NoPanic, "request %s: %v\n%s", x.call.RequestID, p, debug.Stack())
		fail = notRun("the entry failed before it sent the request", 0)
		if x.sent() {
			fail = &failure{status: http.StatusBadGateway, reason: "the entry failed while it handled the request"}
			x.history.Record(retry.Unknown)
		}
	}()
	return g.handle(ctx, x)
}

func rejected(status int, reason string) *failure { return &failure{status: status, reason: reason} }

// notRun returns the failure for a request that has not run and will not run. The
// caller may send it again after retryAfter.
func notRun(reason string, retryAfter time.Duration) *failure {
	return &failure{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}
