package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/bus"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/mirror"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// directorySettleTime is the time after the first synchronisation from which the directory
// counts as complete. Items that expired during an outage of the store are written again
// up to about 2 s after its return.
const directorySettleTime = 3 * time.Second

// storeEvent is a batch of changes read from the key-value store. An empty one follows the
// changes of the first list.
type storeEvent struct{ changes []mirror.Change }

// control maintains the directory of endpoints and the links to the sidecars of the
// model servers. All changes go through bus handlers, which run one at a time.
type control struct {
	set       *Settings
	store     kv.Store
	catalog   Catalog
	log       logging.Logger
	bus       *bus.Bus
	changes   bus.Topic[storeEvent]
	directory *fleet.Directory
	prefixes  *locality.PrefixIndex
	// share learns the number of entries from the reports of the sidecars.
	share *retry.Share
	links map[*fleet.Runtime]*link
	// loads counts, by service, the adapters that the model servers are loading.
	loads    map[string]*atomic.Int64
	ctx      context.Context
	snapshot atomic.Pointer[fleet.Snapshot]
	demands  sync.Map // *fleet.Runtime -> *demand
	reloads  atomic.Pointer[reloads]
	// originLinks has the link to each sidecar that can keep the origins of streams.
	originLinks sync.Map // *fleet.Runtime -> *originLink
	// software is what the links announce to the sidecars.
	software atomic.Pointer[softwareList]
	// relay gets the operator's items that the store does not bring.
	relay *operatorRelay
	// syncedAt is when the first list of the store was applied, or nil before that.
	syncedAt atomic.Pointer[time.Time]
	// mirror watches the key-value store.
	mirror  *mirror.Mirror
	running chan struct{}
	// source is what the directory is read from: the mirror, except in tests.
	source directorySource
}

// directorySource is a copy of the servers' items in the store.
type directorySource interface {
	// Followed returns the period of which the directory has seen all items, or false if there
	// is none.
	Followed() (since, until time.Time, ok bool)
	// Confirm returns when the directory has all items that were written before the call, or
	// fails if that cannot be known.
	Confirm(ctx context.Context) error
}

func newControl(set *Settings, store kv.Store, catalog Catalog, prefixes *locality.PrefixIndex, share *retry.Share, log logging.Logger) (*control, error) {
	b, err := bus.New()
	if err != nil {
		return nil, err
	}
	c := &control{
		set:       set,
		store:     store,
		catalog:   catalog,
		log:       log.For(logging.ComponentRoute),
		bus:       b,
		changes:   bus.NewTopic[storeEvent](b, "store"),
		directory: fleet.NewDirectory(),
		prefixes:  prefixes,
		share:     share,
		links:     map[*fleet.Runtime]*link{},
		loads:     map[string]*atomic.Int64{},
		running:   make(chan struct{}),
	}
	c.relay = newOperatorRelay(set.WatchPause()+storeMargin, c.log)
	c.relay.available, c.relay.supply = c.storeAvailable, c.supply
	// Publish fails only once the bus has stopped.
	c.mirror = mirror.New(store, catalog.Prefix(), func(ch []mirror.Change) { _ = c.changes.Publish(storeEvent{changes: ch}) }, c.log)
	c.source = c.mirror
	c.snapshot.Store(c.directory.Snapshot())
	c.reloads.Store(&reloads{})
	c.changes.Handle("directory", c.onChanges)
	return c, nil
}

// run keeps the directory up to date until ctx ends.
func (c *control) run(ctx context.Context) {
	c.ctx = ctx
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.bus.Run(ctx) }) // returns when ctx ends
	<-c.bus.Running()
	close(c.running)
	wg.Go(func() { c.mirror.Run(ctx) })
	wg.Go(func() { c.runReloads(ctx) })
	wg.Wait()
}

func (c *control) onChanges(ev storeEvent) {
	changed := false
	for _, ch := range ev.changes {
		if c.apply(ch) {
			changed = true
		}
	}
	first := !c.synced()
	if len(ev.changes) == 0 {
		now := time.Now()
		c.syncedAt.CompareAndSwap(nil, &now)
	}
	// The first list is shown as a whole: with a part of the versions, requests could run
	// at outdated ones.
	if c.synced() && (changed || first) {
		c.publish()
	}
	c.recordRevisions(ev.changes)
}

// synced reports whether the first list of the store was applied.
func (c *control) synced() bool { return c.syncedAt.Load() != nil }

// settlesIn returns for how long the directory may still lack servers whose items expired
// before the first list was read.
func (c *control) settlesIn(now time.Time) time.Duration {
	at := c.syncedAt.Load()
	if at == nil {
		return directorySettleTime
	}
	return max(0, directorySettleTime-now.Sub(*at))
}

