package entry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/bus"
	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/limits"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/membudget"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/pkg/settle"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

// Entry is an entry process. It accepts callers' requests over HTTP, chooses an
// endpoint for each request and relays the response.
type Entry struct {
	settings     Settings
	id           ident.EntryID
	zone         ident.AvailabilityZone
	log          logging.Logger
	bundles      *rollout.Holder
	bundleSyncer *bundleSyncer
	vms          *vmlist.Client
	policy       placement.Policy
	limiter      *limits.Limiter
	// bodies is the memory for the bodies of all requests.
	bodies       *membudget.Budget
	budget       retry.Budget
	claims       Claims
	claimLookups chan struct{}
	admin        http.Handler
	metrics      *entryMetrics
	timing       timing
	directory    atomic.Pointer[membership.Snapshot]
	bus          *bus.Bus
	events       events
	connector    *connector
	controlLoop  *controlLoop
	handler      Handler
	stopping     atomic.Bool
	// cutOff is when a shutdown cuts off the requests that still run, or nil before one.
	cutOff atomic.Pointer[time.Time]
	// started is the time at which Run was called.
	started  time.Time
	stopped  chan struct{}
	addr     atomic.Pointer[net.TCPAddr]
	ready    chan struct{}
	killed   chan struct{}
	killOnce sync.Once
}

// New returns an entry process that does not listen yet. It returns an error if the
// placement policy is unknown or if the event bus cannot be created.
func New(settings Settings, bundles *rollout.Holder, log logging.Logger) (*Entry, error) {
	if settings.policy() == nil {
		return nil, errors.Newf("unknown placement policy %q", settings.PlacementPolicy)
	}
	b, err := bus.New()
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:     settings,
		id:           ident.EntryID(settings.ID),
		zone:         ident.AvailabilityZone(settings.Zone),
		log:          log.With("entry", settings.ID),
		bundles:      bundles,
		vms:          vmlist.New(settings.VMList, &http.Client{Timeout: vmListTimeout}),
		policy:       settings.policy(),
		limiter:      limits.New(),
		bodies:       membudget.New(int64(cmp.Or(settings.BodyMemoryMB, defaultBodyMemoryMB) * (1 << 20))),
		metrics:      newMetrics(),
		timing:       defaultTiming,
		bus:          b,
		claimLookups: make(chan struct{}, maxLookups),
		stopped:      make(chan struct{}),
		ready:        make(chan struct{}),
		killed:       make(chan struct{}),
	}
	e.directory.Store(&membership.Snapshot{})
	e.events = newEvents(b)
	e.connector = newConnector(e)
	e.controlLoop = newControlLoop(e)
	e.handler = chain(authenticate{e}, resolve{e}, admit{e}, retryFilter{e}, place{e}, claim{e}, dispatch{e})
	return e, nil
}

// SetClaims sets the store of idempotency keys. It must be called before Run.
// Without a store, non-idempotent requests with an idempotency key fail with status
// 502 and an unknown outcome.
func (e *Entry) SetClaims(c Claims) { e.claims = c }

// SetAdmin sets the handler of all paths under /admin/v1/ other than StatusPath. It
// must be called before Run.
func (e *Entry) SetAdmin(h http.Handler) { e.admin = h }

// ApplyConfig applies the placement weights and the teams of a newly active bundle.
// The counters of the team limits and of the retry budget keep their values.
func (e *Entry) ApplyConfig(b *bundle.Bundle) {
	if p, ok := e.policy.(placement.Configurable); ok {
		p.ApplyConfig(b.Deployment())
	}
	e.limiter.Retain(b)
}

// Ready returns a channel that is closed once the entry listens.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

// Addr returns the host:port address that the entry listens on. It must not be
// called before the Ready channel is closed.
func (e *Entry) Addr() string { return e.addr.Load().String() }

// Run serves requests until ctx ends or Kill is called. When ctx ends, the entry
// reports that it is not ready, continues to accept requests for the unready delay so
// that the load balancer can notice, and then waits up to the drain timeout for
// running requests. Run returns an error if the entry cannot listen, serve or
// complete the drain.
func (e *Entry) Run(ctx context.Context) error {
	e.started = time.Now()
	lis, err := connlimit.Listen(e.settings.Listen, connlimit.Limits{MaxConns: connlimit.MaxConns(e.settings.MemoryMB, e.settings.MaxDescriptors)})
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if a, ok := lis.Addr().(*net.TCPAddr); ok {
		e.addr.Store(a)
	}
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer close(e.stopped)
	wg.Go(func() { e.controlLoop.run(background) })
	wg.Go(func() { _ = e.bus.Run(background) }) // returns when background is cancelled
	<-e.bus.Running()
	wg.Go(func() { e.connector.run(background) })
	wg.Go(func() { e.bundleSyncer.run(background) })
	requests, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(endcause.Stopped)
	srv := e.newServer(requests, lis)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	close(e.ready)
	e.log.For(logging.ComponentEntry).Info().Str("address", e.Addr()).Msg("listening")
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-e.killed:
		return abort(srv)
	case <-ctx.Done():
	}
	return e.drain(srv, endRequests)
}

// newServer returns the HTTP server for callers. The contexts of its requests are
// derived from requests.
func (e *Entry) newServer(requests context.Context, lis *connlimit.Listener) *http.Server {
	return &http.Server{
		Handler:     e.routes(),
		ConnState:   lis.Track,
		ConnContext: connlimit.WithConn,
		BaseContext: func(net.Listener) context.Context { return requests },
	}
}

// cutoffTime is how long requests that were cut off by a shutdown may take to write
// their closing log lines.
const cutoffTime = 500 * time.Millisecond

// drain waits for the unready delay, then shuts the HTTP server down. Running
// requests may finish within the drain timeout. Those that have not are cancelled by
// endRequests.
func (e *Entry) drain(srv *http.Server, endRequests context.CancelCauseFunc) error {
	cutOff := time.Now().Add(e.settings.UnreadyDelay + e.settings.DrainTimeout)
	e.cutOff.Store(&cutOff)
	e.stopping.Store(true)
	e.log.For(logging.ComponentEntry).Info().Msg("shutting down; reporting not ready")
	time.Sleep(e.settings.UnreadyDelay)
	err := shutdown(srv, e.settings.DrainTimeout)
	if errors.Is(err, context.DeadlineExceeded) {
		endRequests(endcause.Stopped)
		_ = shutdown(srv, cutoffTime) // the drain has failed in any case
	}
	e.log.For(logging.ComponentEntry).Info().Msg("stopped")
	return errors.Wrap(err, "drain")
}

// shutdown stops accepting connections and waits until the running requests have
// ended, at most for the given time.
func shutdown(srv *http.Server, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return srv.Shutdown(ctx)
}

// newExchange returns the state of a new request and assigns the request ID.
func newExchange(w http.ResponseWriter, r *http.Request) *Exchange {
	id := ident.NewRequestID()
	return &Exchange{ID: id, w: w, r: r, started: time.Now(), settlement: settle.New(id)}
}

// ReadyEndpoints returns the number of known endpoints in state READY.
func (e *Entry) ReadyEndpoints() int {
	n := 0
	for _, ep := range e.directory.Load().Endpoints {
		if ep.State == fescuev1.EndpointState_ENDPOINT_STATE_READY {
			n++
		}
	}
	return n
}
