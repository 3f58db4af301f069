package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/internal/malformedtest"
)

// Guards against a malformed response that counts, also if it is one that is skipped before a
// sound one.
func TestMalformedResponseDoesNotCount(t *testing.T) {
	for _, head := range malformedHeads {
		for _, rest := range []string{"Content-Length: 1\r\n\r\nx", "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1\r\n\r\nx"} {
			for _, method := range []string{http.MethodPost, http.MethodHead} {
				checkDoesNotCount(t, method, head+"Id: r1\r\n"+rest)
			}
		}
	}
}

// checkDoesNotCount checks that a request fails, and that nothing of its response is observed.
func checkDoesNotCount(t *testing.T, method, text string) {
	t.Helper()
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, text) // the client may be gone
		_, _ = io.Copy(io.Discard, c)
	})
	c, err := NewPool(time.Second, net.KeepAliveConfig{}).Dial(t.Context(), address)
	assert.NilError(t, err)
	r := request("r1")
	r.Method = method
	observed := 0
	r.OnHead = func(int, http.Header, bool) { observed++ }
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = c.Send(ctx, r)
	assert.Check(t, errors.Is(err, ErrMalformed) && errors.Is(err, ErrIncomplete), "%s, %.60q: %v", method, text, err)
	assert.Check(t, observed == 0, "%s, %.60q: observed", method, text)
}

// malformedHeads are the beginnings of heads that net/http accepts.
var malformedHeads = []string{
	"HTTP/1.1 000 None\r\n",
	"HTTP/1.1 099 None\r\n",
	"HTTP/1.1 +99 None\r\n",
	"HTTP/1.1 101 Switching Protocols\r\n",
	"HTTP/1.1 600 None\r\n",
	"HTTP/1.1 999 None\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.0 200 OK\ntransfer-encoding:chunked\n",
	"HTTP/1.0 200 OK\r\nLong: " + strings.Repeat("x", readBufferBytes) + "\r\n",
	"HTTP/1.1 200 OK\r\nBad Name: v\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
	"HTTP/1.1 103 Early Hints\r\nBad Name: v\r\n",
}

// Guards against a request that is sent a second time, or gets a response, because the endpoint
// closed a connection that it had used before within the head of a response.
func TestCutHeads(t *testing.T) {
	malformedtest.CheckCutHeads(t, "whole", ErrIncomplete, func(address string) func() error {
		p := NewPool(time.Second, net.KeepAliveConfig{})
		return func() error {
			c, err := p.Get(t.Context(), "k", address, nil)
			if err != nil {
				return err
			}
			r := request("r1")
			r.ResponseID = func(http.Header) string { return "r1" }
			x, err := c.Send(t.Context(), r)
			if err != nil {
				return err
			}
			if _, err := io.ReadAll(x.Response.Body); err != nil {
				x.Abort()
				return err
			}
			if x.Finish() {
				p.Put("k", c)
			}
			return nil
		}
	})
}

// Guards against an HTTP/1.0 response without faults that is refused, however its head arrives.
func TestResponseOfHTTP10(t *testing.T) {
	for _, lineEnd := range []string{"\r\n", "\n"} {
		for _, pause := range []int{1, 9, 12, 30, 40} {
			text := strings.ReplaceAll("HTTP/1.0 200 OK\r\nId: r1\r\nGood: v\r\n\r\nwhole", "\r\n", lineEnd)
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, text[:min(pause, len(text))]) // the client may be gone
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(c, text[min(pause, len(text)):])
			})
			body, err := exchange(t.Context(), NewPool(time.Second, net.KeepAliveConfig{}), address, "r1")
			assert.Check(t, err == nil && body == "whole", "%q after %d: %q, %v", lineEnd, pause, body, err)
		}
	}
}
