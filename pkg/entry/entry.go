package entry

import (
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
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/limits"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/pkg/settle"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

// readHeaderTimeout bounds the time that a caller may take for its headers.
const readHeaderTimeout = 10 * time.Second

// Entry is one entry process.
type Entry struct {
	set       Settings
	id        ident.EntryID
	zone      ident.AvailabilityZone
	log       logging.Logger
	bundles   *rollout.Holder
	exchanger *exchanger
	vms       *vmlist.Client
	policy    placement.Policy
	limiter   *limits.Limiter
	budget    retry.Budget
	claims    Claims
	lookups   chan struct{}
	admin     http.Handler
	metrics   *entryMetrics
	timing    timing
	directory atomic.Pointer[membership.Snapshot]
	bus       *bus.Bus
	events    events
	connector *connector
	control   *control
	models    Handler
	stopping  atomic.Bool
	// started is when Run began.
	started  time.Time
	stopped  chan struct{}
	addr     atomic.Pointer[net.TCPAddr]
	ready    chan struct{}
	killed   chan struct{}
	killOnce sync.Once
}

// New returns an entry process.
func New(set Settings, bundles *rollout.Holder, log logging.Logger) (*Entry, error) {
	if set.policy() == nil {
		return nil, errors.Newf("unknown placement policy %q", set.PlacementPolicy)
	}
	b, err := bus.New()
	if err != nil {
		return nil, err
	}
	e := &Entry{
		set:     set,
		id:      ident.EntryID(set.ID),
		zone:    ident.AvailabilityZone(set.Zone),
		log:     log.With("entry", set.ID),
		bundles: bundles,
		vms:     vmlist.New(set.VMList, &http.Client{Timeout: vmListTimeout}),
		policy:  set.policy(),
		limiter: limits.New(),
		metrics: newMetrics(),
		timing:  defaultTiming,
		bus:     b,
		lookups: make(chan struct{}, maxLookups),
		stopped: make(chan struct{}),
		ready:   make(chan struct{}),
		killed:  make(chan struct{}),
	}
	e.directory.Store(&membership.Snapshot{})
	e.events = newEvents(b)
	e.connector = newConnector(e)
	e.control = newControl(e)
	e.models = chain(authenticate{e}, resolve{e}, admit{e}, retryFilter{e}, place{e}, claim{e}, dispatch{e})
	return e, nil
}

// SetClaims sets the store of idempotency keys. It must be called before Run.
// Without one, non-idempotent requests with a key are refused as not run.
func (e *Entry) SetClaims(c Claims) { e.claims = c }

// SetAdmin sets the handler of all paths under /admin/v1/. Call it before Run.
func (e *Entry) SetAdmin(h http.Handler) { e.admin = h }

// ApplyConfig takes the weights and the teams of a newly active bundle. Counts
// of limits and of the retry budget stay.
func (e *Entry) ApplyConfig(b *bundle.Bundle) {
	if p, ok := e.policy.(placement.Configurable); ok {
		p.ApplyConfig(b.Deployment())
	}
	e.limiter.Retain(b)
}

// Ready is closed once the entry listens.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

// Addr returns the address the entry listens on. It is valid after Ready.
func (e *Entry) Addr() string { return e.addr.Load().String() }

// Run serves until ctx ends, then drains: the entry reports unready, goes on
// accepting until the balancer has noticed, and completes what runs.
func (e *Entry) Run(ctx context.Context) error {
	e.started = time.Now()
	lis, err := net.Listen("tcp", e.set.Listen)
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
	wg.Go(func() { e.control.run(background) })
	wg.Go(func() { _ = e.bus.Run(background) }) // ends with background
	<-e.bus.Running()
	wg.Go(func() { e.connector.run(background) })
	wg.Go(func() { e.exchanger.run(background) })
	srv := &http.Server{Handler: e.routes(), ReadHeaderTimeout: readHeaderTimeout}
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
	return e.drain(srv)
}

// drain stops the HTTP server without cutting off a request.
func (e *Entry) drain(srv *http.Server) error {
	e.stopping.Store(true)
	e.log.For(logging.ComponentEntry).Info().Msg("stopping, unready")
	time.Sleep(e.set.UnreadyDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.set.DrainTimeout)
	defer cancel()
	err := srv.Shutdown(ctx)
	e.log.For(logging.ComponentEntry).Info().Msg("stopped")
	return errors.Wrap(err, "drain")
}

// newExchange starts the record of one request.
func newExchange(w http.ResponseWriter, r *http.Request) *Exchange {
	id := ident.NewRequestID()
	return &Exchange{ID: id, w: w, r: r, started: time.Now(), settlement: settle.New(id)}
}

// ReadyEndpoints returns the number of endpoints that accept work.
func (e *Entry) ReadyEndpoints() int {
	n := 0
	for _, ep := range e.directory.Load().Endpoints {
		if ep.State == fescuev1.EndpointState_ENDPOINT_STATE_READY {
			n++
		}
	}
	return n
}
