package connlimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Counters of all listeners of the process.
var (
	evictions  = metrics.GetOrRegisterCounter("connections.evicted", nil)
	rejections = metrics.GetOrRegisterCounter("connections.rejected", nil)
	longHeads  = metrics.GetOrRegisterCounter("connections.long_heads", nil)
)

// Listener accepts connections within limits. Its Track and WithConn are hooks of the HTTP server
// that uses it.
type Listener struct {
	net.Listener
	limits Limits

	mu sync.Mutex
	// open is the number of open connections, and evicted the number of those that are about
	// to be closed.
	open, evicted int
	// waiting has a list for each phase of connections that may be closed. The one that
	// entered the phase first, or sent nothing for the longest time, is at its front.
	waiting [evictablePhases]list.List
}

// Listen returns a listener on a TCP address. It fails if the address cannot be used.
func Listen(address string, limits Limits) (*Listener, error) {
	config := net.ListenConfig{Control: limitBuffers}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller says what it listens for
	}
	return New(inner, limits), nil
}

// New returns a listener that accepts the connections of another one within limits.
func New(inner net.Listener, limits Limits) *Listener {
	return &Listener{Listener: inner, limits: limits}
}

// limitBuffers sets the sizes of the buffers of a socket and of those that it accepts. Without it,
// they grow with the speed of the clients, to megabytes each.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A platform that refuses the options has its own bounds.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
	})
}

// Accept waits for the next connection. If there are too many, another one makes room for it, or
// it is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // the HTTP server tells the errors apart
		}
		c := &Conn{Conn: inner, listener: l}
		if l.admit(c) {
			c.beginHead(0)
			return c, nil
		}
		rejections.Inc(1)
		inner.Close()
	}
}

// admit counts a new connection and reports whether there is room for it.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	unused, ok := l.makeRoom()
	ok = ok && l.open < l.limits.MaxConns+l.slack() // else evicted connections are not closed fast enough
	if ok {
		l.open++
		l.enter(c, head)
	}
	l.mu.Unlock()
	if unused != nil {
		unused.Conn.Close()
	}
	return ok
}

// slack is the number of evicted connections that may wait to be closed.
func (l *Listener) slack() int { return l.limits.MaxConns/8 + 1 }

// makeRoom reports whether there is room for a new connection. Beyond the limit, it evicts the one
// that is furthest from a response. If no request can be on that one, it is returned, and the caller
// closes it without holding mu, which it holds now.
func (l *Listener) makeRoom() (unused *Conn, ok bool) {
	if l.open-l.evicted < l.limits.MaxConns {
		return nil, true
	}
	for p := range l.waiting {
		if front := l.waiting[p].Front(); front != nil {
			c, _ := front.Value.(*Conn)
			return l.evict(c), true
		}
	}
	return nil, false
}

// evict ends the reads of a connection, or returns it if no request can be on it. The caller holds
// mu.
func (l *Listener) evict(c *Conn) (unused *Conn) {
	evictions.Inc(1)
	l.leave(c)
	c.evicted = true
	if c.phase == discarding || c.phase == head {
		c.phase = closed
		l.open--
		return c
	}
	l.evicted++
	c.Interrupt()
	return nil
}

// enter puts a connection into a phase. The caller holds mu.
func (l *Listener) enter(c *Conn, p phase) {
	if c.evicted || c.phase == closed {
		return
	}
	l.leave(c)
	c.phase = p
	if int(p) < len(l.waiting) {
		c.element = l.waiting[p].PushBack(c)
	}
}

// leave takes a connection out of the list of its phase. The caller holds mu.
func (l *Listener) leave(c *Conn) {
	if c.element != nil {
		l.waiting[c.phase].Remove(c.element)
		c.element = nil
	}
}

// mayDiscard reports whether one more connection may read and drop a body. The caller holds mu.
func (l *Listener) mayDiscard() bool {
	return l.waiting[discarding].Len() < max(int(discardShare*float64(l.limits.MaxConns)), 1)
}

// forget takes a closed connection out of the counts.
func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == closed {
		return
	}
	l.leave(c)
	c.phase = closed
	l.open--
	if c.evicted {
		l.evicted--
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Track is the ConnState hook of the HTTP server.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.setPhase(idle)
	case http.StateClosed, http.StateHijacked:
		l.forget(c)
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// WithConn is the ConnContext hook of the HTTP server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// SetLinger sets how the connection of a request ends, see net.TCPConn. It does nothing for a
// connection that has no such setting.
func SetLinger(ctx context.Context, seconds int) {
	if c, ok := ctx.Value(connKey{}).(lingerer); ok {
		_ = c.SetLinger(seconds) // fails only on a connection that is already closed
	}
}

// lingerer is a connection whose kind of end can be set, as that of net.TCPConn.
type lingerer interface {
	SetLinger(seconds int) error
}

// Of returns the connection of a request, or nil if no Listener has accepted it.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Serve serves requests of a server for other uses than those of callers, as readiness checks and
// metrics, until the server is closed.
func Serve(srv *http.Server, address string) (net.Addr, error) {
	l, err := Listen(address, Limits{MaxConns: minConns, Head: internalHead})
	if err != nil {
		return nil, err
	}
	srv.ConnState = l.Track
	srv.ConnContext = WithConn
	srv.ReadHeaderTimeout = internalHeadTime
	srv.ReadTimeout = internalHeadTime
	go func() { _ = srv.Serve(l) }() // returns after Close
	return l.Addr(), nil
}

const (
	internalHeadBytes = 16 << 10
	internalHeadTime  = 5 * time.Second
)

func internalHead() HeadLimits { return HeadLimits{Bytes: internalHeadBytes, Time: internalHeadTime} }
