package endpoint

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/attempts"
	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/grpcconn"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/membudget"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
	"github.com/fescuecourse/fescuecourse/pkg/service"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// Intervals and timeouts of the endpoint process.
const (
	// keepaliveTime and keepaliveTimeout are the gRPC keepalive settings that detect
	// and close dead connections.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
	// keepaliveMinTime is the shortest ping interval accepted from entries.
	keepaliveMinTime = 5 * time.Second
	// leaveGrace is the minimum time for which a stopping endpoint keeps its server
	// open, so that late attempts get a refusal instead of a connection error.
	leaveGrace = time.Second
	// stopGrace is the time limit for writing the last frames before the server is
	// closed forcibly.
	stopGrace = 5 * time.Second
	// idleConnTimeout is the time after which an idle connection to the engine or
	// service is closed.
	idleConnTimeout = 30 * time.Second
)

// Endpoint is the server of one endpoint: it accepts attempts from entries and runs
// them on one model engine or plain service.
type Endpoint struct {
	set         Settings
	id          ident.EndpointID
	incarnation ident.Incarnation
	started     time.Time
	log         logging.Logger
	bundles     *rollout.Holder
	peer        *rollout.PeerServer
	authority   Authority
	engine      *engine.Client
	service     *service.Client
	ledger      *attempts.Ledger
	control     *control
	hub         *hub
	metrics     *metricSet
	runs        *runRegistry
	timing      timing
	backends    *backendConns
	// bodies is the memory for the bodies of queued and running attempts.
	bodies   *membudget.Budget
	killed   chan struct{}
	killOnce sync.Once
	leaving  atomic.Bool
	backoff  backoff
	addr     atomic.Pointer[net.TCPAddr]
	ready    chan struct{}
}

// New returns an endpoint that has not started; call Run. The bundles holder supplies
// the active configuration bundle.
func New(set Settings, bundles *rollout.Holder, authority Authority, log logging.Logger) *Endpoint {
	if set.MaxDeadline <= 0 {
		set.MaxDeadline = defaultMaxDeadline
	}
	backends := newBackendConns()
	transport := &http.Transport{DialContext: backends.dial, MaxIdleConnsPerHost: 256, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: upstream.MaxHeadBytes}
	hc := &http.Client{Transport: upstream.NewTransport(transport)}
	e := &Endpoint{
		set:         set,
		id:          ident.EndpointID(set.ID),
		incarnation: ident.NewIncarnation(),
		started:     time.Now(),
		log:         log.With("endpoint", set.ID),
		bundles:     bundles,
		authority:   authority,
		engine:      engine.New(set.Address, hc),
		service:     service.New(set.Address, hc),
		ledger:      attempts.New(),
		bodies:      membudget.New(int64(cmp.Or(set.BodyMemoryMB, defaultBodyMemoryMB) * (1 << 20))),
		backends:    backends,
		killed:      make(chan struct{}),
		ready:       make(chan struct{}),
		metrics:     newMetricSet(),
		runs:        &runRegistry{cancels: map[ident.AttemptID]context.CancelCauseFunc{}},
		timing:      defaultTiming(),
	}
	e.hub = newHub(e)
	e.control = newControl(e)
	return e
}

// Ready returns a channel that is closed once the endpoint listens.
func (e *Endpoint) Ready() <-chan struct{} { return e.ready }

// Addr returns the address (host:port) that the endpoint listens on. Call it only
// after Ready is closed.
func (e *Endpoint) Addr() string { return e.addr.Load().String() }

// Incarnation returns the number that identifies this start of the endpoint.
func (e *Endpoint) Incarnation() ident.Incarnation { return e.incarnation }

