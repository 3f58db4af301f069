package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
)

// callerConns tracks the idle connections of callers.
type callerConns struct {
	mu   sync.Mutex
	idle map[net.Conn]struct{}
}

func newCallerConns() *callerConns { return &callerConns{idle: map[net.Conn]struct{}{}} }

// track is the ConnState hook of the HTTP server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = struct{}{}
		return
	}
	delete(c.idle, conn)
}

// closeIdle makes the server close the idle connections by letting their pending
// reads time out. Closing a connection directly could lose a request: a connection
// still counts as idle when a request has just been read from it and is being passed
// to the handler.
func (c *callerConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle {
		// SetReadDeadline fails only on a connection that is already closed.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeWithReset makes the caller's connection end with a TCP reset, also if this process
// dies. Without it, the part of a response that ends with its connection would look complete
// whenever the connection is closed.
func closeWithReset(ctx context.Context) { connlimit.SetLinger(ctx, 0) }

// closeRegularly makes the caller's connection end regularly again.
func closeRegularly(ctx context.Context) { connlimit.SetLinger(ctx, -1) }
