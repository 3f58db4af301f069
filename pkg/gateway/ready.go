package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// gatewayMetrics holds the counters and histograms of a gateway.
type gatewayMetrics struct {
	requests, answered, refused, failed, retries, loadWaits metrics.Counter
	// backoffs counts the backoffs for which servers asked, and leaving the servers that
	// said that they leave.
	backoffs, leaving   metrics.Counter
	firstByte, loadWait metrics.Histogram
	choices             choiceMetrics
}

const histogramSamples = 1028

func newMetrics() *gatewayMetrics {
	r := metrics.DefaultRegistry
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(histogramSamples, 0.015))
	}
	return &gatewayMetrics{
		requests:  metrics.GetOrRegisterCounter("gateway.requests", r),
		answered:  metrics.GetOrRegisterCounter("gateway.answered", r),
		refused:   metrics.GetOrRegisterCounter("gateway.refused", r),
		failed:    metrics.GetOrRegisterCounter("gateway.failed", r),
		retries:   metrics.GetOrRegisterCounter("gateway.retries", r),
		loadWaits: metrics.GetOrRegisterCounter("gateway.load_waits", r),
		backoffs:  metrics.GetOrRegisterCounter("gateway.backoffs", r),
		leaving:   metrics.GetOrRegisterCounter("gateway.leaving", r),
		firstByte: histogram("gateway.first_byte_ms"),
		loadWait:  histogram("gateway.load_wait_ms"),
		choices:   newChoiceMetrics(r, histogram),
	}
}

func (g *Gateway) readyRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get(g.headers.ReadyPath(), g.serveReady)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(metrics.DefaultRegistry) // the client may be gone
	})
	return r
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := g.unready(); reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(reason)) // the load balancer may be gone
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unready returns why the entry is not ready to serve, or an empty string if it is.
func (g *Gateway) unready() string {
	if g.stopping.Load() {
		return "stopping"
	}
	s := g.control.snapshot.Load()
	if s.Table == nil {
		return "no configuration is known"
	}
	if !g.control.synced() {
		return "no endpoints are known"
	}
	if time.Since(g.started) < startGrace && !statesKnown(s) {
		return "the states of the model servers are not known yet"
	}
	return ""
}

// statesKnown reports whether a status report of each model server has arrived.
func statesKnown(s *fleet.Snapshot) bool {
	for name, endpoints := range s.Services {
		svc := s.Table.Service(name)
		if svc == nil || svc.Engine == nil {
			continue
		}
		for _, e := range endpoints {
			if e.Runtime.Status() == nil {
				return false
			}
		}
	}
	return true
}