// Run listens and serves until ctx ends, then drains: it refuses new attempts at once
// and waits for queued and running ones. It returns ErrDrainTimeout if attempts or
// commands had not ended after Settings.DrainTimeout, and other errors if it cannot
// listen or the server fails.
func (e *Endpoint) Run(ctx context.Context) error {
	lis, err := net.Listen("tcp", e.set.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if a, ok := lis.Addr().(*net.TCPAddr); ok {
		e.addr.Store(a)
	}
	options := append(grpcconn.ServerOptions(),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveMinTime, PermitWithoutStream: true}),
	)
	options = append(options, grpc.StreamInterceptor(newReceiveLimiter().intercept))
	srv := grpc.NewServer(options...)
	fescuev1.RegisterEndpointServer(srv, &server{e: e})
	background, stop := context.WithCancel(context.Background())
	defer stop()
	controlDone := make(chan struct{})
	go func() {
		defer close(controlDone)
		e.control.run(background)
	}()
	go func() {
		select {
		case <-background.Done():
		case <-e.killed:
			e.backends.kill()
			stop()
			srv.Stop()
		}
	}()
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	close(e.ready)
	e.log.For(logging.ComponentEndpoint).Info().Str("address", e.Addr()).Uint("incarnation", uint64(e.incarnation)).Msg("listening")
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	err = e.drain(background)
	e.stopServer(srv)
	stop()
	<-controlDone
	return err
}

// ErrDrainTimeout means that attempts or engine commands were still unfinished when
// the drain timeout passed.
var ErrDrainTimeout = errors.New("drain timed out")

// drain refuses new work and waits until all attempts and commands have ended, for
// at most the drain timeout.
func (e *Endpoint) drain(ctx context.Context) error {
	e.leaving.Store(true)
	e.control.send(leaveEvent{})
	e.log.For(logging.ComponentEndpoint).Info().Msg("shutting down; refusing new work")
	ctx, cancel := context.WithTimeout(ctx, e.set.DrainTimeout)
	defer cancel()
	grace := time.NewTimer(e.timing.leaveGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-ctx.Done():
	}
	select {
	case <-e.control.idle():
		e.log.For(logging.ComponentEndpoint).Info().Msg("drained; all attempts have ended")
		return nil
	case <-ctx.Done():
		return e.drainFailed()
	}
}

// drainFailed logs the unfinished attempts and returns ErrDrainTimeout.
func (e *Endpoint) drainFailed() error {
	out := make(chan []scheduler.Unfinished, 1)
	e.control.send(unfinishedEvent{out: out})
	unfinished := <-out
	for _, u := range unfinished {
		e.log.For(logging.ComponentEndpoint).Error().Str("request", string(u.ID.Request)).Uint("attempt", uint64(u.ID.Attempt)).
			Str("adapter", u.Adapter.String()).Msg(unfinishedMessage(u))
	}
	return errors.Wrapf(ErrDrainTimeout, "%d attempts unfinished", len(unfinished))
}

func unfinishedMessage(u scheduler.Unfinished) string {
	if u.Running {
		return "running attempt cut off by the stop"
	}
	return "queued attempt cut off by the stop"
}

// stopServer ends the control streams and gives runs that have ended up to stopGrace
// to write their last frames.
func (e *Endpoint) stopServer(srv *grpc.Server) {
	e.hub.close()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		srv.GracefulStop()
	}()
	select {
	case <-stopped:
	case <-time.After(e.timing.stopGrace):
		// GracefulStop waits for runs that the drain left unfinished, up to their
		// deadline, so stop without waiting for it to return.
		srv.Stop()
	}
}

// sentAt converts a clock value that an entry copied from a report, in milliseconds,
// to a local time. Values in the future count as now.
func (e *Endpoint) sentAt(clockMS uint64) time.Time {
	return e.started.Add(time.Duration(min(clockMS, e.clockMS())) * time.Millisecond)
}

// clockMS returns the monotonic time since New in milliseconds.
func (e *Endpoint) clockMS() uint64 { return uint64(time.Since(e.started).Milliseconds()) }

func (e *Endpoint) kind() fescuev1.EndpointKind {
	if e.set.Kind == KindService {
		return fescuev1.EndpointKind_ENDPOINT_KIND_SERVICE
	}
	return fescuev1.EndpointKind_ENDPOINT_KIND_MODEL
}
