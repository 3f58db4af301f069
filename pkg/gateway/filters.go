package gateway

import (
	"context"
	"io"
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
	// retryAfterStart is the advice while the entry still learns the configuration.
	retryAfterStart = 500 * time.Millisecond
	// retryAfterStopping is the advice of a stopping entry: another one is there.
	retryAfterStopping = 10 * time.Millisecond
	// retryAfterCapacity is the advice when no endpoint can take the request.
	retryAfterCapacity = 300 * time.Millisecond
	// defaultBudget bounds requests whose caller and route set no time.
	defaultBudget = 30 * time.Second
	// replyMargin is how long before a caller stops waiting for a stream it gets the
	// final answer, so that it does not leave while a server that cannot be reached
	// still has the request. It covers the way to the entry and back, and a processor
	// that is held up for a tenth of a second.
	replyMargin = 100 * time.Millisecond
	// replyMarginShare bounds the margin to one part of so many of the caller's time.
	replyMarginShare = 20
	// maxSends bounds the endpoints that one request is sent to, also if each of
	// them refuses it.
	maxSends = 3
	// loadRecheck is how often the choice of the server is reconsidered while a
	// request waits for a load.
	loadRecheck = 100 * time.Millisecond
	// minServiceTime is the time without which a model request is not sent.
	minServiceTime = 150 * time.Millisecond
	// staleState is the age of a server's state from which on a waiting request looks
	// for another server. States arrive every 500 ms at least.
	staleState = 800 * time.Millisecond
	// versionGrace is how long after a new version was named an older one may still
	// answer, while the servers replace it.
	versionGrace = 2 * time.Second
)

// routeFilter finds the route and the service of a request.
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
	x.deadline = x.started.Add(f.budget(x))
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	return next(ctx, x)
}

// budget is the time that the caller and the operator both allow.
func (routeFilter) budget(x *exchange) time.Duration {
	budget := defaultBudget
	if x.call.MaxWait > 0 {
		budget = x.call.MaxWait
	}
	if x.route.Kind == route.Streaming {
		budget -= min(replyMargin, budget/replyMarginShare)
	}
	if x.route.Timeout > 0 {
		budget = min(budget, x.route.Timeout)
	}
	return budget
}

// readFilter reads the body, so that it can be sent more than once.
type readFilter struct{ g *Gateway }

func (f readFilter) do(ctx context.Context, x *exchange, next next) *failure {
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

// retryFilter repeats attempts as far as the request may be repeated.
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

// mayRepeat applies the rule and the budget. The route bounds the endpoints on
// which a request may run; one that proved not to have run it does not count.
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

// interrupted ends a request whose next attempt could not be sent.
func (f retryFilter) interrupted(ctx context.Context, x *exchange, fail *failure) *failure {
	if x.history.Uncertain || x.headSent {
		return f.failure(ctx, x)
	}
	x.history.Last = retry.NotRun
	return fail
}

// failure ends a request without a complete response.
func (f retryFilter) failure(ctx context.Context, x *exchange) *failure {
	switch {
	case x.headSent:
		return &failure{status: http.StatusBadGateway, reason: "the response broke off: " + x.result.detail, abort: true}
	case x.history.Outcome() == ident.NotRun:
		return notRun("the request was not run: "+x.result.detail, retryAfterCapacity)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return rejected(http.StatusGatewayTimeout, "no response in time, the result is not known")
	default:
		return rejected(http.StatusBadGateway, "the result is not known: "+x.result.detail)
	}
}

// placeFilter chooses the endpoint of an attempt.
type placeFilter struct{ g *Gateway }

func (f placeFilter) do(ctx context.Context, x *exchange, next next) *failure {
	place := f.plain
	if x.engine() && x.call.Key.Model != "" {
		place = f.model
	}
	if fail := place(ctx, x); fail != nil {
		return fail
	}
	return next(ctx, x)
}

func (f placeFilter) request(x *exchange) *locality.Request {
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

func (f placeFilter) plain(_ context.Context, x *exchange) *failure {
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

// model chooses a server and waits until it holds the adapter.
func (f placeFilter) model(ctx context.Context, x *exchange) *failure {
	began := time.Now()
	w := waiter{began: x.started}
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
		choice = w.keep(s.Services[x.service.Name], choice)
		if time.Until(x.deadline) < minServiceTime {
			return notRun("no server could load the adapter in time", retryAfterCapacity)
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

func (f placeFilter) placed(x *exchange, began time.Time) {
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

// fetchFrom names the server that parts of the prompt are fetched from, if any.
func fetchFrom(c *locality.Choice) string {
	if c.Source == nil {
		return ""
	}
	return string(c.Source.ID)
}

func (f placeFilter) waiting(x *exchange, c *locality.Choice) {
	ev := f.g.log.For(logging.ComponentPlacement).Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(c.Endpoint.ID)).
		Str("adapter", x.call.Key.Name).
		Int("version", x.version).
		Int("candidates", c.Candidates).
		Dur("cost_ms", c.Cost).
		Dur("status_age_ms", c.StatusAge)
	if st := c.Endpoint.Runtime.Status(); st != nil {
		ev = ev.Int("free", st.Free).Int("evictable", st.Evictable).Int("coming", len(st.Coming)).Int("wanted", st.PendingLoads)
	}
	ev.Msg("waiting for a load")
}

// requiredVersion returns the lowest version of an adapter that may answer.
// Shortly after a new version was named, any version may.
func requiredVersion(now time.Time, s *fleet.Snapshot, k fleet.AdapterKey) int {
	v, ok := s.Versions[k]
	if !ok || now.Sub(v.LearnedAt) < versionGrace {
		return 0
	}
	return v.Version
}

// waiter announces a waiting request to one server at a time.
type waiter struct {
	// began is when the request arrived. It keeps its age wherever it waits.
	began    time.Time
	demand   *demand
	endpoint *fleet.Endpoint
	// since is when the request turned to the endpoint.
	since time.Time
	key   fleet.AdapterKey
}

// maxLoadWait is how long a request waits at one server for a load before it
// turns to another one.
const maxLoadWait = 1500 * time.Millisecond

// keep returns the server where the request already waits as long as it may still
// load the adapter: a change of mind costs another load. Once the adapter is on
// its way, the request stays.
func (w *waiter) keep(endpoints []*fleet.Endpoint, c locality.Choice) locality.Choice {
	if w.demand == nil {
		return c
	}
	st := w.endpoint.Runtime.Status()
	if st == nil || st.Down || st.Draining || time.Since(st.ReceivedAt) > staleState {
		return c
	}
	if _, coming := st.Coming[w.key]; !coming && time.Since(w.since) > maxLoadWait {
		return c
	}
	for _, e := range endpoints {
		if e.Runtime == w.endpoint.Runtime && e.State == fleet.Ready {
			c.Endpoint = e
		}
	}
	return c
}

// move announces the request to a server. It reports false if it waits there
// already.
func (w *waiter) move(d *demand, e *fleet.Endpoint, k fleet.AdapterKey, version int) bool {
	if w.demand == d {
		return false
	}
	w.stop()
	w.demand, w.endpoint, w.key, w.since = d, e, k, time.Now()
	e.Runtime.Waiting.Add(1)
	d.wait(w.began, k, version)
	return true
}

func (w *waiter) stop() {
	if w.demand != nil {
		w.demand.unwait(w.key)
		w.endpoint.Runtime.Waiting.Add(-1)
	}
	w.demand = nil
}

// waitChange waits for a change, but not longer than loadRecheck. It reports
// false if ctx ended.
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
