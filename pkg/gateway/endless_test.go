package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/standin/endless"
)

// Guards against a response that is cut at the size of the entry's buffer and passed on as
// complete: of 6 MiB, the caller got 4 MiB and no error.
func TestLargeResponsesAreRelayedWhole(t *testing.T) {
	for _, framing := range []string{"length", "chunked"} {
		for _, size := range []int{maxBufferedBytes - 1, maxBufferedBytes, maxBufferedBytes + 1, 6 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", framing, size), func(t *testing.T) {
				body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
				w := newTestGateway(t, plainRoute)
				w.serve(plainService, func(rw http.ResponseWriter, r *http.Request) {
					markFromPlatform(rw, r)
					if framing == "length" {
						rw.Header().Set("Content-Length", strconv.Itoa(size))
					}
					_, _ = rw.Write(body)
				})
				resp := w.do(http.MethodGet, "/p/x", nil)
				assert.NilError(t, resp.err)
				assert.Equal(t, resp.status, http.StatusOK)
				assert.Assert(t, resp.body == string(body), "%d of %d bytes", len(resp.body), size)
			})
		}
	}
}

// Guards against a large response that breaks off after a part of it has been relayed and
// then looks complete to the caller.
func TestLargeResponseThatBreaksOffLooksCut(t *testing.T) {
	for _, framing := range []string{"length", "chunked"} {
		t.Run(framing, func(t *testing.T) {
			w := newTestGateway(t, plainRoute)
			w.serve(plainService, func(rw http.ResponseWriter, r *http.Request) {
				markFromPlatform(rw, r)
				if framing == "length" {
					rw.Header().Set("Content-Length", strconv.Itoa(8<<20))
				}
				_, _ = rw.Write(make([]byte, 6<<20))
				abortResponse()
			})
			resp := w.do(http.MethodGet, "/p/x", nil)
			assert.Assert(t, resp.err != nil, "status %d with %d bytes", resp.status, len(resp.body))
		})
	}
}

// Guards against a server whose bytes never end and that takes the memory of the entry, keeps
// its connection, or leaves the caller without a response or with one that looks complete.
func TestBytesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r1\r\n"
	rows := []struct{ name, path, beginning, rest string }{
		{"status line", "/p/x", "", "H"},
		{"header line", "/p/x", head + "X: ", "a"},
		{"headers", "/p/x", head, "X: a\r\n"},
		{"informational responses", "/p/x", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body to the end of the connection", "/p/x", head + "\r\n", "a"},
		{"chunks", "/p/x", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		{"chunk size line", "/p/x", head + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		{"trailer", "/p/x", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n"},
		{"refusal", "/p/x", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: r1\r\n\r\n", "a"},
		{"response to another request", "/p/x", "HTTP/1.1 200 OK\r\nStamp: x\r\nId: other\r\n\r\n", "a"},
		{"headers of a stream", "/s/x", head, "X: a\r\n"},
		{"event of a stream", "/s/x", head + "Transfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\n", "4\r\ndata\r\n"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w := newTestGateway(t, plainRoute, streamRoute)
			server, err := endless.NewServer(row.beginning, row.rest)
			assert.NilError(t, err)
			defer server.Close()
			for _, service := range []string{plainService, modelService} {
				w.addAt(service, server.Address())
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			resp := w.drain(row.path)
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			assert.Check(t, resp.err != nil || resp.status >= 500, "status %d looks complete", resp.status)
			assert.Check(t, took < 3*time.Second, "the caller waited %v", took)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Check(t, allocated < 32<<20, "%d MiB allocated", allocated>>20)
			select {
			case <-server.Lost():
			case <-time.After(time.Second):
				t.Error("the server keeps its connection")
			}
		})
	}
}
