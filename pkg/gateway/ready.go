package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// gatewayMetrics holds the counters and histograms of a gateway.
type gatewayMetrics struct {
	requests, answered, refused, failed, retries, loadWaits metrics.Counter
	// backoffs counts the backoffs for which servers asked, and leaving the servers that
	// said that they leave.
	backoffs, leaving metrics.Counter
	// noMemory counts the requests that were refused because there was no memory for their
	// bodies.
	noMemory metrics.Counter
	// missingKeys and unknownKeys count the requests that were refused without an API key or
	// with one that no team holds, and undecidedKeys those with a key that only a newer
	// configuration may have.
	missingKeys, unknownKeys, undecidedKeys metrics.Counter
	firstByte, loadWait                     metrics.Histogram
	choices                                 choiceMetrics
}

const histogramSamples = 1028

func newMetrics() *gatewayMetrics {
	r := metrics.DefaultRegistry
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(histogramSamples, 0.015))
	}
	return &gatewayMetrics{
		requests:      metrics.GetOrRegisterCounter("gateway.requests", r),
		answered:      metrics.GetOrRegisterCounter("gateway.answered", r),
		refused:       metrics.GetOrRegisterCounter("gateway.refused", r),
		failed:        metrics.GetOrRegisterCounter("gateway.failed", r),
		retries:       metrics.GetOrRegisterCounter("gateway.retries", r),
		loadWaits:     metrics.GetOrRegisterCounter("gateway.load_waits", r),
		backoffs:      metrics.GetOrRegisterCounter("gateway.backoffs", r),
		noMemory:      metrics.GetOrRegisterCounter("gateway.no_memory", r),
		leaving:       metrics.GetOrRegisterCounter("gateway.leaving", r),
		missingKeys:   metrics.GetOrRegisterCounter("gateway.missing_keys", r),
		undecidedKeys: metrics.GetOrRegisterCounter("gateway.undecided_keys", r),
		unknownKeys:   metrics.GetOrRegisterCounter("gateway.unknown_keys", r),
		firstByte:     histogram("gateway.first_byte_ms"),
		loadWait:      histogram("gateway.load_wait_ms"),
		choices:       newChoiceMetrics(r, histogram),
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
	reason := g.unready()
	g.logReadiness(reason)
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(reason)) // the load balancer may be gone
		return
	}
	w.WriteHeader(http.StatusOK)
}

// logReadiness logs a readiness that differs from the one of the previous check.
func (g *Gateway) logReadiness(reason string) {
	if previous := g.readiness.Swap(&reason); previous != nil && *previous == reason {
		return
	}
	g.log.For(logging.ComponentEntry).Info().
		Str("reason", reason).
		Bool("ready", reason == "").
		Dur("after_ms", time.Since(g.started)).
		Msg("readiness changed")
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
	if !statesKnown(time.Since(g.knownSince()), s) {
		return "the states of the model servers are not known yet"
	}
	return ""
}

// knownSince returns from when on the model servers can have reported to this entry.
func (g *Gateway) knownSince() time.Time {
	if at := g.control.syncedAt.Load(); at != nil && at.After(g.started) {
		return *at
	}
	return g.started
}

const (
	// reportTime is the time within which servers that are up report to a new entry.
	reportTime = time.Second
	// startGrace is how long a new entry waits for the first status reports of the model
	// servers before it reports ready without them.
	startGrace = 4 * time.Second
	// promptShare is the part of the model servers that must have reported at first. For an
	// adapter that one server holds, at most one request in ten then causes a needless load.
	promptShare = 0.9
	// graceShare is the part that suffices after reportTime: the others are probably down, and
	// those that have reported get at most twice their load.
	graceShare = 0.5
)

// statesKnown reports whether enough model servers of each service have reported.
func statesKnown(waited time.Duration, s *fleet.Snapshot) bool {
	for name, endpoints := range s.Services {
		svc := s.Table.Service(name)
		if svc != nil && svc.Engine != nil && !enoughReported(waited, endpoints) {
			return false
		}
	}
	return true
}

// enoughReported reports whether an entry knows the states of so many servers that it
// chooses well, or has waited long enough. Servers that leave count for nothing, because
// they get no new requests.
func enoughReported(waited time.Duration, servers []*fleet.Endpoint) bool {
	if waited >= startGrace {
		return true
	}
	all, reported := 0, 0
	for _, e := range servers {
		if e.State != fleet.Ready {
			continue
		}
		all++
		if e.Runtime.Status() != nil {
			reported++
		}
	}
	share := promptShare
	if waited >= reportTime {
		share = graceShare
	}
	return float64(reported) >= share*float64(all)
}
