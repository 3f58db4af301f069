package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// startServer starts a server that handles each connection with fn, which gets the number
// of the connection, starting at 1. It returns the address.
func startServer(t *testing.T, fn func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				fn(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return lis.Addr().String()
}

func readRequest(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id")
}

func answer(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost,
		Target: "/a//b?x=%2F",
		Host:   "h.example",
		Header: http.Header{"Id": {id}},
		Body:   []byte("body"),
		ID:     id,

		ResponseID: func(h http.Header) string { return h.Get("Id") },
	}
}

// exchange sends one request over the pool and returns the response body.
func exchange(ctx context.Context, p *Pool, address, id string) (string, error) {
	c, err := p.Get(ctx, "k", address, nil)
	if err != nil {
		return "", err
	}
	x, err := c.Send(ctx, request(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(x.Response.Body)
	if err != nil {
		x.Abort()
		return "", err
	}
	if x.Finish() {
		p.Put("k", c)
	}
	return string(body), nil
}

// Guards against changing the path, query or header of a request before it is sent.
func TestRequestOnTheWire(t *testing.T) {
	got := make(chan string, 1)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		var lines []string
		for {
			line, err := r.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
			lines = append(lines, strings.TrimSpace(line))
		}
		got <- strings.Join(lines, "|")
		answer(c, "r1", "x")
	})
	p := NewPool(time.Second, net.KeepAliveConfig{})
	req := request("r1")
	req.Header["User-Agent"] = []string{""}
	c, err := p.Get(t.Context(), "k", address, nil)
	assert.NilError(t, err)
	_, err = c.Send(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, <-got, "POST /a//b?x=%2F HTTP/1.1|Host: h.example|Content-Length: 4|Id: r1")
}

// Guards against returning a late response to an earlier request.
func TestForeignResponseIsSkipped(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		answer(c, "other", "not yours")
		answer(c, id, "mine")
	})
	p := NewPool(time.Second, net.KeepAliveConfig{})
	body, err := exchange(t.Context(), p, address, "r1")
	assert.NilError(t, err)
	assert.Equal(t, body, "mine")
}

// Guards against reusing a connection on which unsolicited bytes have arrived.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	address := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			id := readRequest(r)
			if id == "" {
				return
			}
			answer(c, id, fmt.Sprint(n))
			if n == 1 {
				answer(c, "r2", "forged")
			}
		}
	})
	p := NewPool(time.Second, net.KeepAliveConfig{})
	body, err := exchange(t.Context(), p, address, "r1")
	assert.NilError(t, err)
	assert.Equal(t, body, "1")
	time.Sleep(50 * time.Millisecond)
	body, err = exchange(t.Context(), p, address, "r2")
	assert.NilError(t, err)
	assert.Equal(t, body, "2")
}

// Guards against sending a request again when its reused connection turns out to be
// dead: the server may have run the first one.
func TestDeadConnectionIsNotRetried(t *testing.T) {
	requests := make(chan string, 4)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		requests <- readRequest(r)
		answer(c, "r1", "x")
		requests <- readRequest(r)
	})
	p := NewPool(time.Second, net.KeepAliveConfig{})
	_, err := exchange(t.Context(), p, address, "r1")
	assert.NilError(t, err)
	_, err = exchange(t.Context(), p, address, "r2")
	assert.Assert(t, errors.Is(err, ErrIncomplete), "%v", err)
	assert.Equal(t, len(requests), 2)
}

// Guards against accepting a truncated body as complete.
func TestShortBodyIsAnError(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 10\r\n\r\nshort")
	})
	_, err := exchange(t.Context(), NewPool(time.Second, net.KeepAliveConfig{}), address, "r1")
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

// Guards against a deadlock with a server that responds to a long body before
// reading it, and against reusing that connection.
func TestEarlyAnswerToLongBody(t *testing.T) {
	done := make(chan struct{})
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
		}
		answer(c, "r1", "early")
		<-done
	})
	defer close(done)
	req := request("r1")
	req.Body = make([]byte, 8<<20)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c, err := NewPool(time.Second, net.KeepAliveConfig{}).Get(ctx, "k", address, nil)
	assert.NilError(t, err)
	x, err := c.Send(ctx, req)
	assert.NilError(t, err)
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "early")
	assert.Assert(t, !x.Finish())
}

