package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/suspend"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

const (
	// dialTimeout bounds a connection to an endpoint. A zone is a millisecond away.
	dialTimeout = 400 * time.Millisecond
	// sweepInterval is how often idle connections are checked.
	sweepInterval = 250 * time.Millisecond
	// headerTimeout bounds the time that a caller may take for its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds any idle time that the operator sets for callers: a
	// connection that a caller still means to use must not be closed.
	idleTimeout = 10 * time.Minute
	// startGrace is how long a new entry waits for the first states of the model
	// servers before it reports ready without them.
	startGrace = 4 * time.Second
)

// ConnectionKeepAlive detects connections that went silent for good.
func ConnectionKeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}
}

// Gateway is one routed entry process.
type Gateway struct {
	set      Settings
	headers  Headers
	log      logging.Logger
	control  *control
	pool     *upstream.Pool
	chooser  *locality.Chooser
	prefixes *locality.PrefixIndex
	metrics  *gatewayMetrics
	handle   next
	spread   atomic.Uint64
	callers  *callerConns
	started  time.Time
	stopping atomic.Bool
	// closing is set when a stop has come so far that a stream might not end in time.
	closing atomic.Bool

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns a routed entry process.
func New(set Settings, store kv.Store, catalog Catalog, headers Headers, log logging.Logger) (*Gateway, error) {
	log = log.With("entry", set.ID)
	prefixes := locality.NewPrefixIndex()
	c, err := newControl(&set, store, catalog, prefixes, log)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		set:      set,
		headers:  headers,
		log:      log,
		control:  c,
		pool:     upstream.NewPool(dialTimeout, ConnectionKeepAlive()),
		chooser:  locality.New(locality.DefaultWeights(), prefixes),
		prefixes: prefixes,
		metrics:  newMetrics(),
		callers:  newCallerConns(),
		budgets:  map[string]*retry.Budget{},
	}
	g.handle = chain(routeFilter{g}, readFilter{g}, retryFilter{g}, placeFilter{g}, sendFilter{g})
	return g, nil
}

// budget returns the retry budget of a service.
func (g *Gateway) budget(service string) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = &retry.Budget{}
		g.budgets[service] = b
	}
	return b
}

// Run serves until ctx ends, then drains.
func (g *Gateway) Run(ctx context.Context) error {
	g.started = time.Now()
	lis, err := net.Listen("tcp", g.set.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	readyLis, err := net.Listen("tcp", g.set.Ready)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { g.control.run(background) })
	wg.Go(func() { g.sweep(background) })
	ready := &http.Server{Handler: g.readyRoutes(), ReadHeaderTimeout: headerTimeout}
	defer ready.Close()
	go func() { _ = ready.Serve(readyLis) }() // ends with Close
	srv := &http.Server{Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: g.callers.track}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	g.log.For(logging.ComponentEntry).Info().Str("address", lis.Addr().String()).Msg("started")
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return g.drain(srv)
}

// Shares of the grace period at a stop.
const (
	// keepShare is how long connections of callers are kept. The balancer takes the
	// entry out of rotation after two checks, a second apart.
	keepShare = 0.32
	// acceptShare is how long new connections are taken.
	acceptShare = 0.5
	// finishShare is when requests that still run are cut off.
	finishShare = 0.97
)

// drain reports unready, goes on serving until callers have noticed, and lets
// what runs finish. Streams are no longer begun once they might not end in time.
func (g *Gateway) drain(srv *http.Server) error {
	log := g.log.For(logging.ComponentEntry)
	began := time.Now()
	share := func(s float64) time.Time { return began.Add(time.Duration(s * float64(g.set.Grace))) }
	g.stopping.Store(true)
	log.Info().Dur("grace_ms", g.set.Grace).Msg("stopping, unready")
	wait.For(context.Background(), time.Until(share(keepShare)))
	g.closing.Store(true)
	g.callers.closeIdle()
	log.Info().Msg("idle connections closed, no new streams")
	wait.For(context.Background(), time.Until(share(acceptShare)))
	ctx, cancel := context.WithDeadline(context.Background(), share(finishShare))
	defer cancel()
	err := srv.Shutdown(ctx)
	log.Info().Err(err).Msg("stopped")
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return errors.Wrap(err, "drain")
}

// checkClock handles a suspension of the machine: connections and beliefs are older
// than the timers say.
func (g *Gateway) checkClock(clock *suspend.Detector) {
	slept, err := clock.Suspended()
	if err != nil {
		g.log.For(logging.ComponentEntry).Error().Err(err).Msg("suspensions cannot be detected")
		return
	}
	if slept == 0 {
		return
	}
	g.log.For(logging.ComponentEntry).Warn().Dur("suspended_ms", slept).Msg("machine was suspended")
	g.pool.Sweep(func(string) bool { return false })
	<-g.control.running
	g.control.woke(slept)
}

// sweep closes connections that are of no further use.
func (g *Gateway) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	clock := suspend.NewDetector(nil)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		g.checkClock(clock)
		keep := map[string]bool{}
		for _, list := range g.control.snapshot.Load().Services {
			for _, e := range list {
				keep[poolKey(e)] = true
			}
		}
		g.pool.Sweep(func(key string) bool { return keep[key] })
	}
}
