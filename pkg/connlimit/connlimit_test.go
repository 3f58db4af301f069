package connlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/pkg/membudget"
)

// server is an HTTP server with limits.
type server struct {
	t *testing.T
	*Listener
}

func newServer(t *testing.T, limits Limits, handler http.HandlerFunc) *server {
	t.Helper()
	l, err := Listen("127.0.0.1:0", limits)
	assert.NilError(t, err)
	srv := &http.Server{Handler: handler, ConnState: l.Track, ConnContext: WithConn}
	go func() { _ = srv.Serve(l) }() // returns after Close
	t.Cleanup(func() { srv.Close() })
	return &server{t, l}
}

func (s *server) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	assert.NilError(s.t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	return c
}

// status sends text on a connection and returns the status of the response.
func status(t *testing.T, c net.Conn, text string) int {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func answer(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }

// awaitOpen waits until the server has this many open connections.
func (s *server) awaitOpen(n int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if open := s.Open(); open != n {
			return poll.Continue("%d connections are open", open)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// Guards against connections that send nothing and leave no room for others, and against a
// connection that is closed although it carries a request.
func TestNewConnectionsReplaceSilentOnes(t *testing.T) {
	release := make(chan struct{})
	const most = 16
	s := newServer(t, Limits{MaxConns: most}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		answer(w, r)
	})
	running := s.dial()
	_, err := io.WriteString(running, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	s.awaitOpen(1)
	for range 5 {
		for range most {
			s.dial()
		}
		assert.Equal(t, status(t, s.dial(), get), http.StatusOK)
		assert.Assert(t, s.Open() <= most+s.slack(), "%d connections are open", s.Open())
	}
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(running), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against more connections than the limit while all of them carry requests.
func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	s := newServer(t, Limits{MaxConns: 2}, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	})
	defer close(release)
	for range 2 {
		_, err := io.WriteString(s.dial(), get)
		assert.NilError(t, err)
		<-started
	}
	_, err := s.dial().Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// Guards against heads that are longer than the limit in force or never end, on new connections
// and on kept ones, and against a head within the limits that is rejected.
func TestHeadsAreLimited(t *testing.T) {
	limits := HeadLimits{Bytes: 20 << 10, Time: 300 * time.Millisecond}
	s := newServer(t, Limits{MaxConns: 10, Head: func() HeadLimits { return limits }}, answer)
	headOf := func(n int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", n) + "\r\n\r\n"
	}
	kept := s.dial()
	assert.Equal(t, status(t, kept, headOf(19<<10)), http.StatusOK)
	assert.Equal(t, status(t, kept, headOf(19<<10)), http.StatusOK)
	assert.Equal(t, status(t, kept, headOf(25<<10)), http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, status(t, s.dial(), headOf(25<<10)), http.StatusRequestHeaderFieldsTooLarge)

	used := s.dial()
	assert.Equal(t, status(t, used, get), http.StatusOK)
	time.Sleep(2 * limits.Time) // an idle connection has no head that could be late
	assert.Equal(t, status(t, used, get), http.StatusOK)
	for name, c := range map[string]net.Conn{"new": nil, "kept": used} {
		if c == nil {
			c = s.dial()
		}
		_, err := io.WriteString(c, "GET / HT")
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, c)
		assert.NilError(t, err, name) // the connection has ended before the deadline of reads
	}
}

// Guards against a deadline of a head that cuts off the body or the response after it.
func TestHeadTimeDoesNotBoundTheRequest(t *testing.T) {
	limits := HeadLimits{Bytes: 1 << 10, Time: 200 * time.Millisecond}
	s := newServer(t, Limits{MaxConns: 10, Head: func() HeadLimits { return limits }}, func(w http.ResponseWriter, r *http.Request) {
		Of(r.Context()).BeginBody()
		body, err := io.ReadAll(r.Body)
		Of(r.Context()).EndBody()
		assert.Check(t, err)
		time.Sleep(2 * limits.Time)
		assert.Check(t, r.Context().Err())
		fmt.Fprint(w, len(body))
	})
	c := s.dial()
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	assert.NilError(t, err)
	time.Sleep(2 * limits.Time)
	assert.Equal(t, status(t, c, "b"), http.StatusOK)
}

// Guards against a body that keeps its connection although it gets no further, while others
// need room.
func TestStalledBodiesMakeRoom(t *testing.T) {
	var evicted atomic.Bool
	s := newServer(t, Limits{MaxConns: 2}, func(w http.ResponseWriter, r *http.Request) {
		c := Of(r.Context())
		c.BeginBody()
		_, err := io.ReadAll(r.Body)
		whole := c.EndBody()
		if err == nil && whole {
			answer(w, r)
			return
		}
		evicted.Store(evicted.Load() || c.Evicted())
		BeginRefusal(w, false)
		w.WriteHeader(http.StatusServiceUnavailable)
		EndRefusal(w, r)
	})
	for range 2 {
		_, err := io.WriteString(s.dial(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
		assert.NilError(t, err)
	}
	s.awaitOpen(2)
	assert.Equal(t, status(t, s.dial(), get), http.StatusOK)
	assert.Assert(t, evicted.Load())
}

// Guards against a request that is lost because its connection had to make room as an idle one at the
// moment at which the request arrived.
func TestRequestOnAnEvictedIdleConnection(t *testing.T) {
	l := New(nil, Limits{MaxConns: 1})
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &Conn{Conn: near, listener: l}
	assert.Assert(t, l.admit(c))
	l.Track(c, http.StateActive)
	l.Track(c, http.StateIdle)
	assert.Assert(t, l.admit(&Conn{Conn: far, listener: l}), "the idle connection makes room")
	assert.Assert(t, c.Evicted())
	l.Track(c, http.StateActive)
	assert.Assert(t, !c.Evicted())
	go far.Write([]byte("x"))
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
}

// Guards against a request that goes on although its connection was evicted while the last bytes
// of its body arrived: net/http would cancel it later, when it has been sent.
func TestWholeBodyOnAnEvictedConnection(t *testing.T) {
	l := New(nil, Limits{MaxConns: 1})
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &Conn{Conn: near, listener: l}
	assert.Assert(t, l.admit(c))
	l.Track(c, http.StateActive)
	r, err := http.NewRequest(http.MethodPost, "/", readerFunc(func([]byte) (int, error) {
		c.Interrupt()
		return 0, io.EOF
	}))
	assert.NilError(t, err)
	buf := membudget.NewBuffer(membudget.New(1<<20), -1)
	err = ReadBody(t.Context(), r.WithContext(WithConn(t.Context(), c)), buf, 10)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against refusals that wait for the rest of a body, and against a connection that is
// closed although the small body of the refused request was there.
func TestRefusalsDoNotWaitForBodies(t *testing.T) {
	s := newServer(t, Limits{MaxConns: 10}, func(w http.ResponseWriter, _ *http.Request) {
		BeginRefusal(w, true)
		w.WriteHeader(http.StatusNotFound)
	})
	c := s.dial()
	for range 2 {
		assert.Equal(t, status(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"), http.StatusNotFound)
	}
	assert.Equal(t, status(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na"), http.StatusNotFound)
}

// Guards against limits that follow neither the memory nor the descriptors of the process.
func TestMaxConns(t *testing.T) {
	assert.Equal(t, MaxConns(0, 4100), 1560)
	assert.Equal(t, MaxConns(284, 4100), 1560)
	assert.Equal(t, MaxConns(144, 3075), 806)
	assert.Equal(t, MaxConns(0, 100), minConns)
	assert.Assert(t, MaxConns(0, 0) >= minConns)
}
