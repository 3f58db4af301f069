package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/membudget"
)

const (
	// entryMemoryMB is the memory of the smallest entries.
	entryMemoryMB = 284
	// maxHeadBytes is the longest head of a response that is read.
	maxHeadBytes = 64 << 10
	// manyRequests is the number of requests at once in tests of their memory.
	manyRequests = 120
)

// stalledServer answers each request with a head and a part of a body, and then with nothing.
// It keeps no copy of the part for each connection.
type stalledServer struct {
	head string
	part []byte
}

func (s *stalledServer) respond(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	fmt.Fprintf(c, s.head, r.Header.Get("Id"))
	if _, err := c.Write(s.part); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c) // until the entry closes
}

// liveHeap returns the bytes in use after a collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against an entry that runs out of memory because callers send many large requests at
// once, against small requests that are refused with them, and against refusals that callers lose
// because their connections end while they still write.
func TestManyLargeRequestsShareABudget(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	release := make(chan struct{})
	w.serve(plainService, func(rw http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body) // a body that breaks off shows in its length
		if n > membudget.SmallBytes {
			<-release
		}
		markFromPlatform(rw, r)
		fmt.Fprint(rw, n)
	})
	body := strings.Repeat("x", 4<<20)
	before := liveHeap()
	var statuses [600]atomic.Int32
	var failed atomic.Int32
	var wg sync.WaitGroup
	for range manyRequests {
		wg.Go(func() {
			resp := w.doWithBody(http.MethodPost, "/p/x", map[string]string{"Budget-Ms": "8000"}, body)
			if resp.err != nil || resp.status == http.StatusOK && resp.body != strconv.Itoa(len(body)) {
				t.Log(resp.err, resp.body)
				failed.Add(1)
				return
			}
			statuses[resp.status].Add(1)
		})
	}
	time.Sleep(2 * time.Second)
	used := (liveHeap() - before) >> 20
	small := w.doWithBody(http.MethodPost, "/p/x", nil, "small")
	close(release)
	wg.Wait()
	served, refused := statuses[http.StatusOK].Load(), statuses[http.StatusServiceUnavailable].Load()
	t.Logf("%d MiB, %d served, %d refused", used, served, refused)
	assert.Equal(t, small.body, "5")
	assert.Equal(t, failed.Load(), int32(0))
	assert.Equal(t, served+refused, int32(manyRequests))
	assert.Assert(t, served > 0 && refused > 0)
	assert.Assert(t, used < entryMemoryMB/2, "%d MiB", used)
	assert.Equal(t, w.gateway.memory.requests.Used(), int64(0), "the memory is not given back")
}

// Guards against an entry that runs out of memory because faulty servers send parts of many
// large responses at once, each within the bound of one response: 120 of 4 MiB less one byte
// took 1,046 MiB.
func TestManyUnfinishedResponsesShareABudget(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: %s\r\n"
	rows := map[string]struct {
		path, head string
		part       []byte
	}{
		"body":  {"/p/x", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBufferedBytes), make([]byte, maxBufferedBytes-1)},
		"head":  {"/p/x", head, []byte(strings.Repeat("X: a\r\n", (maxHeadBytes-200)/6))},
		"event": {"/s/x", head + fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", 2*maxEventBytes), make([]byte, maxEventBytes-1)},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t, plainRoute, streamRoute)
			s := &stalledServer{head: row.head, part: row.part}
			w.addAt(plainService, serveConns(t, s.respond))
			w.addAt(modelService, serveConns(t, s.respond))
			setResident(w.find(modelService, "s2"), adapterKey, 1)
			before := liveHeap()
			var wg sync.WaitGroup
			for n := range manyRequests {
				wg.Go(func() {
					c, err := net.Dial("tcp", w.front.Listener.Addr().String())
					if err != nil {
						return
					}
					defer c.Close()
					fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h.example\r\nId: r%d\r\nModel: m/a1\r\nBudget-Ms: 4000\r\nConnection: close\r\n\r\n", row.path, n)
					_, _ = io.Copy(io.Discard, c) // a response that breaks off
				})
			}
			highest := uint64(0)
			for range 10 {
				time.Sleep(150 * time.Millisecond)
				highest = max(highest, liveHeap())
			}
			wg.Wait()
			used := (highest - min(before, highest)) >> 20
			t.Logf("%d MiB for %d requests", used, manyRequests)
			assert.Assert(t, used < entryMemoryMB/2, "%d MiB", used)
			assert.Assert(t, liveHeap() < before+(16<<20), "the memory is not given back")
		})
	}
}
