package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/route"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

const (
	// unreachableBan is how long no requests are sent to an endpoint after a failed
	// connection attempt.
	unreachableBan = 500 * time.Millisecond
	// misdirectedBan is how long no requests are sent to an endpoint whose address
	// turned out to belong to another one.
	misdirectedBan = 5 * time.Second
)

// sendFilter sends one attempt to the chosen endpoint and relays the response.
type sendFilter struct{ g *Gateway }

// poolKey returns the connection pool key of one lifetime of an endpoint.
func poolKey(e *fleet.Endpoint) string {
	return string(e.ID) + "/" + strconv.FormatInt(e.Born, 10) + "/" + e.Address
}

func (f sendFilter) do(ctx context.Context, x *exchange, _ next) *failure {
	e := x.endpoint
	began := time.Now()
	x.sends++
	x.weightsVersion = 0
	x.framing = 0
	x.transferred()
	e.Runtime.InFlight.Add(1)
	counts := f.begin(x)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	if f.canMove(x) {
		go newMoveWatch(f.g, x).run(attemptCtx, cancel)
	}
	x.result = f.attempt(attemptCtx, x, counts)
	cancel(nil)
	counts.end()
	e.Runtime.InFlight.Add(-1)
	f.recordResult(ctx, x, began)
	return nil
}

// recordResult updates the endpoint's latency and failure statistics after an
// attempt, excludes the endpoint from further attempts if this one failed, and logs
// the failure.
func (f sendFilter) recordResult(ctx context.Context, x *exchange, began time.Time) {
	e := x.endpoint
	now := time.Now()
	switch {
	case x.result.end == retry.Answered && x.result.status < http.StatusInternalServerError:
		e.Runtime.RecordSuccess(now.Sub(began))
	case x.result.end != retry.CallerGone && !x.result.outdated && !x.result.unsent:
		e.Runtime.RecordFailure(now)
	}
	if x.result.end == retry.NotRun || x.result.end == retry.Unknown {
		x.avoid(e)
		f.g.log.For(logging.ComponentRoute).Warn().
			Str("request", x.call.RequestID).
			Str("endpoint", string(e.ID)).
			Str("end", resultName(x.result.end)).
			Int("status", x.result.status).
			Str("detail", x.result.detail).
			Str("framing", x.framing.String()).
			Dur("took_ms", now.Sub(began)).
			Str("cause", x.result.cause.String()).
			Bool("expired", endcause.Of(ctx) != endcause.None).
			Msg("attempt failed")
	}
}

func resultName(e retry.Result) string {
	if e == retry.NotRun {
		return "not-run"
	}
	return "unknown"
}

// attemptCounts is what one attempt contributes to the counters of a model server. It
// is empty for attempts at other endpoints.
type attemptCounts struct {
	runtime *fleet.Runtime
	demand  *demand
	key     fleet.AdapterKey
	class   int
	backlog int64
	// sentAt is when the attempt began, and expected the time that a server of the usual
	// pace takes to its first event.
	sentAt   time.Time
	expected time.Duration
	// nextBest is the time in which another server was expected to send the first event, or 0
	// if there was none.
	nextBest time.Duration
	choices  *choiceMetrics
}

// begin adds the attempt to the counters of its model server. The caller must call
// end on the result.
func (f sendFilter) begin(x *exchange) *attemptCounts {
	if !x.forModelServer() {
		return &attemptCounts{}
	}
	c := &attemptCounts{runtime: x.endpoint.Runtime, demand: f.g.control.demandOf(x.endpoint), key: x.call.Key, class: fleet.PriorityClass(x.priority())}
	c.backlog = int64(max(x.call.PromptTokens-x.choice.CachedTokens, 0))
	c.sentAt, c.expected = time.Now(), f.g.chooser.FirstEventTime(&x.choice, int(c.backlog))
	c.runtime.Backlog[c.class].Add(c.backlog)
	c.nextBest, c.choices = x.choice.NextBest, &f.g.metrics.choices
	c.demand.start(c.key, c.backlog)
	return c
}

