package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

const servicePrefix = "/v1/services/"

// servicePath returns the path that the service sees.
func servicePath(path string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, servicePrefix), "/")
	return "/" + rest
}

func (e *Entry) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/completions", e.serveModel)
	r.Post("/v1/chat/completions", e.serveModel)
	r.Post(servicePrefix+"*", e.serveService)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", e.serveReady)
	r.Get("/metrics", e.serveMetrics)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		rejected(http.StatusNotFound, typeNotFound, "unknown_path", "unknown path: "+r.URL.Path).write(w)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		rejected(http.StatusMethodNotAllowed, typeInvalidRequest, "method_not_allowed", "method not allowed: "+r.Method).write(w)
	})
	return r
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || e.bundles.Current() == nil || len(e.directory.Load().Endpoints) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(metrics.DefaultRegistry) // the caller may be gone
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

// serve runs the filters and settles the request with exactly one outcome.
func (e *Entry) serve(x *Exchange) {
	x.w.Header().Set(headerRequestID, string(x.ID))
	fail := e.models(x.r.Context(), x)
	outcome := ident.Answered
	switch {
	case fail != nil:
		outcome = fail.Outcome
		e.fail(x, fail)
	case x.result.end == endCallerGone:
		outcome = ident.Unknown
	}
	x.settlement.Settle(outcome)
	e.log.For(logging.PartRoute).Info().Str("request", string(x.ID)).Str("team", string(x.team.Team)).Str("outcome", outcome.String()).Int("attempts", int(x.attempt)).Msg("request settled")
}

func (e *Entry) fail(x *Exchange, f *Failure) {
	if x.answer == nil {
		f.write(x.w)
		return
	}
	x.answer.fail(f)
}
