package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// repeatingServer is a server that refuses the first request of a connection, runs all others,
// and writes the refusal once more at the point where the next response is expected.
type repeatingServer struct {
	status int
	// named is true if the repeated refusal names its request.
	named bool
	// refused is called after each refusal that is written.
	refused func()

	mu   sync.Mutex
	runs map[string]int
}

func (s *repeatingServer) listen(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return lis.Addr().String()
}

func (s *repeatingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	refused := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Id")
		if refused == "" && s.refuses(id) {
			refused = id
			s.refuse(c, id)
			s.refused()
			continue
		}
		s.run(id)
		if refused != "" {
			if !s.named {
				refused = ""
			}
			s.refuse(c, refused)
			s.refused()
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nStamp: x\r\nId: %s\r\nContent-Length: 16\r\n\r\nid: 1\ndata: x\n\n\n", id)
	}
}

// refuses reports whether a request is refused: each one at most once.
func (s *repeatingServer) refuses(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.runs[id]
	s.runs[id] += 0
	return !known
}

func (s *repeatingServer) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

func (s *repeatingServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *repeatingServer) refuse(w io.Writer, id string) {
	name := ""
	if id != "" {
		name = "Id: " + id + "\r\n"
	}
	fmt.Fprintf(w, "HTTP/1.1 %d Refused\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n", s.status, name)
}

// addRaw adds a server at an address to the directory.
func (w *testGateway) addRaw(service, address string) *fleet.Endpoint {
	w.t.Helper()
	w.addAt(service, address)
	return w.find(service, fleet.ID(fmt.Sprintf("s%d", w.servers)))
}

// Guards against a caller that is told "not run" for a request that its server has run, because
// the server repeats, without an id, the refusal of an earlier request on a kept connection.
func TestRepeatedRefusalIsNotThatOfTheNextRequest(t *testing.T) {
	for _, named := range []bool{false, true} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
			t.Run(fmt.Sprintf("%d named %t", status, named), func(t *testing.T) {
				w := newTestGateway(t, unsafeRoute)
				s := &repeatingServer{status: status, named: named, refused: func() {}, runs: map[string]int{}}
				w.addRaw(plainService, s.listen(t))
				s.runs["r2"] = 0 // refuse only the first request
				first := w.do(http.MethodPost, "/u/x", map[string]string{"Id": "r1", "Budget-Ms": "1000"})
				assert.Equal(t, first.status, http.StatusServiceUnavailable)
				assert.Equal(t, s.ran("r1"), 0)
				second := w.do(http.MethodPost, "/u/x", map[string]string{"Id": "r2", "Budget-Ms": "1000"})
				assert.NilError(t, second.err)
				assert.Equal(t, s.ran("r2"), 1)
				want := http.StatusOK
				if !named {
					want = http.StatusBadGateway // nothing tells it from the one to the second request
				}
				assert.Equal(t, second.status, want, second.body)
			})
		}
	}
}

// Guards against a second run of a request that may run only once: it is refused, sent again
// when the adapter is loaded, and the refusal is repeated while it runs.
func TestRepeatedRefusalIsNotThatOfTheSecondSending(t *testing.T) {
	w := newTestGateway(t, onceRoute)
	s := &repeatingServer{status: http.StatusMisdirectedRequest, named: true, runs: map[string]int{}}
	var e *fleet.Endpoint
	s.refused = func() { time.AfterFunc(10*time.Millisecond, func() { setResident(e, adapterKey, 1) }) }
	e = w.addRaw(modelService, s.listen(t))
	setResident(e, adapterKey, 1)
	resp := w.do(http.MethodPost, "/o/x", map[string]string{"Id": "r1", "Model": "m/a1", "Budget-Ms": "1000"})
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.status, http.StatusOK, resp.body)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.ran("r1"), 1)
}
