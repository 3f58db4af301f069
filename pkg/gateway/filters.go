package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
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
	// loadRecheck is the longest time after which the server is chosen again while a
	// request waits for an adapter load.
	loadRecheck = 100 * time.Millisecond
	// minServiceTime is the shortest remaining time with which a model request keeps
	// waiting for an adapter load. With less, it is refused.
	minServiceTime = 150 * time.Millisecond
	// staleStatusAge is the age of a server's status report from which a waiting request
	// looks for another server. Reports arrive at least every 500 ms.
	staleStatusAge = 800 * time.Millisecond
	// versionGrace is how long an older adapter version may still serve requests after a
	// new one is announced, while the servers replace it.
	versionGrace = 2 * time.Second
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
	name := x.route.PickService(call.RequestID)
	x.service = x.table.Service(name)
	if x.service == nil {
		return notRun("the service of the route is not configured", retryAfterStart)
	}
	if f.g.closing.Load() && x.route.Kind == route.Streaming {
		return notRun("the entry is stopping", retryAfterStopping)
	}
	x.settlement = settle.New(ident.RequestID(call.RequestID))
	x.history.Idempotent = x.repeatable()
	x.deadline = x.started.Add(f.timeLimit(x))
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if x.route.Kind == route.Streaming {
		ctx, x.stall = startStallTimer(ctx, x.route, x.started)
		defer x.stall.stop()
	}
	return next(ctx, x)
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

// bodyFilter reads the whole request body, so that it can be sent more than once.
type bodyFilter struct{ g *Gateway }

func (f bodyFilter) do(ctx context.Context, x *exchange, next next) *failure {
	limit := x.table.Limits.MaxBodyBytes
	reader := x.r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return rejected(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	if err != nil {
		return rejected(http.StatusBadRequest, "the body could not be read")
	}
	x.body = body
	return next(ctx, x)
}

// retryFilter repeats failed attempts where the retry rule and the retry budget allow
// it.
type retryFilter struct{ g *Gateway }

func (f retryFilter) do(ctx context.Context, x *exchange, next next) *failure {
	budget := f.g.budget(x.service.Name)
	budget.RecordRequest(time.Now())
	for {
		x.result = result{}
		if fail := next(ctx, x); fail != nil {
			return f.interrupted(ctx, x, fail)
		}
		x.history.Record(x.result.end)
		x.history.Expired = ctx.Err() != nil
		if x.result.end == retry.Answered || x.result.end == retry.CallerGone {
			return nil
		}
		if !f.mayRepeat(x, budget) {
			return f.failure(ctx, x)
		}
		f.g.metrics.retries.Inc(1)
	}
}

// mayRepeat applies the retry rule and the retry budget. The MaxAttempts of the route
// limits only attempts that may have run. While every attempt is proved not to have
// run, the limit is maxSends.
func (f retryFilter) mayRepeat(x *exchange, budget *retry.Budget) bool {
	allowed := maxSends
	if x.history.Uncertain {
		allowed = min(allowed, x.route.MaxAttempts)
	}
	if !retry.MayRepeat(x.history, allowed) {
		return false
	}
	minimum := retry.MinRetriesPerEntry(f.g.set.RetrySlack, f.g.control.snapshot.Load().Entries())
	if !budget.TakeRetry(time.Now(), f.g.set.RetryRatio, minimum) {
		f.g.log.For(logging.ComponentRoute).Info().
			Str("request", x.call.RequestID).
			Str("service", x.service.Name).
			Str("reason", x.result.detail).
			Float("minimum", minimum).
			Msg("retry refused, budget spent")
		return false
	}
	return true
}

// interrupted returns the failure of a request whose next attempt could not be sent.
func (f retryFilter) interrupted(ctx context.Context, x *exchange, fail *failure) *failure {
	if x.history.Uncertain || x.headSent {
		return f.failure(ctx, x)
	}
	x.history.Last = retry.NotRun
	return fail
}

// failure returns the failure of a request that got no complete response.
func (f retryFilter) failure(ctx context.Context, x *exchange) *failure {
	switch {
	case x.headSent:
		return &failure{status: http.StatusBadGateway, reason: "the response broke off: " + x.result.detail, abort: true}
	case x.history.Outcome() == ident.NotRun:
		return notRun("the request was not run: "+x.result.detail, retryAfterCapacity)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || stalled(ctx):
		return rejected(http.StatusGatewayTimeout, "no response in time, the result is not known")
	default:
		return rejected(http.StatusBadGateway, "the result is not known: "+x.result.detail)
	}
}

// endpointFilter chooses the endpoint for an attempt.
type endpointFilter struct{ g *Gateway }

func (f endpointFilter) do(ctx context.Context, x *exchange, next next) *failure {
	choose := f.choosePlain
	if x.forModelServer() && x.call.Key.Model != "" {
		choose = f.chooseModelServer
	}
	if fail := choose(ctx, x); fail != nil {
		return fail
	}
	return next(ctx, x)
}

func (f endpointFilter) request(x *exchange) *locality.Request {
	return &locality.Request{
		Now:          time.Now(),
		Key:          x.call.Key,
		Version:      x.version,
		Prefix:       x.call.Prefix,
		PromptTokens: x.call.PromptTokens,
		Priority:     x.route.Priority,
		Zone:         f.g.set.Zone,
		Excluded:     x.excluded,
	}
}

func (f endpointFilter) choosePlain(_ context.Context, x *exchange) *failure {
	endpoints := f.g.control.snapshot.Load().Services[x.service.Name]
	r := f.request(x)
	e := locality.ChoosePlain(r, endpoints, f.g.spread.Add(1))
	if e == nil && len(x.excluded) > 0 && x.repeatable() {
		r.Excluded = nil
		e = locality.ChoosePlain(r, endpoints, f.g.spread.Add(1))
	}
	if e == nil {
		return notRun("no endpoint of the service is available", retryAfterCapacity)
	}
	x.endpoint = e
	f.g.log.For(logging.ComponentPlacement).Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(e.ID)).
		Int("endpoints", len(endpoints)).
		Uint("own_in_flight", uint64(e.Runtime.InFlight.Load())).
		Float("failures", e.Runtime.Failures(r.Now)).
		Dur("latency_ms", e.Runtime.Latency()).
		Msg("placed")
	return nil
}

