package node

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
)

// serveMetrics starts an HTTP server for /metrics and /healthz, for a process that has
// no other HTTP API, and closes it when ctx is done. If address is empty, it starts
// none. It returns an error if it cannot listen on the address.
func serveMetrics(ctx context.Context, address string) error {
	if address == "" {
		return nil
	}
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(metrics.DefaultRegistry) // the client may have disconnected
	})
	srv := &http.Server{Handler: r}
	if _, err := connlimit.Serve(srv, address); err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	context.AfterFunc(ctx, func() { srv.Close() })
	return nil
}
