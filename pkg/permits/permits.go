// Package permits decides which endpoint may load an adapter next, so that loads
// from the rate-limited weight store run one at a time at full speed. It is a
// deterministic state machine without I/O and clock.
package permits

import (
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
	// Waiting is the number of queued attempts for the adapter.
	Waiting int
	// Waited is the age of the oldest of them at the time of the request.
	Waited   time.Duration
	Weight   int
	Priority ident.Priority
}

// Config are the limits of a coordinator.
type Config struct {
	// MaxConcurrent is the number of loads granted at once.
	MaxConcurrent int
	// GrantTTL is how long a grant is valid without a release.
	GrantTTL time.Duration
}

type pending struct {
	req   Request
	since time.Time
}

// Coordinator grants loads.
type Coordinator struct {
	cfg     Config
	waiting []pending
	granted map[Key]time.Time
}

// New returns a coordinator without requests.
func New(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, granted: map[Key]time.Time{}}
}

// Request adds or replaces a request and returns new grants.
func (c *Coordinator) Request(now time.Time, r Request) []Key {
	if _, ok := c.granted[r.Key]; ok {
		return []Key{r.Key}
	}
	for i := range c.waiting {
		if c.waiting[i].req.Key == r.Key {
			c.waiting[i].req = r
			return c.grant(now)
		}
	}
	c.waiting = append(c.waiting, pending{req: r, since: now.Add(-r.Waited)})
	return c.grant(now)
}

// Release ends a grant or withdraws a request and returns new grants.
func (c *Coordinator) Release(now time.Time, k Key) []Key {
	delete(c.granted, k)
	c.remove(func(p pending) bool { return p.req.Key == k })
	return c.grant(now)
}

// Drop forgets everything about an endpoint and returns new grants.
func (c *Coordinator) Drop(now time.Time, id ident.EndpointID) []Key {
	for k := range c.granted {
		if k.Endpoint == id {
			delete(c.granted, k)
		}
	}
	c.remove(func(p pending) bool { return p.req.Endpoint == id })
	return c.grant(now)
}

// Tick expires grants and returns new ones.
func (c *Coordinator) Tick(now time.Time) []Key {
	for k, at := range c.granted {
		if now.Sub(at) > c.cfg.GrantTTL {
			delete(c.granted, k)
		}
	}
	return c.grant(now)
}

func (c *Coordinator) remove(match func(pending) bool) {
	kept := c.waiting[:0]
	for _, p := range c.waiting {
		if !match(p) {
			kept = append(kept, p)
		}
	}
	c.waiting = kept
}

func (c *Coordinator) grant(now time.Time) []Key {
	var out []Key
	for len(c.waiting) > 0 && len(c.granted) < c.cfg.MaxConcurrent {
		k := c.waiting[0].req.Key
		c.waiting = c.waiting[1:]
		c.granted[k] = now
		out = append(out, k)
	}
	return out
}