// chooseModelServer chooses a server and, if necessary, waits until it has loaded the
// adapter.
func (f endpointFilter) chooseModelServer(ctx context.Context, x *exchange) *failure {
	began := time.Now()
	w := waiter{times: waitTimes{began: x.started, loadBy: f.loadBy(x)}}
	defer w.stop()
	for {
		s := f.g.control.snapshot.Load()
		x.version = requiredVersion(began, s, x.call.Key)
		choice, ok := f.g.chooser.Choose(f.request(x), s.Services[x.service.Name])
		if !ok {
			return notRun("no model server is available", retryAfterCapacity)
		}
		if choice.Resident {
			x.endpoint, x.choice = choice.Endpoint, choice
			f.placed(x, began)
			return nil
		}
		choice = w.preferCurrent(s.Services[x.service.Name], choice)
		if time.Until(x.nextEventBy()) < minServiceTime {
			return notRun("no server could load the adapter in time", retryAfterCapacity)
		}
		if retryAfter, hopeless := f.hopeless(x, &w, choice.Endpoint); hopeless {
			return notRun("the loads ahead take longer than the caller waits", retryAfter)
		}
		changed := choice.Endpoint.Runtime.Changed()
		if w.move(f.g.control.demandOf(choice.Endpoint), choice.Endpoint, x.call.Key, x.version) {
			f.waiting(x, &choice)
		}
		if !waitChange(ctx, changed) {
			return notRun("the time ended while the adapter was loading", retryAfterCapacity)
		}
	}
}

func (f endpointFilter) placed(x *exchange, began time.Time) {
	waited := time.Since(began)
	if waited > time.Millisecond {
		f.g.metrics.loadWaits.Inc(1)
		f.g.metrics.loadWait.Update(waited.Milliseconds())
	}
	c := &x.choice
	f.g.log.For(logging.ComponentPlacement).Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(c.Endpoint.ID)).
		Str("adapter", x.call.Key.Name).
		Int("version", x.version).
		Int("candidates", c.Candidates).
		Int("prompt_tokens", x.call.PromptTokens).
		Int("cached_tokens", c.CachedTokens).
		Str("fetch_from", fetchFrom(c)).
		Uint("backlog_tokens", uint64(max(c.BacklogTokens, 0))).
		Dur("cost_ms", c.Cost).
		Dur("status_age_ms", c.StatusAge).
		Dur("load_wait_ms", waited).
		Msg("placed")
}

// fetchFrom returns the id of the server from which cached prompt parts are fetched,
// or an empty string.
func fetchFrom(c *locality.Choice) string {
	if c.Source == nil {
		return ""
	}
	return string(c.Source.ID)
}

