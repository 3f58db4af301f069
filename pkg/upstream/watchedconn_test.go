package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// largeBodyBytes is the size of a request that does not fit into the buffers of a connection.
const largeBodyBytes = 12 << 20

// earlyServer starts a server that sends a response while it leaves the request unread, and then
// calls end.
func earlyServer(t *testing.T, text string, end func(*net.TCPConn)) string {
	t.Helper()
	return startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)    // the client may be gone
		time.Sleep(50 * time.Millisecond) // the client reads the part and writes on
		end(c.(*net.TCPConn))
	})
}

func largeRequest() *Request {
	r := request("r1")
	r.Body = bytes.Repeat([]byte("x"), largeBodyBytes)
	return r
}

// sendLarge sends a large request and reads the response.
func sendLarge(t *testing.T, address string) (body string, err error) {
	t.Helper()
	c, err := NewPool(time.Second, net.KeepAliveConfig{}).Dial(t.Context(), address)
	assert.NilError(t, err)
	x, err := c.Send(t.Context(), largeRequest())
	if err != nil {
		return "", err
	}
	defer x.Abort()
	text, err := io.ReadAll(x.Response.Body)
	return string(text), err
}

// endRuns is how often each end of a connection is tried, because it depends on the kernel and the
// scheduler which goroutine learns of it.
const endRuns = 12

// Guards against a part of a response that looks whole: the write of the request got the report of
// the reset, and the read of the response an ordinary end.
func TestResetDuringAnUploadIsNoEndOfAResponse(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nId: r1\r\n\r\npart"
	ends := map[string]func(*net.TCPConn){
		"reset":             func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"close with unread": func(*net.TCPConn) {},
	}
	for name, end := range ends {
		for range endRuns {
			body, err := sendLarge(t, earlyServer(t, part, end))
			assert.Check(t, err != nil, "%s: %q", name, body)
		}
	}
}

// Guards against the loss of a whole early response without a length, whose server closes its side
// regularly and then reads on, or resets the connection later.
func TestRegularEndDuringAnUploadEndsAResponse(t *testing.T) {
	const whole = "HTTP/1.1 413 Too Large\r\nId: r1\r\n\r\nwhole"
	ends := map[string]func(*net.TCPConn){
		"reads on":     func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
		"resets later": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(100 * time.Millisecond) },
	}
	for name, end := range ends {
		for range endRuns {
			body, err := sendLarge(t, earlyServer(t, whole, end))
			assert.Check(t, err == nil && body == "whole", "%s: %q, %v", name, body, err)
		}
	}
}

// stoppedConn is a connection whose reads end regularly and whose write returns when the test
// says so.
type stoppedConn struct {
	net.Conn
	writing chan struct{}
	result  chan error
}

func (c *stoppedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *stoppedConn) Write(p []byte) (int, error) {
	close(c.writing)
	return len(p), <-c.result
}

// Guards against a read that takes an end for a regular one because the write that got the report
// of the reset has not returned yet.
func TestEndOfInputWaitsForTheWrite(t *testing.T) {
	for _, row := range []struct {
		result error
		end    error
	}{
		{syscall.ECONNRESET, errReset},
		{syscall.ETIMEDOUT, errReset},
		{syscall.EPIPE, io.EOF},
		{nil, io.EOF},
	} {
		s := &stoppedConn{writing: make(chan struct{}), result: make(chan error)}
		c := watch(s)
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = c.Write([]byte("x")) // its result is checked through the read
		}()
		<-s.writing
		time.AfterFunc(10*time.Millisecond, func() { s.result <- row.result })
		_, err := c.Read(nil)
		assert.Check(t, errors.Is(err, row.end), "%v: %v", row.result, err)
		<-written
	}
}

// Guards against an end that waits for as long as a server holds the write of a request.
func TestEndOfInputDoesNotWaitForAHeldWrite(t *testing.T) {
	s := &stoppedConn{writing: make(chan struct{}), result: make(chan error)}
	c := watch(s)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write([]byte("x")) // its result does not count
	}()
	<-s.writing
	_, err := c.Read(nil)
	assert.Check(t, errors.Is(err, errWriteHeld), "%v", err)
	s.result <- nil
	<-written
}
