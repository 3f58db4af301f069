package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Pool keeps idle connections to the endpoints for reuse. It is safe for concurrent
// use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	// idle maps a key to its idle connections, the most recently used last.
	idle map[string][]*Conn
}

// NewPool returns an empty pool. dialTimeout limits the time to establish a
// connection.
func NewPool(dialTimeout time.Duration, keepAlive net.KeepAliveConfig) *Pool {
	return &Pool{dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}, idle: map[string][]*Conn{}}
}

// Get returns an idle connection stored under key, which identifies one lifetime of
// an endpoint, or else a new connection to address. It returns none of those that have carried
// the same request before: a response that the endpoint repeats would be taken for the one to the
// new attempt. Errors are marked ErrNotSent.
func (p *Pool) Get(ctx context.Context, key, address string, carried []*Conn) (*Conn, error) {
	if c := p.take(key, carried); c != nil {
		return c, nil
	}
	return p.Dial(ctx, address)
}

// Dial returns a new connection to address. Errors are marked ErrNotSent.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect to endpoint"), ErrNotSent)
	}
	return newConn(c), nil
}

// take removes and returns the most recently used connection that is still usable and not
// among those that have carried the request. It closes the unusable ones and returns nil if none
// is left.
func (p *Pool) take(key string, carried []*Conn) *Conn {
	for {
		c := p.pop(key, carried)
		if c == nil || time.Since(c.idleSince) < c.idleLimit && c.reusable() {
			return c
		}
		c.Close()
	}
}

// pop removes and returns the most recently used connection that is not among the given ones,
// or returns nil if there is none.
func (p *Pool) pop(key string, except []*Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(except, c) {
			p.idle[key] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Put returns a connection to the pool. Its last exchange must have finished
// cleanly.
func (p *Pool) Put(key string, c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// Sweep closes connections that have been idle too long, and all connections whose
// key keep rejects.
func (p *Pool) Sweep(keep func(key string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(key) && time.Since(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}
