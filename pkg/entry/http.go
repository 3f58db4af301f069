package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

const servicePrefix = "/v1/services/"

// servicePath returns the path that the service receives, without the prefix and the
// service name.
func servicePath(path string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, servicePrefix), "/")
	return "/" + rest
}

func (e *Entry) routes() http.Handler {
	r := chi.NewRouter()
	r.Use(e.closeWhileStopping, connlimit.Bodies)
	r.Post("/v1/completions", e.serveModel)
	r.Post("/v1/chat/completions", e.serveModel)
	r.Post(servicePrefix+"*", e.serveService)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", e.serveReady)
	r.Get("/metrics", e.serveMetrics)
	r.Get(StatusPath, e.serveStatus)
	if e.admin != nil {
		r.Handle("/admin/v1/*", e.admin)
	}
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		rejected(http.StatusNotFound, typeNotFound, "unknown_path", "unknown path: "+r.URL.Path).write(w)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		rejected(http.StatusMethodNotAllowed, typeInvalidRequest, "method_not_allowed", "method not allowed: "+r.Method).write(w)
	})
	return r
}

// closeWhileStopping makes an entry that is shutting down close each connection after
// the next response on it. Idle connections stay open until the unready delay has
// passed, because a caller may be sending a request on them.
func (e *Entry) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// readiness is the response body of /readyz.
type readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// unreadyReasons returns the reasons why the entry is not ready, or none if it is.
func (e *Entry) unreadyReasons() []string {
	var out []string
	if e.stopping.Load() {
		out = append(out, "stopping")
	}
	if e.bundles.Current() == nil {
		out = append(out, "no active configuration bundle")
	}
	ready := e.ReadyEndpoints()
	if ready == 0 {
		out = append(out, "no endpoint is ready")
	}
	if time.Since(e.started) < startupGrace && ready < e.connector.size() {
		out = append(out, "endpoints are still connecting")
	}
	return out
}

// startupGrace is the maximum time that a new entry stays unready while it waits for
// the listed endpoints to become ready. Without it, the first requests would all go
// to the few endpoints that connected first.
const startupGrace = 3 * time.Second

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	reasons := e.unreadyReasons()
	body, _ := json.Marshal(readiness{Ready: len(reasons) == 0, Reasons: reasons}) // encoding this struct cannot fail
	w.Header().Set("Content-Type", "application/json")
	if len(reasons) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write(body) // the caller may have disconnected
}

func (e *Entry) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(metrics.DefaultRegistry) // the caller may have disconnected
}

func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request) {
	x := newExchange(w, r)
	x.kind = fescuev1.EndpointKind_ENDPOINT_KIND_MODEL
	x.route = strings.TrimPrefix(r.URL.Path, "/v1/")
	e.serve(x)
}

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	x := newExchange(w, r)
	x.kind = fescuev1.EndpointKind_ENDPOINT_KIND_SERVICE
	x.route = strings.TrimPrefix(r.URL.Path, servicePrefix)
	e.serve(x)
}

// serve handles a request. The caller gets the complete response of an endpoint, a
// complete error response, or a connection that is closed.
func (e *Entry) serve(x *Exchange) {
	e.process(x)
	if !x.complete {
		// Returning would make net/http end the response as if it were complete.
		panic(http.ErrAbortHandler)
	}
}

// process runs the filters, settles the request with exactly one outcome and sends the
// error response of a failed request.
func (e *Entry) process(x *Exchange) {
	x.w.Header().Set(headerRequestID, string(x.ID))
	e.metrics.inFlight.Inc(1)
	defer e.metrics.inFlight.Dec(1)
	defer e.recoverPanic(x)
	fail := e.handler(x.r.Context(), x)
	if fail != nil {
		fail = claim{e}.confirmNotRun(x, fail)
	}
	if fail == nil {
		e.settle(x, x.outcome())
		return
	}
	e.metrics.countFailure(fail)
	e.settle(x, fail.Outcome)
	e.fail(x, fail)
}

// outcome returns the outcome of a request that ended without a Failure.
func (x *Exchange) outcome() ident.Outcome {
	if x.replayed && x.result.end == retry.Answered {
		return ident.Answered
	}
	if !x.sent {
		return ident.NotRun
	}
	return x.history.Outcome()
}

func (e *Entry) settle(x *Exchange, outcome ident.Outcome) {
	x.settlement.Settle(outcome)
	e.log.For(logging.ComponentRoute).Info().Str("request", string(x.ID)).Str("team", string(x.team.Team)).Str("outcome", outcome.String()).Int("attempts", int(x.attempt)).Str("cause", x.cause.String()).Msg("request ended")
}

// recoverPanic ends a request whose handler panicked. The outcome is unknown if the
// request was sent, else not run. If the outcome was already settled, the connection
// is closed.
func (e *Entry) recoverPanic(x *Exchange) {
	p := recover()
	if p == nil {
		return
	}
	e.log.For(logging.ComponentRoute).Error().Str("request", string(x.ID)).Str("panic", fmt.Sprint(p)).Str("stack", string(debug.Stack())).Msg("panic in request")
	if x.settlement.Outcome() != ident.Pending {
		x.complete = false
		return
	}
	fail := unknownResult(http.StatusBadGateway, "internal_error", "the entry failed while it handled the request")
	if !x.sent {
		fail = rejected(http.StatusServiceUnavailable, typeServer, "internal_error", "the entry failed before it sent the request")
	}
	e.settle(x, fail.Outcome)
	e.fail(x, fail)
}

func (e *Entry) fail(x *Exchange, f *Failure) {
	x.complete = true
	unread := !x.bodyRead && x.r.ContentLength != 0
	if unread {
		connlimit.BeginRefusal(x.w, !x.bodyBegun)
	}
	if x.response == nil {
		f.write(x.w)
	} else {
		x.response.fail(f)
	}
	if unread && x.bodyBegun {
		connlimit.EndRefusal(x.w, x.r)
	}
}
