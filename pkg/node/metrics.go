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

// metricsHeaderTimeout bounds the time that a client may take for its headers.
const metricsHeaderTimeout = 5 * time.Second

// serveMetrics serves /metrics and /healthz of a process without an HTTP surface
// of its own until ctx ends. An empty address serves nothing.
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
		_ = json.NewEncoder(w).Encode(metrics.DefaultRegistry) // the client may be gone
	})
	srv := &http.Server{Handler: r, ReadHeaderTimeout: metricsHeaderTimeout}
	context.AfterFunc(ctx, func() { srv.Close() })
	go func() { _ = srv.Serve(lis) }() // ends with Close
	return nil
}