// apply applies one change of the store and reports whether the directory has
// changed. Deleting an item of the operator has no effect: its last value stays in
// force.
func (c *control) apply(ch mirror.Change) bool {
	if id, ok := c.catalog.EndpointID(ch.Pair.Key); ok {
		return c.applyServer(id, ch)
	}
	return !ch.Deleted && c.applyOperator(ch)
}

// applyServer applies a change of an endpoint's item and reports whether the
// directory has changed.
func (c *control) applyServer(id fleet.ID, ch mirror.Change) bool {
	if ch.Deleted {
		if !c.directory.RemoveEndpoint(time.Now(), id) {
			return false
		}
		c.log.Info().Str("endpoint", string(id)).Msg("endpoint gone")
		return true
	}
	e, err := c.catalog.Endpoint(ch.Pair)
	if err != nil {
		c.log.Warn().
			Str("key", ch.Pair.Key).
			Uint("revision", uint64(ch.Pair.ModRevision)).
			Err(err).
			Msg("cannot decode the endpoint's item; endpoint removed")
		return c.directory.RemoveEndpoint(time.Now(), id)
	}
	set := c.directory.SetEndpoint
	if ch.Restored {
		set = c.directory.RestoreEndpoint
	}
	if !set(time.Now(), e) {
		return false
	}
	c.log.Info().
		Str("endpoint", string(e.ID)).
		Str("service", e.Service).
		Str("address", e.Address).
		Str("software_version", e.SoftwareVersion).
		Str("state", e.State.String()).
		Uint("born", uint64(e.Born)).
		Uint("revision", uint64(ch.Pair.ModRevision)).
		Bool("restored", ch.Restored).
		Msg("endpoint changed")
	return true
}

// onResume handles the end of a suspension of the VM. It makes the status reports
// older by the length of the suspension and reads the store again.
func (c *control) onResume(slept time.Duration) {
	for _, list := range c.snapshot.Load().Services {
		for _, e := range list {
			e.Runtime.AgeStatus(slept)
		}
	}
	c.mirror.Refresh()
}

// publish makes the current directory visible to requests and updates the links.
func (c *control) publish() {
	s := c.directory.Snapshot()
	c.reconcile(s) // first, so that requests find the links of all servers
	c.show(s)
}

// reconcile opens a link to the sidecar of each new model server and closes the links
// of servers that are gone. The status of these is unknown from then on: what still runs there
// must not be taken for lost because the reports end with the link.
func (c *control) reconcile(s *fleet.Snapshot) {
	wanted := map[*fleet.Runtime]*fleet.Endpoint{}
	if s.Table != nil {
		for name, endpoints := range s.Services {
			svc := s.Table.Service(name)
			if svc == nil || svc.Engine == nil {
				continue
			}
			for _, e := range endpoints {
				wanted[e.Runtime] = e
			}
		}
	}
	for rt, l := range c.links {
		if wanted[rt] == nil {
			l.cancel()
			rt.SetStatus(nil)
			delete(c.links, rt)
			c.demands.Delete(rt)
			c.originLinks.Delete(rt)
		}
	}
	for rt, e := range wanted {
		if c.links[rt] == nil {
			c.openLink(e)
		}
	}
}

func (c *control) openLink(e *fleet.Endpoint) {
	target, err := linkTarget(e.Address, c.set.ResidencyPort)
	if err != nil {
		c.log.Warn().Str("endpoint", string(e.ID)).Err(err).Msg("invalid server address; cannot connect to the sidecar")
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{entry: c.set.ID, endpoint: e, target: target, demand: c.demandOf(e), loads: loadCount{total: c.serviceLoads(e.Service)}, reloads: &c.reloads, prefixes: c.prefixes, share: c.share, origins: newOriginLink(), software: &c.software, relay: c.relay, softwareKnown: c.softwareKnown, log: c.log, cancel: cancel}
	c.links[e.Runtime] = l
	c.originLinks.Store(e.Runtime, l.origins)
	go l.run(ctx)
}

// serviceLoads returns the counter of the adapters that the servers of a service are
// loading.
func (c *control) serviceLoads(service string) *atomic.Int64 {
	if c.loads[service] == nil {
		c.loads[service] = &atomic.Int64{}
	}
	return c.loads[service]
}

// demandOf returns the demand counters for the current lifetime of a server. They are
// created on first use.
func (c *control) demandOf(e *fleet.Endpoint) *demand {
	d, _ := c.demands.LoadOrStore(e.Runtime, newDemand())
	return d.(*demand) //nolint:forcetypeassert // only demands are stored
}
