package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

const (
	// loadRecheck is the longest time after which the server is chosen again while a
	// request waits for an adapter load.
	loadRecheck = 100 * time.Millisecond
	// minServiceTime is the shortest remaining time with which a model request keeps
	// waiting for an adapter load. With less, it is refused.
	minServiceTime = 150 * time.Millisecond
	// staleStatusAge is the age of a server's status report from which a waiting request
	// looks for another server. Reports arrive at least every 500 ms.
	staleStatusAge = 800 * time.Millisecond
)

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
		Now:             time.Now(),
		Key:             x.call.Key,
		SoftwareVersion: x.software.Load(),
		Prefix:          x.call.Prefix,
		PromptTokens:    x.call.PromptTokens,
		Priority:        x.priority(),
		Zone:            f.g.set.Zone,
		Excluded:        x.excluded,
		Outdated:        x.outdated,
		NoSource:        len(x.outdated) > 0,
		MaxEventGap:     x.route.MaxEventGap,
		Draw:            rand.Float64(),
	}
}

func (f endpointFilter) choosePlain(ctx context.Context, x *exchange) *failure {
	endpoints := f.g.control.snapshot.Load().Services[x.service.Name]
	r := f.request(x)
	e := f.permittedPlain(ctx, x, r, endpoints)
	if e == nil && len(x.excluded) > 0 && x.repeatable() {
		r.Excluded = nil
		e = f.permittedPlain(ctx, x, r, endpoints)
	}
	if e == nil {
		return noEndpoint(x, endpoints, "no endpoint of the service is available")
	}
	if !f.g.mayStart(x, e) {
		return stoppingFailure()
	}
	x.endpoint = e
	f.g.log.For(logging.ComponentPlacement).Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(e.ID)).
		Str("software_version", e.SoftwareVersion).
		Int("endpoints", len(endpoints)).
		Uint("own_in_flight", uint64(e.Runtime.InFlight.Load())).
		Float("failures", e.Runtime.Failures(r.Now)).
		Dur("latency_ms", e.Runtime.Latency()).
		Msg("placed")
	return nil
}

// permittedPlain chooses a plain endpoint that may get a request now, or nil if there is
// none.
func (f endpointFilter) permittedPlain(ctx context.Context, x *exchange, r *locality.Request, endpoints []*fleet.Endpoint) *fleet.Endpoint {
	for ctx.Err() == nil {
		r.Now = time.Now()
		e := locality.ChoosePlain(r, endpoints, f.g.spread.Add(1))
		if e == nil || f.g.limits.take(ctx, x, e) {
			return e
		}
	}
	return nil
}

// chooseModelServer chooses a server and, if necessary, waits until it has loaded the
// adapter.
func (f endpointFilter) chooseModelServer(ctx context.Context, x *exchange) *failure {
	began := time.Now()
	w := waiter{times: waitTimes{began: x.started, loadBy: f.loadBy(x)}, priority: x.priority()}
	defer w.stop()
	for {
		s := f.g.control.snapshot.Load()
		r := f.request(x)
		f.setVersions(r, s.Versions[x.call.Key])
		r.Reloading = f.g.control.reloads.Load().ids()
		r.WaitsAt = w.at()
		x.version = r.Version
		endpoints := s.Services[x.service.Name]
		choice, ok := f.g.chooser.Choose(r, endpoints)
		if !ok {
			choice.Endpoint = w.current(r.Now, endpoints)
		}
		if choice.Endpoint == nil {
			return noEndpoint(x, endpoints, "no model server is available")
		}
		f.preload(x, r, choice.Preload)
		if !f.g.mayStart(x, choice.Endpoint) {
			return stoppingFailure()
		}
		if choice.Resident && !f.g.limits.take(ctx, x, choice.Endpoint) {
			if ctx.Err() != nil {
				return notRun("the time ended while a server was chosen", retryAfterCapacity)
			}
			continue
		}
		if choice.Resident {
			x.endpoint, x.choice = choice.Endpoint, choice
			f.placed(x, began)
			return nil
		}
		choice = w.preferCurrent(endpoints, choice)
		if time.Until(x.nextEventBy()) < minServiceTime {
			return notRun("no server could load the adapter in time", retryAfterCapacity)
		}
		if retryAfter, hopeless := f.hopeless(x, &w, choice.Endpoint); hopeless {
			return notRun("the loads ahead take longer than the caller waits", retryAfter)
		}
		changed := choice.Endpoint.Runtime.Changed()
		if w.move(f.g.control.demandOf(choice.Endpoint), choice.Endpoint, x.call.Key, x.version, int64(max(x.call.PromptTokens-choice.CachedTokens, 0))) {
			f.waiting(x, &choice)
		}
		if !waitChange(ctx, changed) {
			return notRun("the time ended while the adapter was loading", retryAfterCapacity)
		}
	}
}

// setVersions sets the versions that may serve a request. Any version of the weights may
// serve one for the base model itself: only a few servers have new weights at first, and
// refusing the request would not make them load them sooner.
func (f endpointFilter) setVersions(r *locality.Request, v fleet.Versions) {
	if r.Key.Name == "" {
		r.Upcoming = v.Newest()
		return
	}
	r.Version = v.Required(r.Now)
	r.Upcoming = v.Required(r.Now.Add(locality.RenewalLead))
}

// preload asks a server, if there is one, to load the version of the adapter that will
// be required soon.
func (f endpointFilter) preload(x *exchange, r *locality.Request, e *fleet.Endpoint) {
	if e == nil || !f.g.control.demandOf(e).askPreload(r.Now, r.Key, r.Upcoming) {
		return
	}
	f.g.log.For(logging.ComponentPlacement).Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(e.ID)).
		Str("adapter", r.Key.Name).
		Int("version", r.Version).
		Int("upcoming", r.Upcoming).
		Msg("asks for a load before the version is required")
}

func (f endpointFilter) placed(x *exchange, began time.Time) {
	waited := time.Since(began)
	if waited > time.Millisecond {
		f.g.metrics.loadWaits.Inc(1)
		f.g.metrics.loadWait.Update(waited.Milliseconds())
	}
	c := &x.choice
	f.g.metrics.choices.chosen(c)
	ev := f.g.log.For(logging.ComponentPlacement).Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(c.Endpoint.ID)).
		Str("software_version", c.Endpoint.SoftwareVersion).
		Str("adapter", x.call.Key.Name).
		Int("version", x.version).
		Int("candidates", c.Candidates).
		Int("prompt_tokens", x.call.PromptTokens).
		Int("cached_tokens", c.CachedTokens).
		Int("weights", c.Scope.Weights).
		Int("adapter_version", c.Scope.Adapter).
		Str("fetch_from", fetchFrom(c)).
		Int("source_weights", c.SourceScope.Weights).
		Int("source_adapter_version", c.SourceScope.Adapter).
		Uint("backlog_tokens", uint64(max(c.BacklogTokens, 0))).
		Dur("cost_ms", c.Cost).
		Dur("status_age_ms", c.StatusAge).
		Dur("load_wait_ms", waited)
	logSpread(ev, c).Msg("placed")
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
		Dur("status_age_ms", c.StatusAge).
		Uint("waiting_tokens", uint64(max(c.WaitingTokens, 0)))
	if st := c.Endpoint.Runtime.Status(); st != nil {
		ev = ev.Int("free", st.Free).Int("evictable", st.Evictable).Int("coming", len(st.Loading)).Int("wanted", st.PendingLoads)
	}
	ev.Msg("waiting for a load")
}
