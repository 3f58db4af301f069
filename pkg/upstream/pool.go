package upstream

import (
	"context"
	"net"
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
// an endpoint, or else a new connection to address. Errors are marked ErrNotSent.
func (p *Pool) Get(ctx context.Context, key, address string) (*Conn, error) {
	if c := p.take(key); c != nil {
		return c, nil
	}
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect to endpoint"), ErrNotSent)
	}
	return newConn(c), nil
}

// take removes and returns the most recently used connection that is still usable.
// It closes the unusable ones and returns nil if none is left.
func (p *Pool) take(key string) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Since(c.idleSince) < c.idleLimit && c.reusable() {
			return c
		}
		c.Close()
	}
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