// Guards against an endpoint that keeps working on a request after its client has
// disconnected.
func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	address := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := exchange(ctx, NewPool(time.Second, net.KeepAliveConfig{}), address, "r1")
	assert.Assert(t, err != nil)
	select {
	case <-gone:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against an orderly close of the connection of an abandoned request. Bytes
// still queued for sending would be delivered, and the server would start the
// request later.
func TestCancelResetsTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	address := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, err := r.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := exchange(ctx, NewPool(time.Second, net.KeepAliveConfig{}), address, "r1")
	assert.Assert(t, err != nil)
	err = <-ended
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against using a connection after the endpoint's idle timeout.
func TestKeepAliveLimit(t *testing.T) {
	assert.Equal(t, keepAliveLimit(http.Header{"Keep-Alive": {"timeout=5, max=10"}}), 4500*time.Millisecond)
	assert.Equal(t, keepAliveLimit(http.Header{}), defaultIdleLimit)
	assert.Equal(t, keepAliveLimit(http.Header{"Keep-Alive": {"timeout=x"}}), defaultIdleLimit)
}

// Guards against a response that names no request and is taken for that of the current one,
// although it may be a late one to an earlier request on the connection, and against a wait for
// another response: a server may name none when it refuses.
func TestUnnamedResponseOnAKeptConnectionIsNobodys(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		answer(c, readRequest(r), "first")
		readRequest(r)
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		readRequest(r)
	})
	p := NewPool(time.Second, net.KeepAliveConfig{})
	_, err := exchange(t.Context(), p, address, "r1")
	assert.NilError(t, err)
	_, err = exchange(t.Context(), p, address, "r2")
	assert.Assert(t, errors.Is(err, ErrIncomplete), "%v", err)
}

// Guards against requests that cannot be given their responses because the server names none and
// their connection has carried others.
func TestConnectionOfUnnamedResponsesIsNotReused(t *testing.T) {
	address := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != "" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		}
	})
	p := NewPool(time.Second, net.KeepAliveConfig{})
	for _, want := range []string{"1", "2", "3"} {
		body, err := exchange(t.Context(), p, address, "r"+want)
		assert.NilError(t, err)
		assert.Equal(t, body, want)
	}
}

// Guards against a head that is decoded into the state of a request before it is known that it
// is the head of its response.
func TestHeadOfASkippedResponseIsMarked(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		answer(c, "other", "x")
		answer(c, id, "x")
	})
	c, err := NewPool(time.Second, net.KeepAliveConfig{}).Get(t.Context(), "k", address, nil)
	assert.NilError(t, err)
	var own []bool
	req := request("r1")
	req.OnHead = func(_ int, _ http.Header, mine bool) { own = append(own, mine) }
	_, err = c.Send(t.Context(), req)
	assert.NilError(t, err)
	assert.DeepEqual(t, own, []bool{false, true})
}

// Guards against a second attempt of a request on a connection that has carried it before: a
// response that the endpoint repeats has the same id.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	address := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			answer(c, id, fmt.Sprint(n))
		}
	})
	p := NewPool(time.Second, net.KeepAliveConfig{})
	get := func(carried ...*Conn) *Conn {
		c, err := p.Get(t.Context(), "k", address, carried)
		assert.NilError(t, err)
		return c
	}
	first, second := get(), get()
	for _, c := range []*Conn{first, second} {
		x, err := c.Send(t.Context(), request("r1"))
		assert.NilError(t, err)
		_, err = io.ReadAll(x.Response.Body)
		assert.NilError(t, err)
		assert.Assert(t, x.Finish())
		p.Put("k", c)
	}
	assert.Equal(t, get(second), first)
	third := get(first, second)
	assert.Assert(t, third != first && third != second)
	assert.Equal(t, get(first), second)
}

// Guards against a target that is changed on its way, so that the endpoint runs another request
// than the caller sent: net/http turned "//host/path" into "http://host/path".
func TestTargetIsSentAsItCame(t *testing.T) {
	got := make(chan string, 1)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			got <- line
			for line != "\r\n" && err == nil {
				line, err = r.ReadString('\n')
			}
			if _, err := r.Discard(len("body")); err != nil {
				return
			}
			answer(c, "r1", "x")
		}
	})
	p := NewPool(time.Second, net.KeepAliveConfig{})
	send := func(target string) string {
		c, err := p.Get(t.Context(), "k", address, nil)
		assert.NilError(t, err)
		req := request("r1")
		req.Target = target
		x, err := c.Send(t.Context(), req)
		assert.NilError(t, err)
		_, err = io.ReadAll(x.Response.Body)
		assert.NilError(t, err)
		if x.Finish() {
			p.Put("k", c)
		}
		return <-got
	}
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{"/", "//", "host", ":80", "..", ".", "%2F", "%", "%zz", "?", "?x=1", "#", ";", "*", "http:", "a", "\u00e9", "\\", "\""}), 1, 8).Draw(t, "target")
		target := strings.Join(parts, "")
		assert.Equal(t, send(target), "POST "+target+" HTTP/1.1\r\n")
	})
}

// Guards against a request that an endpoint reads as two.
func TestTargetsThatEndTheLineAreNotSent(t *testing.T) {
	address := startServer(t, func(_ int, _ net.Conn, _ *bufio.Reader) {})
	for _, target := range []string{"", "/a b", "/a\r\nX: y", "/a\x00", "/a\n"} {
		c, err := NewPool(time.Second, net.KeepAliveConfig{}).Get(t.Context(), "k", address, nil)
		assert.NilError(t, err)
		req := request("r1")
		req.Target = target
		_, err = c.Send(t.Context(), req)
		assert.Assert(t, errors.Is(err, ErrNotSent), "%q: %v", target, err)
	}
}