// promptDone takes the prompt off the server's backlog. It is called when the first
// event shows that the server has processed the prompt, and when the attempt ends.
func (c *attemptCounts) promptDone() {
	if c.runtime != nil {
		c.runtime.Backlog[c.class].Add(-c.backlog)
	}
	c.backlog = 0
}

// recordPace records how long the first event of the attempt took. It does nothing for
// later events.
func (c *attemptCounts) recordPace() {
	if c.demand == nil || c.sentAt.IsZero() {
		return
	}
	took := time.Since(c.sentAt)
	c.demand.addFirstEvent(c.expected, took)
	c.choices.firstEvent(took, c.nextBest)
	c.sentAt = time.Time{}
}

func (c *attemptCounts) end() {
	if c.runtime == nil {
		return
	}
	c.promptDone()
	c.demand.end(c.key)
}

func (f sendFilter) attempt(ctx context.Context, x *exchange, c *attemptCounts) result {
	e := x.endpoint
	conn, err := f.connect(ctx, x)
	if err != nil {
		if endcause.Of(ctx) == endcause.None {
			e.Runtime.Ban(time.Now().Add(unreachableBan))
		}
		return withCause(ctx, result{end: retry.NotRun, detail: "no connection to the endpoint"})
	}
	admission, admitted := e.Runtime.Admit(time.Now())
	defer admission.Ended()
	x.admission = admission
	if !admitted {
		f.g.pool.Put(poolKey(e), conn)
		return result{end: retry.NotRun, unsent: true, detail: "the endpoint wants no requests now"}
	}
	if !f.g.takeRetry(x) {
		f.g.pool.Put(poolKey(e), conn)
		return result{end: retry.NotRun, unsent: true, detail: "the retry budget is spent"}
	}
	x.settlement.MarkSent()
	x.carriedBy = append(x.carriedBy, conn)
	ex, err := conn.Send(ctx, f.request(x))
	x.arrived = x.arrived || !errors.Is(err, upstream.ErrNotSent)
	if err != nil {
		end := retry.Unknown
		if errors.Is(err, upstream.ErrNotSent) {
			end = retry.NotRun
		}
		return withCause(ctx, result{end: end, detail: err.Error()})
	}
	return f.receive(ctx, x, conn, ex, c)
}

// connect returns a connection to the endpoint of a request, on which its response can be told
// from those that the endpoint repeats.
func (f sendFilter) connect(ctx context.Context, x *exchange) (*upstream.Conn, error) {
	if x.call.RequestID == "" {
		return f.g.pool.Dial(ctx, x.endpoint.Address)
	}
	return f.g.pool.Get(ctx, poolKey(x.endpoint), x.endpoint.Address, x.carriedBy)
}

// withCause adds the cause to the result of an attempt that got no complete
// response, if ctx has ended. Only a caller that is gone changes the result. After any
// other cause the request is as uncertain as if the connection had failed.
func withCause(ctx context.Context, r result) result {
	r.cause = endcause.Of(ctx)
	switch r.cause {
	case endcause.CallerGone:
		r.end = retry.CallerGone
	case endcause.ServerLost:
		r.detail = "the server does not answer"
	}
	return r
}

