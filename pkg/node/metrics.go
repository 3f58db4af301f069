package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
)

// metricsHeaderTimeout bounds the time in which a client must send its headers.
const metricsHeaderTimeout = 5 * time.Second

// serveMetrics starts an HTTP server for /metrics and /healthz, for a process that has
// no other HTTP API, and closes it when ctx is done. If address is empty, it starts
// none. It returns an error if it cannot listen on the address.
func serveMetrics(ctx context.Context, address string) error {
	if address == "" {
		return nil
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(metrics.DefaultRegistry) // the client may have disconnected
	})
	srv := &http.Server{Handler: r, ReadHeaderTimeout: metricsHeaderTimeout}
	context.AfterFunc(ctx, func() { srv.Close() })
	go func() { _ = srv.Serve(lis) }() // returns after Close
	return nil
}
