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

// Intervals and limits of connections to endpoints.
const (
	vmListInterval = time.Second
	// vmListIntervalPerVM increases the read interval for long VM lists. Each VM
	// takes 80 bytes, so reading a list of any length costs at most 8 KB/s.
	// Endpoints report themselves that they are leaving, so only new ones depend on
	// the list.
	vmListIntervalPerVM = 10 * time.Millisecond
	vmListTimeout       = 2 * time.Second
	redialInterval      = 250 * time.Millisecond
	keepaliveTime       = 10 * time.Second
	keepaliveTimeout    = 3 * time.Second
	// reportTimeout is the time after the last report at which a control stream
	// counts as silent. Endpoints report at least every 2 s.
	reportTimeout  = 6 * time.Second
	grantQueueSize = 64
)

// connector keeps a control stream open to each endpoint that subset selects from
// the VM list.
type connector struct {
	e   *Entry
	log logging.Logger

	// sequence is the sequence number of the newest control stream.
	sequence atomic.Uint64

	mu    sync.RWMutex
	links map[ident.EndpointID]*link
}

func newConnector(e *Entry) *connector {
	return &connector{e: e, log: e.log.For(logging.ComponentEntry), links: map[ident.EndpointID]*link{}}
}

// link returns the link to an endpoint, or nil if there is none.
func (c *connector) link(id ident.EndpointID) *link {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.links[id]
}

// suspected returns the endpoints at which the next frame of an attempt is overdue.
func (c *connector) suspected() []ident.EndpointID {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []ident.EndpointID
	for id, l := range c.links {
		if l.suspected.Load() {
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

// run reads the VM list periodically and updates the links until ctx ends.
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

// refresh opens links to new VMs and closes the links to VMs that are no longer on
// the list and no longer report. The list lags behind, so an endpoint that has left
// and joined again may be missing from it while it serves requests. A list that
// cannot be read changes nothing. refresh returns the number of VMs and whether the
// list could be read.
func (c *connector) refresh(ctx context.Context, wg *sync.WaitGroup) (int, bool) {
	callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	list, err := c.e.vms.Get(callCtx)
	if err != nil {
		if ctx.Err() == nil {
			c.log.Warn().Err(err).Msg("could not read the VM list")
		}
		return 0, false
	}
	listed := map[ident.EndpointID]bool{}
	for _, vm := range subset(c.e.id, c.e.zone, c.e.settings.RemoteEndpoints, list.VMs) {
		listed[vm.Endpoint] = true
		c.ensureLink(ctx, wg, vm)
	}
	c.prune(listed)
	return len(list.VMs), true
}

func (c *connector) ensureLink(ctx context.Context, wg *sync.WaitGroup, vm vmlist.VM) {
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
		c.log.Warn().Err(err).Str("endpoint", string(vm.Endpoint)).Msg("invalid endpoint address")
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
	grants := make(chan *fescuev1.PermitGrant, grantQueueSize)
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
