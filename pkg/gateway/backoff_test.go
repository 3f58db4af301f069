package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// backoffServer is a server that asks for a backoff in a part of its responses and records
// what arrives.
type backoffServer struct {
	// backoff is the time for which it asks in each response, or 0.
	backoff atomic.Int64
	// latency is how long a response takes.
	latency time.Duration

	mu       sync.Mutex
	arrivals []time.Time
	asked    []backoffPeriod
}

// backoffPeriod is the time of a response that asks for a backoff, and the end of that.
type backoffPeriod struct{ answered, end time.Time }

// backoffSlack is how long after a response that asks for a backoff requests may still arrive.
const backoffSlack = 500 * time.Millisecond

func (s *backoffServer) ask(d time.Duration) { s.backoff.Store(int64(d)) }

func (s *backoffServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	backoff := time.Duration(s.backoff.Load())
	s.mu.Lock()
	s.arrivals = append(s.arrivals, now)
	if backoff > 0 {
		s.asked = append(s.asked, backoffPeriod{answered: now, end: now.Add(backoff)})
	}
	s.mu.Unlock()
	time.Sleep(s.latency)
	markFromPlatform(w, r)
	if backoff > 0 {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprint(w, "id: 1\ndata: x\n\n")
}

// during returns the number of requests that arrived while the server had asked for none.
func (s *backoffServer) during() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals {
		for _, p := range s.asked {
			if at.After(p.answered.Add(backoffSlack)) && at.Before(p.end) {
				n++
				break
			}
		}
	}
	return n
}

func (s *backoffServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

// keepCalling sends requests from several callers, each one after the other with a short
// pause, for the given time. It returns the statuses.
func keepCalling(w *testGateway, callers int, path string, header map[string]string, length time.Duration) map[int]int {
	var (
		mu       sync.Mutex
		wg       sync.WaitGroup
		statuses = map[int]int{}
	)
	end := time.Now().Add(length)
	for range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				resp := w.do(http.MethodGet, path, header)
				mu.Lock()
				statuses[resp.status]++
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return statuses
}

// Guards against requests to a server that has asked for none: one that had asked an entry for
// 3 s got 3 requests from it in that time.
func TestServerInBackoffGetsNoRequests(t *testing.T) {
	for _, kind := range []string{"plain", "model"} {
		for _, callers := range []int{1, 16, 200} {
			for _, asking := range []string{"only", "one", "all"} {
				t.Run(fmt.Sprintf("%s %d %s", kind, callers, asking), func(t *testing.T) {
					t.Parallel()
					w := newTestGateway(t, plainRoute, onceRoute)
					service, path, header := plainService, "/p/x", map[string]string(nil)
					if kind == "model" {
						service, path, header = modelService, "/o/x", forAdapter
					}
					asks, other := &backoffServer{}, &backoffServer{}
					asks.ask(1200 * time.Millisecond)
					servers := []*backoffServer{asks, other}
					switch asking {
					case "only":
						servers = servers[:1]
					case "one":
						other.latency = 20 * time.Millisecond // the entry prefers the asking server
					case "all":
						other.ask(900 * time.Millisecond)
					}
					for _, s := range servers {
						e := w.serve(service, s.ServeHTTP)
						if kind == "model" {
							setResident(e, adapterKey, 1)
						}
					}
					statuses := keepCalling(w, callers, path, header, 2500*time.Millisecond)
					for i, s := range servers {
						assert.Check(t, s.during() == 0, "server %d: %d of %d requests arrived during its backoff", i, s.during(), s.count())
						assert.Check(t, s.count() > 0, "server %d is not used", i)
					}
					if asking == "one" {
						assert.Check(t, statuses[http.StatusOK] > 9*statuses[http.StatusServiceUnavailable], "the other server has room: %v", statuses)
					}
				})
			}
		}
	}
}

// Guards against a request for an adapter that only a server in backoff holds and that is sent
// there, or refused although another server can load the adapter in time.
func TestAdapterOfAServerInBackoffIsLoadedElsewhere(t *testing.T) {
	w := newTestGateway(t, onceRoute)
	holder, other := &backoffServer{}, &backoffServer{}
	holder.ask(2 * time.Second)
	setResident(w.serve(modelService, holder.ServeHTTP), adapterKey, 1)
	loading := w.serve(modelService, other.ServeHTTP)
	loading.Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now(), Models: map[string]int{"m": 1}, Free: 1, LoadLimit: 1, LoadTime: 100 * time.Millisecond})
	time.AfterFunc(300*time.Millisecond, func() { setResident(loading, adapterKey, 1) })
	assert.Equal(t, w.do(http.MethodGet, "/o/x", forAdapter).status, http.StatusOK)
	keepCalling(w, 4, "/o/x", forAdapter, time.Second)
	assert.Equal(t, holder.during(), 0)
}

