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

// Limits of the bundle exchange between entries and endpoints.
const (
	// defaultMaxDelay is the default of Exchanger.MaxDelay. Random delays up to it
	// spread the pushes of the entries that are connected to one endpoint, so that
	// usually only one of them transfers the bundle.
	defaultMaxDelay = time.Second
	exchangeTimeout = 10 * time.Second
	// versionBufferSize is the number of reported versions that may wait for Run.
	versionBufferSize = 256
)

// versionEvent is a bundle version reported by an endpoint, or the result of an
// exchange with it.
type versionEvent struct {
	endpoint ident.EndpointID
	version  uint64
	client   fescuev1.EndpointClient
	// reported is the version that the endpoint had last reported when the exchange
	// began.
	reported uint64
	// failed is true if the exchange ended with an error.
	failed bool
}

// Exchanger exchanges bundles between an entry and its endpoints: it pushes the
// active bundle to endpoints with a lower version and fetches the bundle from those
// with a higher one. At most one exchange runs per endpoint. Only the goroutine of
// Run accesses the map of peers.
type Exchanger struct {
	// MaxDelay is the longest random delay before an exchange. Set it before Run.
	MaxDelay time.Duration

	syncer   *Syncer
	log      logging.Logger
	versions chan versionEvent
	done     chan versionEvent
	peers    map[ident.EndpointID]*peerState
	wg       sync.WaitGroup
}

// peerState is the state of one endpoint.
type peerState struct {
	client fescuev1.EndpointClient
	// version is the bundle version of the endpoint, as last reported or after the
	// last exchange. It is atomic because the goroutine of an exchange reads it too.
	version atomic.Uint64
	// exchanging is true while an exchange with the endpoint runs.
	exchanging bool
}

// NewExchanger returns an exchanger that pushes and adopts bundles through s.
func NewExchanger(s *Syncer, log logging.Logger) *Exchanger {
	return &Exchanger{
		MaxDelay: defaultMaxDelay,
		syncer:   s,
		log:      log.For(logging.ComponentBundle),
		versions: make(chan versionEvent, versionBufferSize),
		done:     make(chan versionEvent),
		peers:    map[ident.EndpointID]*peerState{},
	}
}

// ReportVersion passes the bundle version that an endpoint has reported to Run. It
// drops the version if the buffer is full, because the next report repeats it.
func (p *Exchanger) ReportVersion(id ident.EndpointID, version uint64, client fescuev1.EndpointClient) {
	select {
	case p.versions <- versionEvent{endpoint: id, version: version, client: client}:
	default:
	}
}

// Run exchanges bundles until ctx ends and all exchanges have returned.
func (p *Exchanger) Run(ctx context.Context) {
	defer p.wg.Wait()
	for {
		changed := p.syncer.NextAdoption()
		for id, s := range p.peers {
			p.startExchange(ctx, id, s)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case ev := <-p.versions:
			p.recordReport(ev)
		case ev := <-p.done:
			p.finishExchange(ev)
		}
	}
}

// recordReport stores the version and the client of a reported version event.
func (p *Exchanger) recordReport(ev versionEvent) {
	s := p.peers[ev.endpoint]
	if s == nil {
		s = &peerState{}
		p.peers[ev.endpoint] = s
	}
	s.client = ev.client
	s.version.Store(ev.version)
}

// finishExchange records the version of the endpoint after an exchange, unless the
// endpoint has reported another version meanwhile. After a failed exchange it
// removes the endpoint, so that the next report starts a new exchange.
func (p *Exchanger) finishExchange(ev versionEvent) {
	if ev.failed {
		delete(p.peers, ev.endpoint)
		return
	}
	s := p.peers[ev.endpoint]
	s.exchanging = false
	s.version.CompareAndSwap(ev.reported, ev.version)
}

// startExchange starts an exchange with an endpoint if its version differs from the
// active one and no exchange with it is running.
func (p *Exchanger) startExchange(ctx context.Context, id ident.EndpointID, s *peerState) {
	if s.exchanging || s.version.Load() == uint64(p.syncer.Version()) {
		return
	}
	s.exchanging = true
	client := s.client
	p.wg.Go(func() {
		ev := p.exchange(ctx, id, s, client)
		select {
		case p.done <- ev:
		case <-ctx.Done():
		}
	})
}

// exchange pushes or fetches a bundle after a random delay of up to MaxDelay, unless
// the versions are equal by then. If the endpoint rejects the push because another
// entry is uploading to it, the result keeps the reported version, so that the exchange
// is repeated.
func (p *Exchanger) exchange(ctx context.Context, id ident.EndpointID, s *peerState, client fescuev1.EndpointClient) versionEvent {
	ev := versionEvent{endpoint: id, failed: true}
	if !wait.For(ctx, rand.N(p.MaxDelay+1)) {
		return ev
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ev.reported = s.version.Load()
	version, err := p.syncer.exchangeWith(ctx, ev.reported, client)
	if status.Code(errors.UnwrapAll(err)) == codes.Aborted {
		version, err = ev.reported, nil
	}
	if err != nil && ctx.Err() == nil {
		p.log.Warn().Err(err).Str("endpoint", string(id)).Msg("bundle exchange failed")
	}
	ev.version = version
	ev.failed = err != nil
	return ev
}

// exchangeWith pushes the active bundle to an endpoint that reported a lower version,
// or fetches the bundle of one that reported a higher version. It returns the
// version that is active at the endpoint afterwards.
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
