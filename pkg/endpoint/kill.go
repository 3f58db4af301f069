package endpoint

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errKilled is returned when a connection to the engine or service is opened after
// Kill.
var errKilled = errors.New("process is killed")

// Kill simulates a crash for tests and demos: it closes all connections at once, and
// Run returns without a drain.
func (e *Endpoint) Kill() { e.killOnce.Do(func() { close(e.killed) }) }

// backendConns dials the engine or service and tracks the open connections, so that
// Kill can close them.
type backendConns struct {
	dialer net.Dialer

	mu     sync.Mutex
	killed bool
	conns  map[*backendConn]bool
}

// backendConn is a connection that removes itself from its owner when closed.
type backendConn struct {
	net.Conn
	owner *backendConns
}

// Close implements net.Conn.
func (c *backendConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

func newBackendConns() *backendConns { return &backendConns{conns: map[*backendConn]bool{}} }

func (b *backendConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := b.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.killed {
		conn.Close()
		return nil, errKilled
	}
	c := &backendConn{Conn: conn, owner: b}
	b.conns[c] = true
	return c, nil
}

// kill closes all connections and makes dial fail.
func (b *backendConns) kill() {
	b.mu.Lock()
	b.killed = true
	open := make([]*backendConn, 0, len(b.conns))
	for c := range b.conns {
		open = append(open, c)
	}
	b.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}
