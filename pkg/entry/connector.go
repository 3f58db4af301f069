package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

// Intervals of connections to endpoints.
const (
	vmListInterval = time.Second
	// vmListIntervalPerVM slows the reading of long lists. Each VM takes 80 bytes,
	// so a list of any length costs at most 8 KB/s. Endpoints report themselves
	// that they leave, so only new ones wait for the list.
	vmListIntervalPerVM = 10 * time.Millisecond
	vmListTimeout       = 2 * time.Second
	redialInterval      = 250 * time.Millisecond
	keepaliveTime       = 10 * time.Second
	keepaliveTimeout    = 3 * time.Second
	// reportSilence is the longest time between two reports before the
	// connection counts as silent. Endpoints report at least every 2 s.
	reportSilence = 6 * time.Second
	grantBuffer   = 64
)

// connector keeps a control stream to every endpoint on the VM list.
type connector struct {
	e   *Entry
	log logging.Logger

	// sequence numbers control streams.
	sequence atomic.Uint64

	mu    sync.RWMutex
	links map[ident.EndpointID]*link
}

func newConnector(e *Entry) *connector {
	return &connector{e: e, log: e.log.For(logging.ComponentEntry), links: map[ident.EndpointID]*link{}}
}

// link returns the connection to an endpoint, or nil.
func (c *connector) link(id ident.EndpointID) *link {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.links[id]
}

// doubtful returns the endpoints that keep a run waiting for its heartbeat.
func (c *connector) doubtful() []ident.EndpointID {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []ident.EndpointID
	for id, l := range c.links {
		if l.doubtful.Load() {
			out = append(out, id)
		}
	}
	return out
}

// size returns the number of endpoints that the entry connects to.
func (c *connector) size() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.links)
}

// run follows the VM list until ctx ends.
func (c *connector) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	listed := 0
	for {
		if n, ok := c.refresh(ctx, &wg); ok {
			listed = n
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(vmListInterval, time.Duration(listed)*vmListIntervalPerVM)):
		}
	}
}

// refresh opens links to new VMs and closes those of VMs that are gone from the
// list and report no longer. The list lags, so an endpoint that has left and
// joined again can be off the list while it serves. An unreadable list changes
// nothing. refresh returns the number of VMs and whether the list was readable.
func (c *connector) refresh(ctx context.Context, wg *sync.WaitGroup) (int, bool) {
	callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	list, err := c.e.vms.Get(callCtx)
	if err != nil {
		if ctx.Err() == nil {
			c.log.Warn().Err(err).Msg("VM list is not readable")
		}
		return 0, false
	}
	listed := map[ident.EndpointID]bool{}
	for _, vm := range subset(c.e.id, c.e.zone, c.e.set.RemoteEndpoints, list.VMs) {
		listed[vm.Endpoint] = true
		c.ensure(ctx, wg, vm)
	}
	c.prune(listed)
	return len(list.VMs), true
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
	l, err := c.newLink(vm, stop)
	if err != nil {
		stop()
		c.log.Warn().Err(err).Str("endpoint", string(vm.Endpoint)).Msg("address is not valid")
		return
	}
	c.links[vm.Endpoint] = l
	wg.Go(func() { l.run(linkCtx) })
}

func (c *connector) newLink(vm vmlist.VM, stop context.CancelFunc) (*link, error) {
	conn, err := newConn(vm.Address)
	if err != nil {
		return nil, err
	}
	grants := make(chan *fescuev1.PermitGrant, grantBuffer)
	return &link{c: c, id: vm.Endpoint, entry: c.e.id, address: vm.Address, stop: stop, grants: grants, conn: &sharedConn{ClientConn: conn}}, nil
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
