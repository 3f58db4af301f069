// Package permits decides which endpoint may load an adapter next, so that loads
// from a rate-limited weight store run one at a time at full speed. It is a
// deterministic state machine that does no I/O and reads no clock.
package permits

import (
	"math"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Key identifies a requested load.
type Key struct {
	Endpoint ident.EndpointID
	Adapter  ident.Adapter
}

// Request asks for permission to load an adapter at an endpoint.
type Request struct {
	Key
	// Store is the name of the weight store. Loads from different stores do not wait
	// for each other.
	Store string
	// Waiting is the number of queued attempts for the adapter.
	Waiting int
	// Waited is the age of the oldest of these attempts at the time of the request.
	Waited   time.Duration
	Weight   int
	Priority ident.Priority
	// Loading states that the load is already in progress. It counts against the
	// limit, so that a new coordinator does not permit another load at the same
	// time.
	Loading bool
}

// Config holds the limits of a coordinator.
type Config struct {
	// MaxConcurrent is the number of loads per weight store that may be permitted at
	// the same time.
	MaxConcurrent int
	// GrantTTL is how long a grant is valid if it is neither released nor renewed.
	GrantTTL time.Duration
}

// Bonuses in the order of requests, expressed as waiting time. Teams get grants in
// proportion to their weights, see pool. The requests of one team are granted in
// the order of their virtual start times. All requests age at the same rate, so
// every request is granted eventually.
const (
	// normalBonus and highBonus are the bonuses for the priority classes. Both place
	// a request well before batch work. High and normal priority differ little,
	// because a burst of one of them delays the other for its whole duration.
	normalBonus = 19500 * time.Millisecond
	highBonus   = 20 * time.Second
	// doublingBonus is the bonus for each doubling of the weighted number of queued
	// attempts.
	doublingBonus = 250 * time.Millisecond
	// maxBacklogBonus limits the bonus for queued attempts, so that it does not
	// outweigh the difference from batch work.
	maxBacklogBonus = 8 * time.Second
)

// classBonus returns the bonus for a priority class.
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

// start returns the virtual start time of a request: the time at which its oldest
// attempt was queued, minus all bonuses. Earlier is more urgent.
func start(now time.Time, r Request) time.Time {
	work := float64(max(r.Waiting, 1)) * float64(max(r.Weight, 1))
	backlogBonus := min(time.Duration(math.Log2(work)*float64(doublingBonus)), maxBacklogBonus)
	return now.Add(-r.Waited - backlogBonus - classBonus(r.Priority))
}

// Coordinator grants permission to load adapters. It is not safe for concurrent use.
type Coordinator struct {
	cfg   Config
	pools map[string]*pool
	// stores holds the weight store of each request and grant, by endpoint and
	// adapter.
	stores map[ident.EndpointID]map[ident.Adapter]string
}

// New returns a coordinator without requests.
func New(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, pools: map[string]*pool{}, stores: map[ident.EndpointID]map[ident.Adapter]string{}}
}

// Request adds or replaces a request and returns the new grants. A request for a
// load that is already granted renews the grant and returns it again. If r.Loading
// is set, the load counts as granted and nothing is returned.
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

// index records the weight store of a request.
func (c *Coordinator) index(r Request) {
	m := c.stores[r.Endpoint]
	if m == nil {
		m = map[ident.Adapter]string{}
		c.stores[r.Endpoint] = m
	}
	m[r.Adapter] = r.Store
}

// Release ends a grant or withdraws a request, and returns the new grants.
func (c *Coordinator) Release(now time.Time, k Key) []Key {
	store, known := c.stores[k.Endpoint][k.Adapter]
	if !known {
		return nil
	}
	c.forget(store, k)
	return c.pools[store].grant(now, c.cfg.MaxConcurrent)
}

// forget deletes the request and the grant for a load.
func (c *Coordinator) forget(store string, k Key) {
	p := c.pools[store]
	delete(p.granted, k)
	p.remove(k)
	delete(c.stores[k.Endpoint], k.Adapter)
	if len(c.stores[k.Endpoint]) == 0 {
		delete(c.stores, k.Endpoint)
	}
}

// RemoveEndpoint deletes all requests and grants of an endpoint and returns the new
// grants.
func (c *Coordinator) RemoveEndpoint(now time.Time, id ident.EndpointID) []Key {
	for a, store := range c.stores[id] {
		c.forget(store, Key{Endpoint: id, Adapter: a})
	}
	return c.grantAll(now)
}

// Tick ends expired grants and returns the new grants. It must be called at regular
// intervals.
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
