package upstream

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// writeResultWait is how long the end of the received bytes waits for the result of a write that
// is in progress.
const writeResultWait = time.Second

var (
	errReset     = errors.New("the connection was reset while the request was being written")
	errWriteHeld = errors.New("the connection ended while the request was being written, and its peer does not read on")
)

// watchedConn is a connection that tells a reset from a regular end although the kernel reports
// a reset only once: if a write gets that report, a read gets an ordinary io.EOF. A response that
// ends with its connection would then look complete. One goroutine may write and one read at a
// time.
type watchedConn struct {
	net.Conn
	mu sync.Mutex
	// writing is closed once the write in progress has returned. It is nil if there is none.
	writing chan struct{}
	// reset is true once a write has reported the loss of the connection.
	reset bool
}

func watch(c net.Conn) *watchedConn { return &watchedConn{Conn: c} }

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	done := make(chan struct{})
	c.mu.Lock()
	c.writing = done
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing = nil
	c.reset = c.reset || isReset(err)
	c.mu.Unlock()
	close(done)
	return n, err //nolint:wrapcheck // a transparent writer
}

// isReset reports whether the error of a write takes the place of one that a read would have got.
// EPIPE does not: the kernel returns it once the peer has closed its side regularly, or after a
// read has got the error.
func isReset(err error) bool { return err != nil && !errors.Is(err, syscall.EPIPE) }

// Read implements net.Conn. It returns io.EOF only if the peer has closed its side regularly.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endOfInput()
	}
	return n, err //nolint:wrapcheck // a transparent reader
}

// endOfInput returns io.EOF, or an error if a write has got the report of a reset. A write in
// progress may have got it and not have returned yet.
func (c *watchedConn) endOfInput() error {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil && !closedWithin(writing, writeResultWait) {
		return errWriteHeld
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reset {
		return errReset
	}
	return io.EOF
}

// closedWithin reports whether a channel is closed within the given time.
func closedWithin(done <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		return false
	}
}
