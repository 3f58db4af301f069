package connlimit

import (
	"container/list"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// phase is what a connection is used for. Those of the first evictablePhases may be closed for a
// new connection, in this order.
type phase int

const (
	// discarding: the rest of the body of a refused request is read and dropped.
	discarding phase = iota
	// head: no whole head has arrived since the connection opened or the head began.
	head
	// idle: the last response has been written.
	idle
	// body: the body of a request arrives.
	body
	// evictablePhases is the number of the phases before.
	evictablePhases
	// serving: a request is handled.
	serving = evictablePhases
	closed  = evictablePhases + 1
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Conn is a connection of a Listener. The methods for handlers do nothing on a nil Conn.
type Conn struct {
	net.Conn
	listener *Listener

	// phase, element and evicted are guarded by the mutex of the listener. element is the place
	// of the connection in the list of its phase, or nil.
	phase   phase
	element *list.Element
	evicted bool

	// headBytes is the number of bytes read since the head of a request began. It belongs to
	// the goroutine that reads.
	headBytes int

	mu sync.Mutex
	// interrupted makes all reads fail.
	interrupted bool
	// readDeadline is the deadline that the server has set, and headDeadline that of the head
	// that arrives, or zero.
	readDeadline, headDeadline time.Time
}

// Read reads from the connection within its limits.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(n) {
		return 0, os.ErrDeadlineExceeded // net/http closes the connection without a response of its own
	}
	return n, err //nolint:wrapcheck // net/http tells the errors apart
}

// received applies the limits of the phase to bytes that were read. It returns false if the
// connection has to end.
func (c *Conn) received(n int) bool {
	switch c.touch() {
	case idle:
		c.setPhase(head)
		c.beginHead(n)
		return true
	case head:
		c.headBytes += n
		return c.headBytes <= c.listener.limits.head().Bytes+headSlackBytes || c.rejectHead()
	case body:
		c.extendBody()
		return true
	default:
		return true
	}
}

// touch returns the phase. A connection that sends a body becomes the last to be evicted.
func (c *Conn) touch() phase {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.phase == body && c.element != nil {
		c.listener.waiting[body].MoveToBack(c.element)
	}
	return c.phase
}

func (c *Conn) beginHead(n int) {
	c.headBytes = n
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headDeadline = time.Now().Add(c.listener.limits.head().Time)
	c.applyReadDeadline()
}

const longHeadResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// rejectHead answers a head that is too long. It returns false.
func (c *Conn) rejectHead() bool {
	longHeads.Inc(1)
	_, _ = io.WriteString(c, longHeadResponse) // the client may not read it
	_ = c.CloseWrite()
	return false
}

func (c *Conn) extendBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = time.Now().Add(bodyTimeout)
	c.applyReadDeadline()
}

func (c *Conn) setPhase(p phase) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.enter(c, p)
}

// beginRequest begins the phase of a request whose head has arrived. If that happened just before the
// connection was to make room as an idle one, it stays open.
func (c *Conn) beginRequest() {
	l := c.listener
	l.mu.Lock()
	if c.evicted && c.phase == idle {
		c.evicted = false
		l.evicted--
	}
	l.enter(c, serving)
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted, c.headDeadline = false, time.Time{}
	c.applyReadDeadline()
}

// applyReadDeadline sets the earliest deadline. The caller holds mu.
func (c *Conn) applyReadDeadline() {
	deadline := c.readDeadline
	if !c.headDeadline.IsZero() && (deadline.IsZero() || c.headDeadline.Before(deadline)) {
		deadline = c.headDeadline
	}
	if c.interrupted {
		deadline = past
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a closed connection
}

// SetReadDeadline sets the deadline of reads. That of the head of a request may be earlier.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	c.applyReadDeadline()
	return nil
}

// Write writes to the connection. It fails if the client reads nothing for too long.
func (c *Conn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	return c.Conn.Write(p)                                    //nolint:wrapcheck // net/http tells the errors apart
}

// SetWriteDeadline does nothing: each write has its own deadline.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close() //nolint:wrapcheck // nothing can be done about it
}

// CloseWrite ends the sending side of the connection, if it has sides.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets how the connection ends, see net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(lingerer); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// BeginBody begins the phase in which a body is read. From now on, the client must send something
// in each bodyTimeout, and the connection may be closed for another one.
func (c *Conn) BeginBody() {
	if c == nil {
		return
	}
	c.setPhase(body)
	c.extendBody()
}

// EndBody ends the phase in which a body is read. It reports whether reads were not interrupted.
func (c *Conn) EndBody() bool {
	if c == nil {
		return true
	}
	c.setPhase(serving)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = time.Time{}
	c.applyReadDeadline()
	return !c.interrupted
}

// Interrupt makes the reads of the connection fail with a timeout. It may be called by any
// goroutine.
func (c *Conn) Interrupt() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.applyReadDeadline()
}

// Evicted reports whether the connection has to make room for another one.
func (c *Conn) Evicted() bool {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.evicted
}
