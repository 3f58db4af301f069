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
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/mirror"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
)

// Errors of an order.
var (
	// ErrRejected means that the server did not accept the order.
	ErrRejected = errors.New("the server rejected the order")
	// ErrNoAnswer means that the order may still be carried out. Its expected
	// sequence keeps it from taking effect after another one.
	ErrNoAnswer = errors.New("the order has no answer")
)

// Server is the model server beside the process.
type Server interface {
	// Report reads the server's state.
	Report(ctx context.Context) (residency.Report, error)
	// Order gives one order to the given lifetime of the server.
	Order(ctx context.Context, instance fleet.ID, o residency.Order) error
	// Instance returns the id of the server's current lifetime.
	Instance(ctx context.Context, healthPath string) (fleet.ID, error)
}

// Catalog decodes the operator's items in the store.
type Catalog interface {
	OperatorPrefix() string
	Operator(p kv.Pair) (fleet.OperatorItem, error)
}

const (
	// pollInterval is how often the server's report is read. It is fresh and free on
	// the server's own machine.
	pollInterval = 100 * time.Millisecond
	// busyPollInterval applies while requests wait for a load.
	busyPollInterval = 25 * time.Millisecond
	// callTimeout bounds a call to the server beside the process.
	callTimeout = 300 * time.Millisecond
	// orderTimeout bounds an order. The server answers one in a few milliseconds; an
	// order without an answer is settled by reading the sequence again.
	orderTimeout = 80 * time.Millisecond
	// rejectPause follows an order that the server did not accept.
	rejectPause = 100 * time.Millisecond
	// maxOrders bounds the orders that follow one report.
	maxOrders = 4
)

// Sidecar is the process beside one model server.
type Sidecar struct {
	set     Settings
	store   kv.Store
	catalog Catalog
	server  Server
	log     logging.Logger
	hub     *hub

	mu        sync.Mutex
	directory *fleet.Directory

	// State of the control goroutine.
	planner *residency.Planner
	report  *residency.Report
	// instance is the server's current lifetime, empty until the server was asked.
	instance fleet.ID
	// planned is the lifetime that the planner belongs to.
	planned  fleet.ID
	reached  bool
	pausedTo time.Time
	// replacing is an adapter whose newer version waits for the runs of the older
	// one. The server refuses its requests meanwhile.
	replacing fleet.AdapterKey
	wake      chan struct{}
}

// New returns the process beside a server.
func New(set Settings, store kv.Store, catalog Catalog, server Server, log logging.Logger) *Sidecar {
	log = log.With("endpoint_process", set.ID)
	wake := make(chan struct{}, 1)
	return &Sidecar{
		set:       set,
		store:     store,
		catalog:   catalog,
		server:    server,
		log:       log,
		hub:       newHub(wake),
		directory: fleet.NewDirectory(),
		planner:   residency.New(),
		reached:   true,
		wake:      wake,
	}
}

// Run serves until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	lis, err := net.Listen("tcp", s.set.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	operator := mirror.New(s.store, s.catalog.OperatorPrefix(), s.onOperator, s.log.For(logging.ComponentRoute))
	wg.Go(func() { operator.Run(background) })
	wg.Go(func() { s.control(background) })
	srv := grpc.NewServer()
	fescuev1.RegisterResidencyServer(srv, s.hub)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	s.log.For(logging.ComponentEndpoint).Info().Str("address", lis.Addr().String()).Str("server", s.set.Server).Msg("started")
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	s.log.For(logging.ComponentEndpoint).Info().Msg("stopping")
	srv.Stop() // the streams carry no requests
	return nil
}

func (s *Sidecar) onOperator(changes []mirror.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	log := s.log.For(logging.ComponentRoute)
	for _, ch := range changes {
		if ch.Deleted {
			continue
		}
		item, err := s.catalog.Operator(ch.Pair)
		switch {
		case err != nil:
			log.Error().Str("key", ch.Pair.Key).Err(err).Msg("unreadable item, the last one stays in force")
		case item.Config != nil:
			adopted := s.directory.SetConfig(*item.Config)
			log.Info().Uint("version", uint64(item.Config.Version)).Bool("adopted", adopted).Msg("configuration read")
		case item.Adapter != nil:
			adopted := s.directory.SetVersion(now, *item.Adapter)
			log.Info().
				Str("adapter", item.Adapter.Adapter).
				Int("version", item.Adapter.Version).
				Bool("adopted", adopted).
				Msg("adapter version named")
		}
	}
	signal(s.wake)
}

