package sidecar

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/grpcconn"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/mirror"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
)

// Errors returned by Server.Order.
var (
	// ErrRejected means that the server did not accept the order.
	ErrRejected = errors.New("the server rejected the order")
	// ErrNoAnswer means that the order got no response and may still be carried out.
	// Its expected sequence number keeps it from taking effect after another order.
	ErrNoAnswer = errors.New("no response to the order")
)

// Server is the model server that the sidecar controls. Its methods return an
// upstream.BackoffError if the server asks for a backoff.
type Server interface {
	// Report returns the current state of the server.
	Report(ctx context.Context) (residency.Report, error)
	// Order sends one order to the given lifetime of the server. Its other errors are
	// marked ErrRejected or ErrNoAnswer. Any other error means that the server's id
	// has to be queried again.
	Order(ctx context.Context, instance fleet.ID, o residency.Order) error
	// Instance returns the id of the server's current lifetime, as returned by its
	// health check.
	Instance(ctx context.Context, healthPath string) (fleet.ID, error)
}

// Catalog decodes the operator's items in the key-value store.
type Catalog interface {
	// OperatorPrefix returns the prefix of the keys of the items.
	OperatorPrefix() string
	// Operator decodes one item. It returns an error if the item is malformed.
	Operator(p kv.Pair) (fleet.OperatorItem, error)
}

const (
	// pollInterval is the interval between reads of the server's report. On the VM of
	// the server, where the sidecar runs, the report is up to date and costs nothing
	// to read.
	pollInterval = 100 * time.Millisecond
	// busyPollInterval replaces pollInterval while requests wait for a load.
	busyPollInterval = 25 * time.Millisecond
	// maxOrders limits the orders that are sent in one step.
	maxOrders = 4
)

// Sidecar controls one model server and reports its state to the entries.
type Sidecar struct {
	settings Settings
	store    kv.Store
	catalog  Catalog
	server   Server
	log      logging.Logger
	hub      *hub

	mu        sync.Mutex
	directory *fleet.Directory

	// State of the control goroutine.
	planner *residency.Planner
	report  *residency.Report
	// instance is the id of the server's current lifetime, or empty if it has to be
	// queried.
	instance fleet.ID
	// plannerInstance is the lifetime that the history of the planner belongs to.
	plannerInstance fleet.ID
	// reachable is false from a failed read of the report until a read succeeds and
	// the id of the server is known.
	reachable bool
	// refusesConnections is true if the last read of the report failed because the server
	// takes no connections.
	refusesConnections bool
	// pausedUntil is the time before which no order is sent.
	pausedUntil time.Time
	// backoffUntil is the time before which nothing is sent to the server.
	backoffUntil time.Time
	// leaving is true once the server has said that it leaves.
	leaving bool
	// unloading is an adapter whose unload waits until its running requests have ended.
	// Until then the server refuses requests for it.
	unloading fleet.AdapterKey
	wake      chan struct{}
}

// New returns a Sidecar for the given server.
func New(settings Settings, store kv.Store, catalog Catalog, server Server, log logging.Logger) *Sidecar {
	log = log.With("endpoint_process", settings.ID)
	wake := make(chan struct{}, 1)
	return &Sidecar{
		settings:  settings,
		store:     store,
		catalog:   catalog,
		server:    server,
		log:       log,
		hub:       newHub(wake),
		directory: fleet.NewDirectory(),
		planner:   residency.New(),
		reachable: true,
		wake:      wake,
	}
}

// Run serves entries and controls the server until ctx ends. It returns an error if
// the listener cannot be opened or fails.
func (s *Sidecar) Run(ctx context.Context) error {
	lis, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	operator := mirror.New(s.store, s.catalog.OperatorPrefix(), s.onOperatorItems, s.log.For(logging.ComponentRoute))
	wg.Go(func() { operator.Run(background) })
	wg.Go(func() { s.control(background) })
	srv := grpc.NewServer(grpcconn.ServerOptions()...)
	fescuev1.RegisterResidencyServer(srv, s.hub)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	s.log.For(logging.ComponentEndpoint).Info().Str("address", lis.Addr().String()).Str("server", s.settings.Server).Msg("listening")
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	s.log.For(logging.ComponentEndpoint).Info().Msg("shutting down")
	srv.Stop() // no graceful stop is needed: the streams carry no requests
	return nil
}

