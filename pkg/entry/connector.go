package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

// Intervals of connections to endpoints.
const (
	vmListInterval   = time.Second
	vmListTimeout    = 2 * time.Second
	redialInterval   = 250 * time.Millisecond
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// reportSilence is the longest time between two reports before the
	// connection counts as silent. Endpoints report at least every 2 s.
	reportSilence = 6 * time.Second
	grantBuffer   = 64
)

// connector keeps a control stream to every endpoint on the VM list.
type connector struct {
	e   *Entry
	log logging.Logger

	mu    sync.RWMutex
	links map[ident.EndpointID]*link
}

func newConnector(e *Entry) *connector {
	return &connector{e: e, log: e.log.For(logging.PartEntry), links: map[ident.EndpointID]*link{}}
}

// link returns the connection to an endpoint, or nil.
func (c *connector) link(id ident.EndpointID) *link {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.links[id]
}

// run follows the VM list until ctx ends.
func (c *connector) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c.refresh(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-time.After(vmListInterval):
		}
	}
}

// refresh opens links to new VMs and closes those of VMs that are gone from the
// list and report no longer. The list lags, so an endpoint that has left and
// joined again can be off the list while it serves. An unreadable list changes
// nothing.
func (c *connector) refresh(ctx context.Context, wg *sync.WaitGroup) {
	callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	list, err := c.e.vms.Get(callCtx)
	if err != nil {
		if ctx.Err() == nil {
			c.log.Warn().Err(err).Msg("VM list is not readable")
		}
		return
	}
	listed := map[ident.EndpointID]bool{}
	for _, vm := range list.VMs {
		listed[vm.Endpoint] = true
		c.ensure(ctx, wg, vm)
	}
	c.prune(listed)
}

func (c *connector) ensure(ctx context.Context, wg *sync.WaitGroup, vm vmlist.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.links[vm.Endpoint]; old != nil {
		if old.address == vm.Address {
			return
		}
		old.stop()
	}
	linkCtx, stop := context.WithCancel(ctx)
	l := &link{c: c, id: vm.Endpoint, entry: c.e.id, address: vm.Address, stop: stop, grants: make(chan *fescuev1.PermitGrant, grantBuffer)}
	if err := l.dial(); err != nil {
		stop()
		c.log.Warn().Err(err).Str("endpoint", string(vm.Endpoint)).Msg("address is not valid")
		return
	}
	c.links[vm.Endpoint] = l
	wg.Go(func() { l.run(linkCtx) })
}

func (c *connector) prune(listed map[ident.EndpointID]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, l := range c.links {
		if !listed[id] && !l.connected.Load() {
			l.stop()
			delete(c.links, id)
		}
	}
}

// link is the connection to one endpoint.
type link struct {
	c       *connector
	id      ident.EndpointID
	entry   ident.EntryID
	address string
	stop    context.CancelFunc
	conn    atomic.Pointer[grpc.ClientConn]
	grants  chan *fescuev1.PermitGrant
	// connected is true while the endpoint reports on the control stream.
	connected atomic.Bool
}

func newConn(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}))
}

func (l *link) dial() error {
	conn, err := newConn(l.address)
	if err != nil {
		return errors.Wrap(err, "create connection")
	}
	if old := l.conn.Swap(conn); old != nil {
		old.Close()
	}
	return nil
}

// client returns a client on the shared connection.
func (l *link) client() fescuev1.EndpointClient { return fescuev1.NewEndpointClient(l.conn.Load()) }

// freshClient returns a client on a new connection, because the shared one may
// have gone silent.
func (l *link) freshClient() (fescuev1.EndpointClient, func(), error) {
	conn, err := newConn(l.address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create connection")
	}
	return fescuev1.NewEndpointClient(conn), func() { conn.Close() }, nil
}

// run keeps the control stream open until ctx ends. A stream that ends or goes
// silent is replaced on a new connection.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.control(ctx)
		l.c.e.events.gone(l.id)
		if ctx.Err() != nil {
			break
		}
		l.c.log.Info().Err(err).Str("endpoint", string(l.id)).Msg("control stream ended")
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
		if err := l.dial(); err != nil {
			l.c.log.Warn().Err(err).Msg("address is not valid")
		}
	}
	l.conn.Load().Close()
}

// control reads reports from one control stream.
func (l *link) control(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.connected.Store(false)
	watchdog := time.AfterFunc(reportSilence, cancel)
	defer watchdog.Stop()
	stream, err := l.client().Control(ctx)
	if err != nil {
		return err
	}
	hello := &fescuev1.Hello{EntryId: string(l.entry), BundleVersion: uint64(l.c.e.bundles.Version())}
	if err := stream.Send(&fescuev1.ControlRequest{Body: &fescuev1.ControlRequest_Hello{Hello: hello}}); err != nil {
		return err
	}
	go l.sendGrants(ctx, stream)
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(reportSilence)
		l.connected.Store(true)
		l.c.e.events.received(l.id, m)
		l.c.e.exchanger.reported(l.id, m, l.conn.Load())
	}
}

func (l *link) sendGrants(ctx context.Context, stream grpc.BidiStreamingClient[fescuev1.ControlRequest, fescuev1.ControlResponse]) {
	for {
		select {
		case <-ctx.Done():
			return
		case g := <-l.grants:
			if stream.Send(&fescuev1.ControlRequest{Body: &fescuev1.ControlRequest_PermitGrant{PermitGrant: g}}) != nil {
				return
			}
		}
	}
}

// grant queues a permit for the endpoint.
func (l *link) grant(g *fescuev1.PermitGrant) bool {
	select {
	case l.grants <- g:
		return true
	default:
		return false
	}
}
