package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// limitedServer is a server that names a limit and records when requests arrive.
type limitedServer struct {
	mu       sync.Mutex
	limit    string
	arrivals []time.Time
}

func (s *limitedServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	limit := s.limit
	s.mu.Unlock()
	w.Header().Set("Stamp", "x")
	if limit != "" {
		w.Header().Set("Limit", limit)
	}
	fmt.Fprint(w, "ok")
}

func (s *limitedServer) name(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// since returns the times of the arrivals from a time on.
func (s *limitedServer) since(from time.Time) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.arrivals), func(at time.Time) bool { return at.Before(from) })
}

// limitedFleet is several entries in front of the same two plain servers, one of which
// names a limit.
type limitedFleet struct {
	entries            []*testGateway
	limited, unlimited *limitedServer
}

func newLimitedFleet(t *testing.T, entries int) *limitedFleet {
	f := &limitedFleet{limited: &limitedServer{}, unlimited: &limitedServer{}}
	var shared []*fleet.Endpoint
	sidecar := newFakeSidecar()
	for i := range entries {
		w := newTestGateway(t, plainRoute)
		if i == 0 {
			w.serve(plainService, f.limited.ServeHTTP)
			w.serve(plainService, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(20 * time.Millisecond) // the entries prefer the other server
				f.unlimited.ServeHTTP(w, r)
			})
			w.serve(modelService, func(http.ResponseWriter, *http.Request) {})
			shared = slices.Concat(w.gateway.control.snapshot.Load().Services[plainService], w.gateway.control.snapshot.Load().Services[modelService])
		} else {
			for _, e := range shared {
				own := *e
				own.Runtime = nil
				w.directory.SetEndpoint(time.Now(), own)
			}
			w.publish()
		}
		for _, e := range w.gateway.control.snapshot.Load().Services[modelService] {
			w.connect(e, sidecar)
		}
		f.entries = append(f.entries, w)
	}
	return f
}

// load sends requests at an interval, to each entry in turn, and returns the statuses.
func (f *limitedFleet) load(t *testing.T, length, interval time.Duration) map[int]int {
	var (
		mu       sync.Mutex
		wg       sync.WaitGroup
		statuses = map[int]int{}
	)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	began := time.Now()
	for i := 0; time.Since(began) < length; i++ {
		<-tick.C
		w := f.entries[i%len(f.entries)]
		wg.Go(func() {
			resp := w.do(http.MethodGet, "/p/x", nil)
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.status]++
		})
	}
	wg.Wait()
	t.Logf("statuses: %v", statuses)
	return statuses
}

// mostIn returns the largest number of times in a period of the given length.
func mostIn(times []time.Time, length time.Duration) int {
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) < length {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against entries that send a server more requests than the limit that it has named:
// a server with a limit of 1.7 requests/s got 22 in 4 s.
func TestAllEntriesTogetherKeepToTheLimitOfAServer(t *testing.T) {
	for _, entries := range []int{1, 4, 29} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			t.Parallel()
			f := newLimitedFleet(t, entries)
			f.limited.name("2")
			began := time.Now()
			statuses := f.load(t, 6*time.Second, 5*time.Millisecond)
			arrivals := f.limited.since(began.Add(1500 * time.Millisecond))
			assert.Check(t, mostIn(arrivals, 4*time.Second) <= 17, "%d requests in 4 s", mostIn(arrivals, 4*time.Second))
			assert.Check(t, len(arrivals) >= 4, "%d requests in all: the server is not used", len(arrivals))
			assert.Check(t, statuses[http.StatusOK] > 9*(statuses[http.StatusServiceUnavailable]+1), "the other server has room: %v", statuses)
		})
	}
}

// Guards against a limit that holds on after the server has stopped naming it.
func TestLimitEnds(t *testing.T) {
	f := newLimitedFleet(t, 4)
	f.limited.name("2")
	f.load(t, 2*time.Second, 5*time.Millisecond)
	f.limited.name("")
	f.load(t, 4*time.Second, 5*time.Millisecond)
	began := time.Now()
	f.load(t, time.Second, 5*time.Millisecond)
	arrivals := f.limited.since(began)
	assert.Assert(t, len(arrivals) > 50, "%d of about 200 requests in the last second", len(arrivals))
}

// Guards against entries that exceed a limit, or hold requests, while no sidecar answers, and
// against a Retry-After that does not say when the server may take a request.
func TestLimitWithoutDividers(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	limited := &limitedServer{}
	limited.name("2")
	w.serve(plainService, limited.ServeHTTP)
	assert.Equal(t, w.do(http.MethodGet, "/p/x", nil).status, http.StatusOK)
	began := time.Now()
	for range 50 {
		resp := w.do(http.MethodGet, "/p/x", nil)
		assert.Equal(t, resp.status, http.StatusServiceUnavailable)
		assert.Assert(t, resp.header.Get("Retry-After") != "")
	}
	assert.Assert(t, time.Since(began) < time.Second, "the requests were held for %v", time.Since(began))
	assert.Equal(t, len(limited.since(began)), 0)
}

// Guards against a request that is refused although a server without a limit has room, and
// against a Retry-After that differs from the time until the next permit.
func TestRetryAfterOfALimitedServer(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	limited := &limitedServer{}
	limited.name("0.5")
	w.serve(plainService, limited.ServeHTTP)
	w.serve(modelService, func(http.ResponseWriter, *http.Request) {})
	assert.Equal(t, w.do(http.MethodGet, "/p/x", nil).status, http.StatusOK)
	resp := w.do(http.MethodGet, "/p/x", nil)
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	// A new divider grants half of the limit at first.
	assert.Assert(t, wait > 3 && wait <= 4, "%v s", wait)
	w.serve(plainService, (&limitedServer{}).ServeHTTP)
	assert.Equal(t, w.do(http.MethodGet, "/p/x", nil).status, http.StatusOK)
}
