package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/suspend"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

const (
	// dialTimeout limits the time to connect to an endpoint. The network latency to
	// another availability zone is about 1 ms.
	dialTimeout = 400 * time.Millisecond
	// sweepInterval is how often the gateway looks for idle connections to close and for
	// a suspension of the VM.
	sweepInterval = 250 * time.Millisecond
	// idleTimeout is how long idle connections of callers stay open. It exceeds any idle
	// time that the operator sets for callers, so that the gateway does not close a
	// connection that a caller is about to use.
	idleTimeout = 10 * time.Minute
)

// ConnectionKeepAlive returns the TCP keep-alive settings that detect an unreachable
// peer: probes are sent after 1 s of silence and then every 500 ms, and the
// connection fails after three probes without a reply.
func ConnectionKeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}
}

// Gateway is an entry process for routed traffic.
type Gateway struct {
	set      Settings
	headers  Headers
	log      logging.Logger
	control  *control
	pool     *upstream.Pool
	chooser  *locality.Chooser
	prefixes *locality.PrefixIndex
	origins  *originTracker
	limits   *limiter
	quotas   *quotas
	metrics  *gatewayMetrics
	handle   next
	// spread is the number of choices among plain endpoints so far. Each choice starts
	// its search at another endpoint.
	spread   atomic.Uint64
	callers  *callerConns
	started  time.Time
	stopping atomic.Bool
	// readiness is why the entry was not ready at the last check, or nil before the first.
	readiness atomic.Pointer[string]
	// closing is set during shutdown, from the moment at which a new stream might not
	// finish in time.
	closing atomic.Bool
	// cutOff is when a shutdown cuts off the requests that still run, or nil before one.
	cutOff atomic.Pointer[time.Time]

	// share is this entry's part of the retries that all entries may make beyond the ratio.
	share   *retry.Share
	memory  memoryBudgets
	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns a gateway that is not yet running. It fails if the message bus cannot
// be created.
func New(set Settings, store kv.Store, catalog Catalog, headers Headers, log logging.Logger) (*Gateway, error) {
	log = log.With("entry", set.ID)
	prefixes := locality.NewPrefixIndex()
	share := retry.NewShare(set.RetrySlack)
	c, err := newControl(&set, store, catalog, prefixes, share, log)
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
		origins:  newOriginTracker(c, log),
		metrics:  newMetrics(),
		callers:  newCallerConns(),
		share:    share,
		memory:   newMemoryBudgets(set.MemoryMB),
		budgets:  map[string]*retry.Budget{},
	}
	g.limits = newLimiter(g.origins, share, log)
	g.quotas = newQuotas(&set, g.origins, log)
	g.handle = chain(routeFilter{g}, authFilter{g, &atomic.Int32{}}, quotaFilter{g}, bodyFilter{g}, originFilter{g}, retryFilter{g}, endpointFilter{g}, sendFilter{g})
	return g, nil
}

// Run serves requests until ctx ends, then shuts down within the grace period. It
// fails if it cannot listen on one of its addresses or if the server for callers
// fails.
func (g *Gateway) Run(ctx context.Context) error {
	g.started = time.Now()
	lis, err := connlimit.Listen(g.set.Listen, g.connLimits())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ready := &http.Server{Handler: g.readyRoutes()}
	if _, err := connlimit.Serve(ready, g.set.Ready); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	defer ready.Close()
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { g.control.run(background) })
	wg.Go(func() { g.sweep(background) })
	requests, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(endcause.Stopped)
	srv := g.newServer(requests, lis)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	g.log.For(logging.ComponentEntry).Info().Str("address", lis.Addr().String()).Msg("listening")
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return g.drain(srv, endRequests)
}

// newServer returns the HTTP server for callers. The contexts of its requests are
// derived from requests.
func (g *Gateway) newServer(requests context.Context, lis *connlimit.Listener) *http.Server {
	track := func(c net.Conn, state http.ConnState) {
		lis.Track(c, state)
		g.callers.track(c, state)
	}
	return &http.Server{
		Handler:     http.HandlerFunc(g.serve),
		IdleTimeout: idleTimeout,
		ConnState:   track,
		ConnContext: connlimit.WithConn,
		BaseContext: func(net.Listener) context.Context { return requests },
	}
}

