package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// leavingServer is a server that says in its responses that it leaves, and counts the
// requests that arrive.
type leavingServer struct {
	// status is the status of its responses. The others than 200 say that nothing ran.
	status int
	// other makes it send a response to another request first, which alone says that the
	// server leaves.
	other    bool
	arrivals atomic.Int32
}

func (s *leavingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrivals.Add(1)
	if s.other {
		s.answerTwice(w, r.Header.Get("Id"))
		return
	}
	markFromPlatform(w, r)
	w.Header().Set("Leaving", "1")
	if s.status != http.StatusOK {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(s.status)
		return
	}
	fmt.Fprint(w, "id: 1\ndata: x\n\n")
}

// answerTwice sends a response to another request before the one to a request.
func (s *leavingServer) answerTwice(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nStamp: x\r\nId: other\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok")
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nStamp: x\r\nId: %s\r\nContent-Length: 14\r\n\r\nid: 1\ndata: x\n\n", id)
}

// Guards against requests to a server that has said in a response that it leaves, whatever the
// response is, and whatever the store says of the server afterwards.
func TestServerThatLeavesGetsNoRequests(t *testing.T) {
	servers := map[string]func() *leavingServer{
		"200":     func() *leavingServer { return &leavingServer{status: http.StatusOK} },
		"421":     func() *leavingServer { return &leavingServer{status: http.StatusMisdirectedRequest} },
		"429":     func() *leavingServer { return &leavingServer{status: http.StatusTooManyRequests} },
		"503":     func() *leavingServer { return &leavingServer{status: http.StatusServiceUnavailable} },
		"skipped": func() *leavingServer { return &leavingServer{other: true} },
	}
	for name, newServer := range servers {
		for path, service := range map[string]string{"/p/x": plainService, "/s/x": modelService} {
			t.Run(name+" "+service, func(t *testing.T) {
				t.Parallel()
				w := newTestGateway(t, plainRoute, streamRoute)
				server := newServer()
				e := w.serve(service, server.ServeHTTP)
				setResident(e, adapterKey, 1)
				for server.arrivals.Load() == 0 {
					w.do(http.MethodGet, path, forAdapter)
				}
				arrived := server.arrivals.Load()
				call := func(moment string) {
					t.Helper()
					resp := w.do(http.MethodGet, path, forAdapter)
					assert.Equal(t, resp.status, http.StatusServiceUnavailable, moment)
					assert.Equal(t, server.arrivals.Load(), arrived, moment)
				}
				call("after the response")
				item := *e
				item.Slots++ // an item of the store that still calls the server ready
				w.directory.SetEndpoint(time.Now(), item)
				w.publish()
				call("after an older item")
				w.directory.RemoveEndpoint(time.Now(), e.ID)
				w.directory.SetEndpoint(time.Now().Add(10*time.Minute), item)
				w.publish()
				setResident(w.find(service, e.ID), adapterKey, 1)
				call("after the item was missing")
				item.Born++
				w.directory.SetEndpoint(time.Now(), item)
				w.publish()
				setResident(w.find(service, e.ID), adapterKey, 1)
				w.do(http.MethodGet, path, forAdapter)
				assert.Assert(t, server.arrivals.Load() > arrived, "another lifetime of the server takes requests")
			})
		}
	}
}

// Guards against a request that was placed at a server before it said that it leaves and
// reaches it afterwards, because it waited for a permit.
func TestRequestThatWaitsHeedsALeavingServer(t *testing.T) {
	assert.Equal(t, arrivalsAfterWait(t, func(e *fleet.Endpoint) { e.Runtime.RecordLeaving() }), int32(0))
}

// Guards against a stream that is resumed at a server that leaves, or one that breaks off at
// such a server because it leaves.
func TestStreamsAndLeavingServers(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	leaving := &leavingServer{status: http.StatusOK}
	first := w.serve(modelService, leaving.ServeHTTP)
	setResident(first, adapterKey, 1)
	resp := w.do(http.MethodGet, "/s/x", forAdapter)
	assert.Equal(t, resp.body, "id: 1\ndata: x\n\n", "the stream that says so is complete")
	second := w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		fmt.Fprint(rw, "id: 1\ndata: x\n\nid: 2\n")
		rw.(http.Flusher).Flush()
		abortResponse()
	})
	setResident(second, adapterKey, 1)
	resp = w.do(http.MethodGet, "/s/x", forAdapter)
	assert.Assert(t, resp.err != nil, "no other server is left for the rest of the stream")
	assert.Equal(t, leaving.arrivals.Load(), int32(1))
}