// Guards against retries and resumed streams that reach a server in backoff because only the
// first attempt of a request heeds it.
func TestRetriesHeedABackoff(t *testing.T) {
	for _, path := range []string{"/p/x", "/s/x"} {
		w := newTestGateway(t, plainRoute, streamRoute)
		service := plainService
		if path == "/s/x" {
			service = modelService
		}
		asks := &backoffServer{}
		asks.ask(2 * time.Second)
		inBackoff := w.serve(service, asks.ServeHTTP)
		failing := w.serve(service, func(rw http.ResponseWriter, r *http.Request) {
			markFromPlatform(rw, r)
			if path == "/p/x" {
				rw.WriteHeader(http.StatusInternalServerError)
				return
			}
			_, _ = rw.Write([]byte("id: 1\ndata: x\n\nid: 2\n"))
			rw.(http.Flusher).Flush()
			abortResponse()
		})
		for _, e := range []*fleet.Endpoint{inBackoff, failing} {
			setResident(e, adapterKey, 1)
		}
		for asks.count() == 0 {
			w.do(http.MethodGet, path, forAdapter)
		}
		keepCalling(w, 8, path, forAdapter, 1500*time.Millisecond)
		assert.Equal(t, asks.during(), 0, "%s", path)
	}
}

// arrivalsAfterWait sends requests that wait for a permit at a server, calls change meanwhile, and
// returns how many of them reach the server.
func arrivalsAfterWait(t *testing.T, change func(*fleet.Endpoint)) int32 {
	t.Helper()
	w := newTestGateway(t, plainRoute)
	var arrivals atomic.Int32
	e := w.serve(plainService, func(rw http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		markFromPlatform(rw, r)
		rw.Header().Set("Limit", "1000")
		fmt.Fprint(rw, "ok")
	})
	w.serve(modelService, func(http.ResponseWriter, *http.Request) {})
	sidecar := newFakeSidecar()
	for _, holder := range w.gateway.control.snapshot.Load().Services[modelService] {
		w.connect(holder, sidecar)
	}
	assert.Equal(t, w.do(http.MethodGet, "/p/x", nil).status, http.StatusOK)
	sidecar.delay.Store(int64(80 * time.Millisecond))
	arrivals.Store(0)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { w.do(http.MethodGet, "/p/x", nil) })
	}
	time.Sleep(20 * time.Millisecond) // all wait for a permit
	change(e)
	wg.Wait()
	return arrivals.Load()
}

// Guards against a request that reaches a server in backoff because it was placed there before
// the server asked for it, and waited for a permit meanwhile.
func TestRequestThatWaitsAsksAgain(t *testing.T) {
	assert.Equal(t, arrivalsAfterWait(t, func(*fleet.Endpoint) {}), int32(8))
	inBackoff := arrivalsAfterWait(t, func(e *fleet.Endpoint) {
		e.Runtime.RecordBackoff(time.Now(), fleet.Backoff{Asked: true, For: time.Second})
	})
	assert.Equal(t, inBackoff, int32(0))
}

// Guards against callers that are held, told to come back too early, or all at once, while all
// servers are in backoff, and against load that returns to a server in one moment.
func TestCallersReturnAfterABackoff(t *testing.T) {
	const callers = 200
	w := newTestGateway(t, plainRoute)
	server := &backoffServer{}
	server.ask(time.Second)
	w.serve(plainService, server.ServeHTTP)
	w.do(http.MethodGet, "/p/x", nil)
	server.ask(0)
	var (
		wg              sync.WaitGroup
		early, served   atomic.Int32
		longestRefusal  atomic.Int64
		returned        [callers]time.Time
		missingAdvice   atomic.Int32
		parseRetryAfter = func(r response) time.Duration {
			seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			if err != nil {
				missingAdvice.Add(1)
			}
			return time.Duration(seconds * float64(time.Second))
		}
	)
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			sent := time.Now()
			resp := w.do(http.MethodGet, "/p/x", nil)
			if resp.status != http.StatusServiceUnavailable {
				early.Add(1)
				return
			}
			if took := int64(time.Since(sent)); took > longestRefusal.Load() {
				longestRefusal.Store(took)
			}
			time.Sleep(parseRetryAfter(resp))
			returned[i] = time.Now()
			if w.do(http.MethodGet, "/p/x", nil).status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	assert.Check(t, early.Load() == 0, "%d requests were not refused", early.Load())
	assert.Check(t, missingAdvice.Load() == 0, "%d refusals without Retry-After", missingAdvice.Load())
	assert.Check(t, time.Duration(longestRefusal.Load()) < 250*time.Millisecond, "a refusal took %v", time.Duration(longestRefusal.Load()))
	assert.Check(t, served.Load() >= callers*9/10, "%d of %d callers were served when they first returned", served.Load(), callers)
	assert.Equal(t, server.during(), 0)
	times := slices.DeleteFunc(returned[:], time.Time.IsZero)
	slices.SortFunc(times, time.Time.Compare)
	most := mostIn(times, 100*time.Millisecond)
	assert.Check(t, most <= callers/4, "%d of %d callers returned within 100 ms", most, callers)
	t.Logf("served at the first return: %d of %d; at most %d returned within 100 ms", served.Load(), callers, most)
}