// connLimits returns the limits on the connections of callers.
func (g *Gateway) connLimits() connlimit.Limits {
	return connlimit.Limits{MaxConns: connlimit.MaxConns(g.set.MemoryMB, g.set.MaxDescriptors), Head: g.headLimits}
}

// headLimits returns the limits on the heads of requests in the configuration in force.
func (g *Gateway) headLimits() connlimit.HeadLimits {
	limits := connlimit.DefaultHeadLimits
	table := g.control.snapshot.Load().Table
	if table == nil {
		return limits
	}
	if n := table.Limits.MaxHeaderBytes; n > 0 {
		limits.Bytes = n
	}
	if d := table.Limits.HeaderTimeout; d > 0 {
		limits.Time = d
	}
	return limits
}

// Phases of a shutdown, as fractions of the grace period.
const (
	// keepIdleShare is how long idle connections of callers stay open. The load balancer
	// stops sending requests to the entry after two failed readiness checks, which are
	// one second apart.
	keepIdleShare = 0.32
	// acceptShare is how long new connections are accepted.
	acceptShare = 0.5
	// finishShare is when requests that still run are cut off.
	finishShare = 0.97
	// exitShare is until when requests that were cut off may write their closing log
	// lines.
	exitShare = 0.99
)

// drain shuts down in phases. It reports not ready, keeps serving until the load
// balancer has noticed, and then waits for running requests to finish. New streams
// are refused once they might not finish in time. Requests that still run at the end
// are cancelled by endRequests.
func (g *Gateway) drain(srv *http.Server, endRequests context.CancelCauseFunc) error {
	log := g.log.For(logging.ComponentEntry)
	began := time.Now()
	share := func(s float64) time.Time { return began.Add(time.Duration(s * float64(g.set.Grace))) }
	cutOff := share(finishShare)
	g.cutOff.Store(&cutOff)
	g.stopping.Store(true)
	log.Info().Dur("grace_ms", g.set.Grace).Msg("shutting down; reporting not ready")
	wait.For(context.Background(), time.Until(share(keepIdleShare)))
	g.closing.Store(true)
	g.callers.closeIdle()
	log.Info().Msg("closed idle connections; refusing new streams")
	wait.For(context.Background(), time.Until(share(acceptShare)))
	err := shutdown(srv, cutOff)
	if errors.Is(err, context.DeadlineExceeded) {
		log.Warn().Msg("cutting off the requests that still run")
		endRequests(endcause.Stopped)
		err = shutdown(srv, share(exitShare))
	}
	log.Info().Err(err).Msg("stopped")
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return errors.Wrap(err, "shut down")
}

// shutdown stops accepting connections and waits until the running requests have
// ended, at most until the deadline.
func shutdown(srv *http.Server, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return srv.Shutdown(ctx)
}

// checkClock detects a suspension of the VM, during which the clock stands still. It
// then closes the pooled connections and corrects the ages of the status reports.
func (g *Gateway) checkClock(clock *suspend.Detector) {
	slept, err := clock.Suspended()
	if err != nil {
		g.log.For(logging.ComponentEntry).Error().Err(err).Msg("cannot detect suspensions of the VM")
		return
	}
	if slept == 0 {
		return
	}
	g.log.For(logging.ComponentEntry).Warn().Dur("suspended_ms", slept).Msg("VM was suspended")
	g.skipBudgets(slept)
	g.quotas.drop()
	g.pool.Sweep(func(string) bool { return false })
	<-g.control.running
	g.control.onResume(slept)
}

// sweep periodically closes the pooled connections to endpoints that are gone and
// checks for suspensions of the VM.
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
		known := map[*fleet.Runtime]bool{}
		for _, list := range g.control.snapshot.Load().Services {
			for _, e := range list {
				keep[poolKey(e)] = true
				known[e.Runtime] = true
			}
		}
		g.limits.forget(known)
		g.origins.currentHolders() // notices changes of the hosts also while there are no requests
		g.quotas.retain(g.control.snapshot.Load().Table)
		g.pool.Sweep(func(key string) bool { return keep[key] })
	}
}
