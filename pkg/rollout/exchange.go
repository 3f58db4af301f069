package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

// Limits of bundle propagation.
const (
	// exchangeSpread spreads the pushes of the entries that are connected to one
	// endpoint, so that usually only one of them transfers the bundle.
	exchangeSpread  = time.Second
	exchangeTimeout = 10 * time.Second
	// versionBuffer is the number of reported versions that wait for Run.
	versionBuffer = 256
)

// versionEvent is the bundle version that an endpoint has reported, or that it
// has after an exchange.
type versionEvent struct {
	endpoint ident.EndpointID
	version  uint64
	client   fescuev1.EndpointClient
	// before is the version that the endpoint had reported when the exchange began.
	before uint64
	failed bool
}

// Exchanger exchanges bundles with the endpoints of an entry. Its goroutine owns
// all state; at most one exchange runs per endpoint.
type Exchanger struct {
	// MaxDelay is the longest pause before an exchange. Set it before Run.
	MaxDelay time.Duration

	syncer   *Syncer
	log      logging.Logger
	versions chan versionEvent
	done     chan versionEvent
	peers    map[ident.EndpointID]*peerState
	wg       sync.WaitGroup
}

// peerState is what is known of one endpoint.
type peerState struct {
	client fescuev1.EndpointClient
	// version is atomic because the goroutine of an exchange reads it too.
	version atomic.Uint64
	// busy is true while an exchange runs.
	busy bool
}

// NewExchanger returns an exchanger for the bundles of s.
func NewExchanger(s *Syncer, log logging.Logger) *Exchanger {
	return &Exchanger{
		MaxDelay: exchangeSpread,
		syncer:   s,
		log:      log.For(logging.ComponentBundle),
		versions: make(chan versionEvent, versionBuffer),
		done:     make(chan versionEvent),
		peers:    map[ident.EndpointID]*peerState{},
	}
}

// ReportVersion notes the version that an endpoint has reported. A full buffer drops
// it, because the next report repeats it.
func (p *Exchanger) ReportVersion(id ident.EndpointID, version uint64, client fescuev1.EndpointClient) {
	select {
	case p.versions <- versionEvent{endpoint: id, version: version, client: client}:
	default:
	}
}

// Run exchanges bundles until ctx ends.
func (p *Exchanger) Run(ctx context.Context) {
	defer p.wg.Wait()
	for {
		changed := p.syncer.NextAdoption()
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

// note records a reported version.
func (p *Exchanger) note(ev versionEvent) {
	s := p.peers[ev.endpoint]
	if s == nil {
		s = &peerState{}
		p.peers[ev.endpoint] = s
	}
	s.client = ev.client
	s.version.Store(ev.version)
}

// finish records the version after an exchange, unless a report has arrived
// meanwhile. An endpoint whose exchange failed is forgotten until its next report.
func (p *Exchanger) finish(ev versionEvent) {
	if ev.failed {
		delete(p.peers, ev.endpoint)
		return
	}
	s := p.peers[ev.endpoint]
	s.busy = false
	s.version.CompareAndSwap(ev.before, ev.version)
}

// consider starts an exchange if the versions differ and none is running.
func (p *Exchanger) consider(ctx context.Context, id ident.EndpointID, s *peerState) {
	if s.busy || s.version.Load() == uint64(p.syncer.Version()) {
		return
	}
	s.busy = true
	client := s.client
	p.wg.Go(func() {
		ev := p.exchange(ctx, id, s, client)
		select {
		case p.done <- ev:
		case <-ctx.Done():
		}
	})
}

// exchange pushes or fetches after a random pause, unless the endpoint has
// reported the own version meanwhile. It leaves the version as it was, and so is
// repeated, if another entry is uploading to the endpoint.
func (p *Exchanger) exchange(ctx context.Context, id ident.EndpointID, s *peerState, client fescuev1.EndpointClient) versionEvent {
	ev := versionEvent{endpoint: id, failed: true}
	if !wait.For(ctx, rand.N(p.MaxDelay+1)) {
		return ev
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ev.before = s.version.Load()
	version, err := p.syncer.exchangeWith(ctx, ev.before, client)
	if status.Code(errors.UnwrapAll(err)) == codes.Aborted {
		version, err = ev.before, nil
	}
	if err != nil && ctx.Err() == nil {
		p.log.Warn().Err(err).Str("endpoint", string(id)).Msg("bundle exchange failed")
	}
	ev.version = version
	ev.failed = err != nil
	return ev
}

// exchangeWith pushes the active bundle to an endpoint with a lower version, or
// fetches the bundle of one with a higher version. It returns the version at
// the endpoint.
func (s *Syncer) exchangeWith(ctx context.Context, reported uint64, client fescuev1.EndpointClient) (uint64, error) {
	own := uint64(s.Version())
	switch {
	case reported < own:
		return s.PushTo(ctx, client)
	case reported > own:
		return reported, s.FetchFrom(ctx, client)
	}
	return reported, nil
}
