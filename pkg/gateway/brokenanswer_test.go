package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// brokenAnswer is an answer that is none, although net/http may read it as one.
type brokenAnswer struct {
	name, text string
	// early is true if it is sent, and the connection reset, while the request is being written.
	early bool
}

const answerHead = "Stamp: x\r\nId: r1\r\nContent-Type: text/event-stream\r\n"

// soundAnswer follows a broken answer on its connection. It does not count either.
const soundAnswer = "HTTP/1.1 200 OK\r\n" + answerHead + "Content-Length: 19\r\n\r\nid: 2\ndata: broken\n\n"

// brokenAnswers are the answers that must not count for anything.
var brokenAnswers = []brokenAnswer{
	{name: "reset", text: "HTTP/1.1 200 OK\r\n" + answerHead + "\r\nid: 2\ndata: broken\n\n", early: true},
	{name: "status 000", text: "HTTP/1.1 000 None\r\n" + answerHead + "Content-Length: 0\r\n\r\n" + soundAnswer},
	{name: "status 099", text: "HTTP/1.1 099 None\r\n" + answerHead + "Content-Length: 0\r\n\r\n" + soundAnswer},
	{name: "name with a blank", text: "HTTP/1.1 200 OK\r\nBad Name: v\r\n" + soundAnswer[17:]},
	{name: "refusal with a blank in a name", text: "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: 60\r\nBad Name: v\r\n" + answerHead + "Content-Length: 0\r\n\r\n"},
	{name: "length with a blank", text: "HTTP/1.1 200 OK\r\n" + answerHead + "Content-Length : 4\r\n\r\nid: 2\ndata: broken\n\n"},
	{name: "informational response with a blank in a name", text: "HTTP/1.1 103 Early Hints\r\nBad Name: v\r\n\r\n" + soundAnswer},
	{name: "status 101", text: "HTTP/1.1 101 Switching Protocols\r\n" + answerHead + "\r\n" + soundAnswer},
}

// largeUpload does not fit into the buffers of a connection.
var largeUpload = strings.Repeat("x", 12<<20)

func (a *brokenAnswer) upload() string {
	if a.early {
		return largeUpload
	}
	return ""
}

// send gives the answer to a request.
func (a *brokenAnswer) send(c net.Conn, r *http.Request) {
	if !a.early {
		_, _ = io.Copy(io.Discard, r.Body) // the entry may be gone
	}
	_, _ = io.WriteString(c, a.text) // the entry may be gone
	if a.early {
		time.Sleep(50 * time.Millisecond) // the entry reads the part and writes on
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// serveRequests starts an endpoint that passes the first request of each connection to a function
// and adds it to the directory.
func (w *testGateway) serveRequests(service string, serve func(c net.Conn, r *http.Request)) {
	w.t.Helper()
	w.addAt(service, serveConns(w.t, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			serve(c, r)
		}
	}))
	if service == modelService {
		setResident(w.find(service, fleet.ID(fmt.Sprintf("s%d", w.servers))), adapterKey, 1)
	}
}

// Guards against a broken answer that ends a request although another server would answer it, or
// that is joined with the answer of that server.
func TestRequestIsRepeatedAfterABrokenAnswer(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	whole := "HTTP/1.1 200 OK\r\n" + answerHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)) + events
	for _, a := range brokenAnswers {
		for _, path := range []string{"/p/x", "/s/x"} {
			w := newTestGateway(t, plainRoute, streamRoute)
			tries := make(chan struct{}, 2)
			for _, service := range []string{plainService, plainService, modelService, modelService} {
				w.serveRequests(service, func(c net.Conn, r *http.Request) {
					tries <- struct{}{}
					if len(tries) == 1 {
						a.send(c, r)
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, whole) // the caller sees a broken connection
				})
			}
			got := w.doWithBody(http.MethodPost, path, forAdapter, a.upload())
			assert.Check(t, len(tries) == 2, "%s %s: %d tries", a.name, path, len(tries))
			if a.early && path == "/s/x" {
				// The caller has got the event of the part. The second server continues after it.
				assert.Check(t, got.err != nil || !strings.Contains(got.body, "id: 1"), "%s: %q", a.name, got.body)
				continue
			}
			assert.Check(t, got.err == nil && got.status == http.StatusOK && got.body == events, "%s %s: %d %q %v", a.name, path, got.status, got.body, got.err)
		}
	}
}

// Guards against a broken answer of the server that should continue a stream: the caller would
// take the part that it has for the whole.
func TestResumedStreamWithABrokenAnswer(t *testing.T) {
	for _, a := range brokenAnswers {
		w := newTestGateway(t, streamRoute)
		tries := make(chan struct{}, 2)
		for range 2 {
			w.serveRequests(modelService, func(c net.Conn, r *http.Request) {
				tries <- struct{}{}
				if r.Header.Get("Last-Event-Id") != "" {
					a.send(c, r)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+answerHead+"\r\nid: 1\ndata: a\n\nid: 2\nda")
			})
		}
		got := w.doWithBody(http.MethodPost, "/s/x", forAdapter, a.upload())
		assert.Check(t, len(tries) == 2, "%s: %d tries", a.name, len(tries))
		assert.Check(t, got.err != nil, "%s: %d %q", a.name, got.status, got.body)
	}
}
