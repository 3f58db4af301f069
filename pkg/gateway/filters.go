package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/route"
	"github.com/fescuecourse/fescuecourse/pkg/settle"
)

const (
	// retryAfterStart is the Retry-After value while the configuration is not known yet.
	retryAfterStart = 500 * time.Millisecond
	// retryAfterStopping is the Retry-After value of an entry that is shutting down. It
	// is short because another entry can take the request.
	retryAfterStopping = 10 * time.Millisecond
	// retryAfterCapacity is the Retry-After value when no endpoint can take the request.
	retryAfterCapacity = 300 * time.Millisecond
	// defaultTimeLimit is the time limit of requests for which the caller sets none.
	// The timeout of the route may shorten it.
	defaultTimeLimit = 30 * time.Second
	// replyMargin is how long before the caller's own limit a streaming request ends
	// with a final response. Without the margin, the caller would disconnect while an
	// unreachable server still has the request. The margin covers the network delay in
	// both directions and a CPU stall of 100 ms.
	replyMargin = 100 * time.Millisecond
	// replyMarginShare limits replyMargin to 1/replyMarginShare of the caller's limit.
	replyMarginShare = 20
	// maxSends is the largest number of attempts for one request, even if each of them
	// is refused.
	maxSends = 3
)

// routeFilter finds the route and the service of a request and sets its deadline.
type routeFilter struct{ g *Gateway }

func (f routeFilter) do(ctx context.Context, x *exchange, next next) *failure {
	call, err := f.g.headers.Call(x.r.Header)
	if err != nil {
		return rejected(http.StatusBadRequest, err.Error())
	}
	x.call = call
	x.table = f.g.control.snapshot.Load().Table
	if x.table == nil {
		return notRun("no configuration is known yet", retryAfterStart)
	}
	x.route = x.table.Find(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return rejected(http.StatusNotFound, "no route for this host and path")
	}
	name := x.route.PickService(beginningRequestID(&call))
	x.service = x.table.Service(name)
	if x.service == nil {
		return notRun("the service of the route is not configured", retryAfterStart)
	}
	x.deadline = x.started.Add(f.timeLimit(x))
	if !f.g.mayTake(x) {
		return stoppingFailure()
	}
	x.settlement = settle.New(ident.RequestID(call.RequestID))
	x.history.Idempotent = x.repeatable()
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, endcause.Deadline)
	defer cancel()
	if x.route.Kind == route.Streaming {
		ctx, x.stall = startStallTimer(ctx, x.route, x.started)
		defer x.stall.stop()
	}
	fail := next(ctx, x)
	x.recordCause(ctx)
	return fail
}

// beginningRequestID returns the id of the request that began a resumed stream, or the request's
// own id if it resumes none.
func beginningRequestID(c *Call) string {
	if c.LastEventID != "" && c.Resumes != "" {
		return c.Resumes
	}
	return c.RequestID
}

// timeLimit returns the time limit of a request: the shorter of the caller's limit
// and the route's timeout.
func (routeFilter) timeLimit(x *exchange) time.Duration {
	timeLimit := defaultTimeLimit
	if x.call.MaxWait > 0 {
		timeLimit = x.call.MaxWait
	}
	if x.route.Kind == route.Streaming {
		timeLimit = withReplyMargin(timeLimit)
	}
	if x.route.Timeout > 0 {
		timeLimit = min(timeLimit, x.route.Timeout)
	}
	return timeLimit
}

// retryFilter repeats failed attempts where the retry rule and the retry budget allow
// it.
type retryFilter struct{ g *Gateway }

func (f retryFilter) do(ctx context.Context, x *exchange, next next) *failure {
	budget := f.g.budget(x.service.Name)
	budget.RecordRequest(time.Now())
	for {
		last := x.result
		x.result = result{}
		if fail := next(ctx, x); fail != nil {
			return f.interrupted(ctx, x, last, fail)
		}
		x.history.Record(x.result.end)
		x.history.Expired = endcause.Of(ctx) != endcause.None
		if x.result.end == retry.Answered || x.result.end == retry.CallerGone {
			return nil
		}
		if !f.mayRepeat(x, budget) {
			return f.failure(ctx, x)
		}
		f.g.metrics.retries.Inc(1)
	}
}

// mayRepeat applies the retry rule and asks the retry budget. The retry is counted when it is
// sent, because it may wait for a load until then. The MaxAttempts of the route
// limits only attempts that may have run. While every attempt is proved not to have
// run, the limit is maxSends.
func (f retryFilter) mayRepeat(x *exchange, budget *retry.Budget) bool {
	if x.headSent && (x.route.Kind != route.Streaming || x.lastEventID == "") {
		return false // nothing can continue the response
	}
	sends := maxSends
	if x.history.Uncertain {
		sends = min(sends, x.route.MaxAttempts)
	}
	if !retry.MayRepeat(x.history, sends) {
		return false
	}
	if !x.arrived {
		return true // the next attempt is the first to reach a server
	}
	now := time.Now()
	allowed := budget.Allows(now, f.g.set.RetryRatio, f.g.share.Slack(now))
	f.g.logRetry(x, allowed)
	return allowed
}

// interrupted returns the failure of a request whose next attempt could not be sent.
// last is the result of the attempt before it. If that one may have run, its cause
// remains the cause of the failure.
func (f retryFilter) interrupted(ctx context.Context, x *exchange, last result, fail *failure) *failure {
	if x.history.Uncertain || x.headSent {
		x.result = last
		x.result.detail += "; " + fail.reason
		return f.failure(ctx, x)
	}
	x.history.Last = retry.NotRun
	return fail
}

// failure returns the failure of a request that got no complete response.
func (f retryFilter) failure(ctx context.Context, x *exchange) *failure {
	switch {
	case x.headSent:
		return &failure{status: http.StatusBadGateway, reason: "the response broke off: " + x.result.detail}
	case x.history.Outcome() == ident.NotRun:
		endpoints := f.g.control.snapshot.Load().Services[x.service.Name]
		return notRun("the request was not run: "+x.result.detail, nextAvailable(time.Now(), endpoints))
	case endcause.Of(ctx).IsTimeout():
		return rejected(http.StatusGatewayTimeout, "no response in time, the result is not known")
	default:
		return rejected(http.StatusBadGateway, "the result is not known: "+x.result.detail)
	}
}