func (f sendFilter) request(x *exchange) *upstream.Request {
	a := &Attempt{
		Endpoint:    x.endpoint.ID,
		Remaining:   time.Until(x.deadline),
		Version:     max(x.version, x.choice.Scope.Version()),
		Priority:    x.priority(),
		LastEventID: x.lastEventID,
		HideAPIKey:  x.table.Keyed(),
	}
	if x.team != nil {
		a.Team = x.team.Name
	}
	if x.forModelServer() && x.choice.Source != nil {
		a.FetchFrom = x.choice.Source.Address
	}
	if a.LastEventID == "" {
		a.LastEventID = x.call.LastEventID
	}
	return &upstream.Request{
		Method: x.r.Method,
		Target: x.r.RequestURI,
		Host:   x.r.Host,
		Header: f.g.headers.Forward(x.r.Header, a),
		Parts:  x.body.Blocks(),
		ID:     x.call.RequestID,

		ResponseID:  f.g.headers.ResponseID,
		Transferred: x.transferred,
		OnHead: func(status int, h http.Header, own bool) {
			reply := f.g.headers.Reply(status, h)
			f.g.observe(x, &reply)
			if own {
				x.reply = reply
			}
		},
	}
}

// impliesNotRun reports whether a caller may conclude from an HTTP status that its
// request never ran.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func (f sendFilter) receive(ctx context.Context, x *exchange, conn *upstream.Conn, ex *upstream.Exchange, c *attemptCounts) result {
	status := ex.Response.StatusCode
	reply := &x.reply
	x.weightsVersion = reply.WeightsVersion
	x.framing = upstream.FramingOf(ex.Response)
	f.g.recordLimit(x, reply.Limit)
	if !reply.Backoff.Asked {
		x.admission.Answered()
	}
	switch {
	case reply.NotRun && status < http.StatusMultipleChoices:
		ex.Abort() // only a refusal can be trusted to say so
		return result{end: retry.Unknown, status: status, detail: "the endpoint denies a run in a success response"}
	case reply.NotRun:
		return f.refused(x, conn, ex, reply)
	case impliesNotRun(status):
		ex.Abort()
		return result{end: retry.Unknown, status: status, detail: "the endpoint failed with " + strconv.Itoa(status)}
	case status < http.StatusMultipleChoices && !reply.FromPlatform:
		ex.Abort()
		return result{end: retry.Unknown, status: status, detail: "the response is not from a server"}
	}
	if ex.RequestSent() {
		x.releaseBody()
	}
	if status < http.StatusMultipleChoices && x.choice.Source != nil && !x.ranInChosenScope() {
		ex.Abort()
		return result{end: retry.Unknown, status: status, outdated: true, detail: otherWeights(x)}
	}
	if x.route.Kind == route.Streaming && status == http.StatusOK {
		return f.relayStream(ctx, x, conn, ex, c)
	}
	if x.headSent {
		// The caller already has part of a stream, and only a resumed stream can continue
		// it.
		ex.Abort()
		return result{end: retry.Unknown, status: status, detail: "the stream was not resumed: " + strconv.Itoa(status)}
	}
	return f.relayBuffered(ctx, x, conn, ex)
}

// otherWeights describes a response whose server fetched prompt parts that were processed
// with other weights than those that it ran.
func otherWeights(x *exchange) string {
	return fmt.Sprintf("the prompt parts were processed with weights %d, the response with %d", x.choice.Scope.Weights, x.weightsVersion)
}

// refused handles a response that proves that the request did not run.
func (f sendFilter) refused(x *exchange, conn *upstream.Conn, ex *upstream.Exchange, reply *Reply) result {
	status := ex.Response.StatusCode
	if _, err := io.CopyN(io.Discard, ex.Response.Body, maxBufferedBytes); errors.Is(err, io.EOF) && ex.Finish() {
		f.g.pool.Put(poolKey(x.endpoint), conn)
	} else {
		ex.Abort()
	}
	r := result{end: retry.NotRun, status: status, detail: "the endpoint refused with " + strconv.Itoa(status)}
	if status != http.StatusMisdirectedRequest {
		return r
	}
	if reply.Instance != "" && reply.Instance != x.endpoint.ID {
		x.endpoint.Runtime.Ban(time.Now().Add(misdirectedBan))
		r.detail = "the address belongs to another endpoint"
		return r
	}
	r.outdated = x.forModelServer()
	r.detail = "the server does not hold the adapter"
	return r
}
