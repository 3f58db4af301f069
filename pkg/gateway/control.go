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
)

// storeEvent is a group of changes of the store.
type storeEvent struct{ changes []mirror.Change }

// control owns the directory and the links to the processes beside the model
// servers. All changes go through the bus handlers, one at a time.
type control struct {
	set       *Settings
	store     kv.Store
	catalog   Catalog
	log       logging.Logger
	bus       *bus.Bus
	changes   bus.Topic[storeEvent]
	directory *fleet.Directory
	prefixes  *locality.PrefixIndex
	links     map[*fleet.Runtime]*link
	ctx       context.Context
	snapshot  atomic.Pointer[fleet.Snapshot]
	demands   sync.Map // *fleet.Live -> *demand
	synced    atomic.Bool
	// mirror follows the store. It is set once running is closed.
	mirror  *mirror.Mirror
	running chan struct{}
}

func newControl(set *Settings, store kv.Store, catalog Catalog, prefixes *locality.PrefixIndex, log logging.Logger) (*control, error) {
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
		links:     map[*fleet.Runtime]*link{},
		running:   make(chan struct{}),
	}
	c.snapshot.Store(c.directory.Snapshot())
	c.changes.Handle("directory", c.onChanges)
	return c, nil
}

// run keeps the directory up to date until ctx ends.
func (c *control) run(ctx context.Context) {
	c.ctx = ctx
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.bus.Run(ctx) }) // ends with ctx
	<-c.bus.Running()
	// The bus only fails once ctx has ended.
	c.mirror = mirror.New(c.store, c.catalog.Prefix(), func(ch []mirror.Change) { _ = c.changes.Publish(storeEvent{changes: ch}) }, c.log)
	close(c.running)
	wg.Go(func() { c.mirror.Run(ctx) })
	wg.Wait()
}

func (c *control) onChanges(ev storeEvent) {
	changed := !c.synced.Load()
	for _, ch := range ev.changes {
		if c.apply(ch) {
			changed = true
		}
	}
	c.synced.Store(true)
	if changed {
		c.publish()
	}
}

// apply reports whether the directory has changed. The operator's items are never
// taken back.
func (c *control) apply(ch mirror.Change) bool {
	if id, ok := c.catalog.EndpointID(ch.Pair.Key); ok {
		return c.applyServer(id, ch)
	}
	return !ch.Deleted && c.applyOperator(time.Now(), ch.Pair)
}

// applyServer reports whether the directory has changed.
func (c *control) applyServer(id fleet.ID, ch mirror.Change) bool {
	if ch.Deleted {
		c.log.Info().Str("endpoint", string(id)).Msg("endpoint gone")
		return c.directory.RemoveEndpoint(id)
	}
	e, err := c.catalog.Endpoint(ch.Pair)
	if err != nil {
		c.log.Warn().
			Str("key", ch.Pair.Key).
			Uint("revision", uint64(ch.Pair.ModRevision)).
			Err(err).
			Msg("unreadable server entry, ignored")
		return c.directory.RemoveEndpoint(id)
	}
	if !c.directory.SetEndpoint(e) {
		return false
	}
	c.log.Info().
		Str("endpoint", string(e.ID)).
		Str("service", e.Service).
		Str("address", e.Address).
		Str("state", e.State.String()).
		Uint("born", uint64(e.Born)).
		Uint("revision", uint64(ch.Pair.ModRevision)).
		Msg("endpoint changed")
	return true
}

// applyOperator reports whether the directory has changed.
func (c *control) applyOperator(now time.Time, p kv.Pair) bool {
	item, err := c.catalog.Operator(p)
	switch {
	case err != nil:
		c.log.Error().Str("key", p.Key).Err(err).Msg("unreadable item, the last one stays in force")
	case item.Config != nil:
		adopted := c.directory.SetConfig(*item.Config)
		c.log.Info().
			Uint("version", uint64(item.Config.Version)).
			Uint("revision", uint64(p.ModRevision)).
			Bool("adopted", adopted).
			Msg("configuration read")
		return adopted
	case item.Adapter != nil:
		adopted := c.directory.SetVersion(now, *item.Adapter)
		c.log.Info().
			Str("model", item.Adapter.Model).
			Str("adapter", item.Adapter.Adapter).
			Int("version", item.Adapter.Version).
			Bool("adopted", adopted).
			Msg("adapter version named")
		return adopted
	}
	return false
}

// woke ages what was believed before the machine was suspended, and reads the store
// again.
func (c *control) woke(slept time.Duration) {
	for _, list := range c.snapshot.Load().Services {
		for _, e := range list {
			e.Runtime.AgeStatus(slept)
		}
	}
	c.mirror.Refresh()
}

// publish makes the directory visible to requests.
func (c *control) publish() {
	s := c.directory.Snapshot()
	c.snapshot.Store(s)
	c.reconcile(s)
}

// reconcile opens a link for each model server and closes those of servers that
// are gone.
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
	for live, l := range c.links {
		if wanted[live] == nil {
			l.cancel()
			delete(c.links, live)
			c.demands.Delete(live)
		}
	}
	for live, e := range wanted {
		if c.links[live] == nil {
			c.open(e)
		}
	}
}

func (c *control) open(e *fleet.Endpoint) {
	target, err := linkTarget(e.Address, c.set.ResidencyPort)
	if err != nil {
		c.log.Warn().Str("endpoint", string(e.ID)).Err(err).Msg("server has an unusable address")
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{entry: c.set.ID, endpoint: e, target: target, demand: c.demandOf(e), prefixes: c.prefixes, log: c.log, cancel: cancel}
	c.links[e.Runtime] = l
	go l.run(ctx)
}

// demandOf returns the demand counters of one lifetime of a server.
func (c *control) demandOf(e *fleet.Endpoint) *demand {
	d, _ := c.demands.LoadOrStore(e.Runtime, newDemand())
	return d.(*demand) //nolint:forcetypeassert // only demands are stored
}