// onOperatorItems adopts changed configurations and adapter versions. If an item is
// deleted or its new value is malformed, its last valid value stays in force.
func (s *Sidecar) onOperatorItems(changes []mirror.Change) {
	s.hub.operator.apply(changes)
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.log.For(logging.ComponentRoute)
	for _, ch := range changes {
		if ch.Deleted {
			continue
		}
		item, err := s.catalog.Operator(ch.Pair)
		switch {
		case err != nil:
			log.Error().Str("key", ch.Pair.Key).Err(err).Msg("cannot decode the operator's item; the last valid one stays in force")
		case item.Config != nil:
			adopted := s.directory.SetConfig(*item.Config)
			log.Info().Uint("version", uint64(item.Config.Version)).Bool("adopted", adopted).Msg("configuration read")
		case item.Adapter != nil:
			adopted := s.directory.SetVersion(ch.Since, *item.Adapter)
			log.Info().
				Str("adapter", item.Adapter.Adapter).
				Int("version", item.Adapter.Version).
				Bool("adopted", adopted).
				Msg("adapter version read")
		}
	}
	signal(s.wake)
}

// control calls step at each poll interval, and whenever wake is signaled, until ctx
// ends.
func (s *Sidecar) control(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
		s.step(ctx)
		wait := pollInterval
		if s.hub.hasWaitingRequests() {
			wait = busyPollInterval
		}
		timer.Reset(wait)
	}
}

func (s *Sidecar) snapshot() *fleet.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Snapshot()
}

// step reads the report, sends the orders that are due and publishes the resulting
// state.
func (s *Sidecar) step(ctx context.Context) {
	if s.inBackoff() {
		return // the hub repeats the last state
	}
	snap := s.snapshot()
	if !s.readReport(ctx, snap) {
		s.publishUnreachable()
		return
	}
	if snap.Table == nil {
		return
	}
	svc := snap.Table.Service(s.settings.Service)
	if svc == nil || svc.Engine == nil {
		return
	}
	in := &residency.Input{Now: time.Now(), Report: s.report, Engine: svc.Engine, Versions: snap.Versions}
	in.DemandByAdapter = s.hub.demand(in.Now, s.planner)
	in.LoadsElsewhere = s.hub.loadsElsewhere(in.Now)
	in.ReloadModel = s.hub.reloadModel(in.Now)
	for range maxOrders {
		if in.Now.Before(s.pausedUntil) || !s.sendNextOrder(ctx, in) {
			break
		}
		if s.inBackoff() {
			return
		}
		if !s.readReport(ctx, snap) {
			s.publishUnreachable()
			return
		}
		in.Report = s.report
	}
	s.hub.publish(s.state(in))
}

// publishUnreachable tells the entries that the server does not respond. One that refuses
// connections leaves or has crashed: it gets no new work, and what still runs there ends by
// itself, because a crash ends its connections.
func (s *Sidecar) publishUnreachable() {
	if s.reachable || s.instance == "" {
		return
	}
	s.hub.publish(&fescuev1.ServerState{
		InstanceId: string(s.instance),
		Down:       !s.refusesConnections,
		Draining:   s.refusesConnections,
	})
}

// state builds the message that is sent to the entries.
func (s *Sidecar) state(in *residency.Input) *fescuev1.ServerState {
	r := in.Report
	m := &fescuev1.ServerState{
		InstanceId: string(s.instance),
		Draining:   r.Draining || s.leaving,
		LoadMs:     uint32(s.planner.LoadLimiter().LoadTime().Milliseconds()),
		LoadLimit:  uint32(s.planner.LoadLimiter().Limit()),
		Free:       uint32(residency.Free(r, in.Engine)),
		Evictable:  uint32(s.planner.Evictable(in)),
		InFlight:   uint32(r.InFlight),
		Queued:     uint32(r.Queued),
		CacheUsed:  uint64(max(r.CacheUsed, 0)),
		CacheTotal: uint64(max(r.CacheTotal, 0)),
		WarmCopies: uint32(s.planner.WarmCopies()),
	}
	for k, w := range in.DemandByAdapter {
		_, held := r.Residents[k]
		_, loading := r.Loading[k]
		if w.Waiting > 0 && !held && !loading {
			m.Wanted++
		}
	}
	for k, version := range r.Loading {
		m.Coming = append(m.Coming, &fescuev1.ResidentAdapter{Model: k.Model, Adapter: k.Name, Version: uint32(version)})
	}
	for name, version := range r.Models {
		m.Models = append(m.Models, name)
		m.ModelVersions = append(m.ModelVersions, uint32(version))
	}
	for k, version := range r.Residents {
		if k == s.unloading {
			continue
		}
		m.Residents = append(m.Residents, &fescuev1.ResidentAdapter{Model: k.Model, Adapter: k.Name, Version: uint32(version)})
	}
	return m
}

// signal sends on a channel without blocking. A pending signal absorbs further ones.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
