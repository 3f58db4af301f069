// Package permits decides which endpoint may load an adapter next, so that loads
// from a rate-limited weight store run one at a time at full speed. It is a
// deterministic state machine without I/O and clock.
package permits

import (
	"math"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Key names one requested load.
type Key struct {
	Endpoint ident.EndpointID
	Adapter  ident.Adapter
}

// Request asks for one load.
type Request struct {
	Key
	// Store names the weight store. Loads from different stores do not wait for
	// each other.
	Store string
	// Waiting is the number of queued attempts for the adapter.
	Waiting int
	// Waited is the age of the oldest of them at the time of the request.
	Waited   time.Duration
	Weight   int
	Priority ident.Priority
	// Loading states that the load is already running. It counts against the
	// limit, so that a new coordinator does not start a second one beside it.
	Loading bool
}

// Config are the limits of a coordinator.
type Config struct {
	// MaxConcurrent is the number of loads granted at once per weight store.
	MaxConcurrent int
	// GrantTTL is how long a grant is valid without a release or a renewal.
	GrantTTL time.Duration
}

// Teams get grants in proportion to their weights, see pool. The order of the
// requests of one team is that of their virtual starting times. All requests age
// at the same rate, so any request is granted in the end.
const (
	// normalBonus and highHeadStart are the waiting times that the classes are
	// worth. Both are well before batch work. High and normal work differ little,
	// because a burst of one delays the other for all of it.
	normalBonus = 19500 * time.Millisecond
	highBonus   = 20 * time.Second
	// doublingBonus is the waiting time that twice as much weighted work is worth.
	doublingBonus = 250 * time.Millisecond
	// maxBacklogBonus keeps the waiting work from outweighing a class.
	maxBacklogBonus = 8 * time.Second
)

func classBonus(class ident.Priority) time.Duration {
	switch class {
	case ident.PriorityHigh:
		return highBonus
	case ident.PriorityNormal:
		return normalBonus
	default:
		return 0
	}
}

// start returns the virtual starting time of a request.
func start(now time.Time, r Request) time.Time {
	work := float64(max(r.Waiting, 1)) * float64(max(r.Weight, 1))
	backlogBonus := min(time.Duration(math.Log2(work)*float64(doublingBonus)), maxBacklogBonus)
	return now.Add(-r.Waited - backlogBonus - classBonus(r.Priority))
}

// Coordinator grants loads.
type Coordinator struct {
	cfg   Config
	pools map[string]*pool
	// stores names the pool of each key and groups the keys by endpoint.
	stores map[ident.EndpointID]map[ident.Adapter]string
}

// New returns a coordinator without requests.
func New(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, pools: map[string]*pool{}, stores: map[ident.EndpointID]map[ident.Adapter]string{}}
}

// Request adds or replaces a request and returns new grants. The request for a
// granted load renews the grant and returns it again.
func (c *Coordinator) Request(now time.Time, r Request) []Key {
	p := c.pool(r.Store)
	c.index(r)
	if _, granted := p.granted[r.Key]; granted || r.Loading {
		p.remove(r.Key)
		p.granted[r.Key] = now
		if r.Loading {
			return nil
		}
		return []Key{r.Key}
	}
	p.put(r, start(now, r))
	return p.grant(now, c.cfg.MaxConcurrent)
}

func (c *Coordinator) pool(store string) *pool {
	p := c.pools[store]
	if p == nil {
		p = newPool()
		c.pools[store] = p
	}
	return p
}

func (c *Coordinator) index(r Request) {
	m := c.stores[r.Endpoint]
	if m == nil {
		m = map[ident.Adapter]string{}
		c.stores[r.Endpoint] = m
	}
	m[r.Adapter] = r.Store
}

// Release ends a grant or withdraws a request and returns new grants.
func (c *Coordinator) Release(now time.Time, k Key) []Key {
	store, known := c.stores[k.Endpoint][k.Adapter]
	if !known {
		return nil
	}
	c.forget(store, k)
	return c.pools[store].grant(now, c.cfg.MaxConcurrent)
}

func (c *Coordinator) forget(store string, k Key) {
	p := c.pools[store]
	delete(p.granted, k)
	p.remove(k)
	delete(c.stores[k.Endpoint], k.Adapter)
	if len(c.stores[k.Endpoint]) == 0 {
		delete(c.stores, k.Endpoint)
	}
}

// RemoveEndpoint forgets everything about an endpoint and returns new grants.
func (c *Coordinator) RemoveEndpoint(now time.Time, id ident.EndpointID) []Key {
	for a, store := range c.stores[id] {
		c.forget(store, Key{Endpoint: id, Adapter: a})
	}
	return c.grantAll(now)
}

// Tick expires grants and returns new ones.
func (c *Coordinator) Tick(now time.Time) []Key {
	for store, p := range c.pools {
		for k, at := range p.granted {
			if now.Sub(at) > c.cfg.GrantTTL {
				c.forget(store, k)
			}
		}
	}
	return c.grantAll(now)
}

func (c *Coordinator) grantAll(now time.Time) []Key {
	var out []Key
	for _, p := range c.pools {
		out = append(out, p.grant(now, c.cfg.MaxConcurrent)...)
	}
	return out
}

// Waiting returns the number of requests that wait for a grant.
func (c *Coordinator) Waiting() int {
	n := 0
	for _, p := range c.pools {
		n += len(p.waiting)
	}
	return n
}