func (f endpointFilter) waiting(x *exchange, c *locality.Choice) {
	ev := f.g.log.For(logging.ComponentPlacement).Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(c.Endpoint.ID)).
		Str("adapter", x.call.Key.Name).
		Int("version", x.version).
		Int("candidates", c.Candidates).
		Dur("cost_ms", c.Cost).
		Dur("status_age_ms", c.StatusAge)
	if st := c.Endpoint.Runtime.Status(); st != nil {
		ev = ev.Int("free", st.Free).Int("evictable", st.Evictable).Int("coming", len(st.Loading)).Int("wanted", st.PendingLoads)
	}
	ev.Msg("waiting for a load")
}

// requiredVersion returns the lowest version of an adapter that may serve a request,
// or 0 if any version may. During versionGrace after a new version is announced, any
// version may serve it.
func requiredVersion(now time.Time, s *fleet.Snapshot, k fleet.AdapterKey) int {
	v, ok := s.Versions[k]
	if !ok || now.Sub(v.LearnedAt) < versionGrace {
		return 0
	}
	return v.Version
}

// loadBy returns when the adapter of a request must be loaded for the first event to
// meet the latency target of its route.
func (f endpointFilter) loadBy(x *exchange) time.Time {
	return x.started.Add(x.route.TargetLatency - f.g.chooser.PromptTime(x.call.PromptTokens))
}

// hopeless reports whether a request that has missed its latency target will also see
// its caller leave before the server can have worked off the loads that are due now.
// New requests that are still in time go first, so the wait is not shorter than that.
// The caller is told to come back when the loads are done.
func (f endpointFilter) hopeless(x *exchange, w *waiter, e *fleet.Endpoint) (retryAfter time.Duration, hopeless bool) {
	now := time.Now()
	if now.Before(w.times.loadBy) {
		return 0, false
	}
	backlog := locality.LoadBacklog(now, e.Runtime.Status(), x.call.Key)
	if now.Add(backlog + f.g.chooser.PromptTime(x.call.PromptTokens)).Before(x.nextEventBy()) {
		return 0, false
	}
	return spread(backlog), true
}

// spread varies a Retry-After value by up to a quarter in both directions, so that the
// callers refused at one moment do not return together.
func spread(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// waiter counts a waiting request in the demand of one server at a time.
type waiter struct {
	// times stay the same when the request moves to another server.
	times    waitTimes
	demand   *demand
	endpoint *fleet.Endpoint
	// since is when the request started to wait at the current endpoint.
	since time.Time
	key   fleet.AdapterKey
}

// maxLoadWait is how long a request waits at one server for a load to start before it
// may move to another server.
const maxLoadWait = 1500 * time.Millisecond

// preferCurrent returns the choice with its endpoint replaced by the server where the
// request already waits, unless that server is unusable or has not started the load
// within maxLoadWait. Each move to another server costs another load. Once the
// adapter is being loaded, the request stays.
func (w *waiter) preferCurrent(endpoints []*fleet.Endpoint, c locality.Choice) locality.Choice {
	if w.demand == nil {
		return c
	}
	st := w.endpoint.Runtime.Status()
	if st == nil || st.Down || st.Draining || time.Since(st.ReceivedAt) > staleStatusAge {
		return c
	}
	if _, loading := st.Loading[w.key]; !loading && time.Since(w.since) > maxLoadWait {
		return c
	}
	for _, e := range endpoints {
		if e.Runtime == w.endpoint.Runtime && e.State == fleet.Ready {
			c.Endpoint = e
		}
	}
	return c
}

// move counts the request as waiting at the given server instead of the previous one.
// It reports false if the request already waits there.
func (w *waiter) move(d *demand, e *fleet.Endpoint, k fleet.AdapterKey, version int) bool {
	if w.demand == d {
		return false
	}
	w.stop()
	w.demand, w.endpoint, w.key, w.since = d, e, k, time.Now()
	e.Runtime.Waiting.Add(1)
	d.wait(w.times, k, version)
	return true
}

func (w *waiter) stop() {
	if w.demand != nil {
		w.demand.endWait(w.times, w.key)
		w.endpoint.Runtime.Waiting.Add(-1)
	}
	w.demand = nil
}

// waitChange waits until changed is closed, but at most for loadRecheck. It reports
// false if ctx has ended.
func waitChange(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(loadRecheck)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}