// control reads reports, gives orders and publishes states until ctx ends.
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
		if s.hub.waiting() {
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

// step reads the report once and gives the orders that are due.
func (s *Sidecar) step(ctx context.Context) {
	snap := s.snapshot()
	if !s.read(ctx, snap) {
		s.publishDown()
		return
	}
	if snap.Table == nil {
		return
	}
	svc := snap.Table.Service(s.set.Service)
	if svc == nil || svc.Engine == nil {
		return
	}
	in := &residency.Input{Now: time.Now(), Report: s.report, Engine: svc.Engine, Versions: snap.Versions}
	in.DemandByAdapter = s.hub.wants(in.Now, s.planner)
	for range maxOrders {
		if in.Now.Before(s.pausedTo) || !s.give(ctx, in) {
			break
		}
		if !s.read(ctx, snap) {
			s.publishDown()
			return
		}
		in.Report = s.report
	}
	s.hub.publish(s.state(in))
}

// read fetches the report. It reports false if the server does not answer or its
// current lifetime is not known.
func (s *Sidecar) read(ctx context.Context, snap *fleet.Snapshot) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	log := s.log.For(logging.ComponentEndpoint)
	r, err := s.server.Report(call)
	if err != nil {
		if s.reached && ctx.Err() == nil {
			log.Warn().Err(err).Msg("dependency lost: server")
		}
		s.reached = false
		return false
	}
	if s.report == nil || s.report.Born != r.Born || r.Sequence < s.report.Sequence {
		s.newLifetime()
	}
	if s.hub.foreign(string(s.instance)) {
		s.instance = ""
	}
	s.report = &r
	if _, held := r.Residents[s.replacing]; !held || !r.Busy {
		s.replacing = fleet.AdapterKey{}
	}
	if s.instance == "" && !s.identify(call, snap) {
		return false
	}
	if !s.reached {
		log.Info().Str("instance", string(s.instance)).Msg("dependency regained: server")
	}
	s.reached = true
	return true
}

// newLifetime forgets what was known of the server, which started again.
func (s *Sidecar) newLifetime() {
	s.instance, s.planned = "", ""
	s.planner = residency.New()
}

// identify asks the server for its id. Another id than the last one is a new
// lifetime.
func (s *Sidecar) identify(ctx context.Context, snap *fleet.Snapshot) bool {
	if snap.Table == nil || snap.Table.Service(s.set.Service) == nil {
		return false
	}
	id, err := s.server.Instance(ctx, snap.Table.Service(s.set.Service).HealthPath)
	if err != nil {
		s.log.For(logging.ComponentEndpoint).Debug().Err(err).Msg("server not identified yet")
		return false
	}
	s.instance = id
	if id == s.planned {
		return true // an entry had read of an earlier lifetime
	}
	if s.planned != "" {
		s.planner = residency.New()
	}
	s.planned = id
	s.log.For(logging.ComponentEndpoint).Info().
		Str("instance", string(id)).
		Uint("born", uint64(s.report.Born)).
		Int("models", len(s.report.Models)).
		Int("adapters", len(s.report.Residents)).
		Msg("server identified")
	return true
}

// give sends the next order, if one is due. It reports whether another one
// may follow.
func (s *Sidecar) give(ctx context.Context, in *residency.Input) bool {
	o, ok := s.planner.Next(in)
	if !ok {
		return false
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	err := s.server.Order(call, s.instance, o)
	w := in.DemandByAdapter[o.Key]
	s.log.For(logging.ComponentScheduler).Info().
		Str("operation", o.Operation.String()).
		Str("model", o.Key.Model).
		Str("adapter", o.Key.Name).
		Int("version", o.Version).
		Uint("sequence", uint64(o.Expected)).
		Str("reason", o.Reason).
		Int("waiting", w.Waiting).
		Dur("waited_ms", w.Waited).
		Int("residents", len(in.Report.Residents)).
		Int("coming", len(in.Report.Coming)).
		Int("load_limit", s.planner.LoadLimiter().Limit()).
		Dur("load_time_ms", s.planner.LoadLimiter().LoadTime()).
		Dur("took_ms", time.Since(began)).
		Err(err).
		Msg("order given")
	switch {
	case errors.Is(err, ErrNoAnswer):
		return true // the next report shows whether it was accepted
	case errors.Is(err, ErrRejected):
		s.pausedTo = time.Now().Add(rejectPause)
		return false
	case err != nil:
		s.instance = ""
		return false
	}
	s.planner.Accepted(began, o)
	if _, held := in.Report.Residents[o.Key]; held && o.Operation == residency.Load {
		s.replacing = o.Key
	}
	return true
}

// publishDown tells the entries that the server does not answer.
func (s *Sidecar) publishDown() {
	if !s.reached && s.instance != "" {
		s.hub.publish(&fescuev1.ServerState{InstanceId: string(s.instance), Down: true})
	}
}

// state is what the entries are told.
func (s *Sidecar) state(in *residency.Input) *fescuev1.ServerState {
	r := in.Report
	m := &fescuev1.ServerState{
		InstanceId: string(s.instance),
		Draining:   r.Draining,
		LoadMs:     uint32(s.planner.LoadLimiter().LoadTime().Milliseconds()),
		LoadLimit:  uint32(s.planner.LoadLimiter().Limit()),
		Free:       uint32(residency.Free(r, in.Engine)),
		Evictable:  uint32(s.planner.Evictable(in)),
		InFlight:   uint32(r.InFlight),
		Queued:     uint32(r.Queued),
		CacheUsed:  uint64(max(r.CacheUsed, 0)),
		CacheTotal: uint64(max(r.CacheTotal, 0)),
	}
	for k, w := range in.DemandByAdapter {
		_, held := r.Residents[k]
		_, coming := r.Coming[k]
		if w.Waiting > 0 && !held && !coming {
			m.Wanted++
		}
	}
	for k, version := range r.Coming {
		m.Coming = append(m.Coming, &fescuev1.ResidentAdapter{Model: k.Model, Adapter: k.Name, Version: uint32(version)})
	}
	for name := range r.Models {
		m.Models = append(m.Models, name)
	}
	for k, version := range r.Residents {
		if k == s.replacing {
			continue
		}
		m.Residents = append(m.Residents, &fescuev1.ResidentAdapter{Model: k.Model, Adapter: k.Name, Version: uint32(version)})
	}
	return m
}

// signal wakes a goroutine without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
