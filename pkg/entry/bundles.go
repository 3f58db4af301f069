package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// Limits of bundle propagation.
const (
	// exchangeSpread spreads the pushes of the entries that are connected to one
	// endpoint, so that usually only one of them transfers the bundle.
	exchangeSpread  = time.Second
	exchangeTimeout = 10 * time.Second
	versionBuffer   = 256
)

// versionEvent is the bundle version that an endpoint has reported.
type versionEvent struct {
	endpoint ident.EndpointID
	version  uint64
	conn     *grpc.ClientConn
}

// exchanger exchanges bundles with endpoints. Its goroutine owns all state; at
// most one exchange runs per endpoint.
type exchanger struct {
	syncer   *rollout.Syncer
	log      logging.Logger
	spread   time.Duration
	versions chan versionEvent
	done     chan versionEvent
	peers    map[ident.EndpointID]*peerState
	wg       sync.WaitGroup
}

// peerState is what is known of one endpoint. Its version is read by the
// goroutine of an exchange.
type peerState struct {
	conn    *grpc.ClientConn
	version atomic.Uint64
	busy    bool
}

func newExchanger(s *rollout.Syncer, log logging.Logger) *exchanger {
	return &exchanger{
		syncer:   s,
		log:      log.For(logging.PartBundle),
		spread:   exchangeSpread,
		versions: make(chan versionEvent, versionBuffer),
		done:     make(chan versionEvent),
		peers:    map[ident.EndpointID]*peerState{},
	}
}

// UseSyncer lets the entry push bundles to endpoints and fetch them. Call it
// before Run.
func (e *Entry) UseSyncer(s *rollout.Syncer) { e.exchanger = newExchanger(s, e.log) }

// reported notes the version in a report. A full buffer drops it, because the
// next report repeats it.
func (p *exchanger) reported(id ident.EndpointID, m *fescuev1.ControlResponse, conn *grpc.ClientConn) {
	if p == nil || m.GetReport() == nil {
		return
	}
	select {
	case p.versions <- versionEvent{endpoint: id, version: m.GetReport().GetBundleVersion(), conn: conn}:
	default:
	}
}

// run exchanges bundles until ctx ends.
func (p *exchanger) run(ctx context.Context) {
	if p == nil {
		return
	}
	defer p.wg.Wait()
	for {
		changed := p.syncer.Changed()
		for id, s := range p.peers {
			p.consider(ctx, id, s)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case ev := <-p.versions:
			p.note(ev)
		case ev := <-p.done:
			p.finish(ev)
		}
	}
}

func (p *exchanger) note(ev versionEvent) {
	s := p.peers[ev.endpoint]
	if s == nil {
		s = &peerState{}
		p.peers[ev.endpoint] = s
	}
	s.conn = ev.conn
	s.version.Store(ev.version)
}

// finish records the version after an exchange. An endpoint whose exchange
// failed is forgotten until its next report.
func (p *exchanger) finish(ev versionEvent) {
	if ev.version == 0 {
		delete(p.peers, ev.endpoint)
		return
	}
	s := p.peers[ev.endpoint]
	s.busy = false
	s.version.Store(ev.version)
}

// consider starts an exchange if the versions differ and none is running.
func (p *exchanger) consider(ctx context.Context, id ident.EndpointID, s *peerState) {
	if s.busy || s.version.Load() == uint64(p.syncer.Version()) {
		return
	}
	s.busy = true
	client := fescuev1.NewEndpointClient(s.conn)
	p.wg.Go(func() {
		ev := versionEvent{endpoint: id, version: p.exchange(ctx, id, s, client)}
		select {
		case p.done <- ev:
		case <-ctx.Done():
		}
	})
}

// exchange pushes or fetches after a random pause, unless the endpoint has
// reported the own version meanwhile. It returns the version of the endpoint
// afterwards, or zero after a failure.
func (p *exchanger) exchange(ctx context.Context, id ident.EndpointID, s *peerState, client fescuev1.EndpointClient) uint64 {
	pause := time.NewTimer(rand.N(p.spread + 1))
	defer pause.Stop()
	select {
	case <-ctx.Done():
		return 0
	case <-pause.C:
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	version, err := syncBundle(ctx, p.syncer, s.version.Load(), client)
	if err != nil && status.Code(errors.UnwrapAll(err)) != codes.Aborted && ctx.Err() == nil {
		p.log.Warn().Err(err).Str("endpoint", string(id)).Msg("bundle exchange failed")
	}
	if err != nil {
		return 0
	}
	return version
}

// syncBundle pushes the active bundle to an endpoint with a lower version, or
// fetches the bundle of one with a higher version. It returns the version at
// the endpoint.
func syncBundle(ctx context.Context, s *rollout.Syncer, reported uint64, client fescuev1.EndpointClient) (uint64, error) {
	own := uint64(s.Version())
	switch {
	case reported < own:
		return s.PushTo(ctx, client)
	case reported > own:
		return reported, s.FetchFrom(ctx, client)
	}
	return reported, nil
}
