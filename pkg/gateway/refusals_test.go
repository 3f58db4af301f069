package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// serverAct is what a server does with one request.
type serverAct struct {
	name string
	// runs is true if the server begins to work on the request.
	runs bool
	do   func(w http.ResponseWriter, r *http.Request)
}

// lateArrival is the time in which a request that was sent reaches its server.
const lateArrival = 300 * time.Millisecond

// answer returns a handler that sends a status, with the header that denies a run or without.
func answer(status int, notRun bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		markFromPlatform(w, r)
		if notRun {
			w.Header().Set("Not-Run", "1")
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}
}

// breakOff returns a handler that sends the beginning of a response and closes the connection.
func breakOff(status int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		markFromPlatform(w, r)
		w.Header().Set("Content-Length", "1000")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "id: 1\n")
		_ = http.NewResponseController(w).Flush()
		abortResponse()
	}
}

// serverActs lists the ways in which a server may end a request.
func serverActs() []serverAct {
	acts := []serverAct{
		{name: "serves", runs: true, do: answer(200, false)},
		{name: "fails", runs: true, do: answer(500, false)},
		{name: "runs and denies it in a success", runs: true, do: answer(200, true)},
		{name: "breaks off a success", runs: true, do: breakOff(200)},
		{name: "breaks off a refusal that proves nothing", runs: true, do: breakOff(503)},
		{name: "closes", runs: true, do: func(http.ResponseWriter, *http.Request) { abortResponse() }},
		{name: "is silent", runs: true, do: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{name: "closes in time", runs: true, do: func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond); abortResponse() }},
		{name: "other process", do: answer(http.StatusMisdirectedRequest, false)},
	}
	for _, status := range []int{408, 429, 502, 503, 504} {
		acts = append(acts,
			serverAct{name: "runs and ends with " + http.StatusText(status), runs: true, do: answer(status, false)},
			serverAct{name: "refuses with " + http.StatusText(status), do: answer(status, true)})
	}
	return acts
}

// actors are servers that end the attempts of each request in turn as drawn, and count its runs.
type actors struct {
	mu   sync.Mutex
	acts map[string][]serverAct
	runs map[string]int
}

func (a *actors) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	a.mu.Lock()
	act := a.acts[id][0]
	a.acts[id] = append(a.acts[id][1:], act)
	if act.runs {
		a.runs[id]++
	}
	a.mu.Unlock()
	act.do(w, r)
}

// draw sets what the servers do with a request.
func (a *actors) draw(t *rapid.T, id string) {
	acts := rapid.SliceOfN(rapid.SampledFrom(serverActs()), 3, 3).Draw(t, "acts")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acts[id] = acts
}

func (a *actors) ran(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[id]
}

// Guards against a refusal that says that a request has not run although it has, and against a
// second run: callers repeat a request after these statuses, also one that may run only once.
func TestRefusedRequestsHaveNotRun(t *testing.T) {
	stream := route.Route{Name: "s", Prefix: "/s/", Kind: route.Streaming, MaxAttempts: 3, Services: []route.WeightedService{{Service: modelService}}}
	plain := keyedRoute
	plain.MaxAttempts = 3
	w := newTestGateway(t, plain, stream)
	servers := &actors{acts: map[string][]serverAct{}, runs: map[string]int{}}
	var refused []string
	requests := 0
	var endpoints []*fleet.Endpoint
	for _, service := range []string{plainService, plainService, plainService, modelService, modelService, modelService} {
		endpoints = append(endpoints, w.serve(service, servers.ServeHTTP))
	}
	w.addAt(plainService, "127.0.0.1:1") // refuses connections
	w.setTeams(keyedTeam("a", "key"))
	rapid.Check(t, func(t *rapid.T) {
		requests++
		id := fmt.Sprintf("r%d", requests)
		servers.draw(t, id)
		for _, e := range endpoints {
			e.Runtime.Ban(time.Time{})
			if e.Service == modelService {
				setResident(e, adapterKey, 1)
			}
		}
		header := map[string]string{
			"Id":        id,
			"Key":       rapid.SampledFrom([]string{"key", "key", "key", "wrong"}).Draw(t, "key"),
			"Budget-Ms": rapid.SampledFrom([]string{"1", "50", "200"}).Draw(t, "budget"),
			"Model":     adapterKey.Model + "/" + adapterKey.Name,
		}
		path := rapid.SampledFrom([]string{"/o/x", "/s/x"}).Draw(t, "path")
		resp := w.do(http.MethodPost, path, header)
		ran := servers.ran(id)
		assert.Assert(t, ran <= 1, "%d runs", ran)
		promises := slices.Contains([]int{408, 421, 429, 503}, resp.status)
		assert.Assert(t, !promises || ran == 0, "status %d (%s) although the request ran", resp.status, resp.body)
		if promises {
			refused = append(refused, id)
		}
		denied := resp.status >= 300 && resp.status < 500 && !promises
		assert.Assert(t, !denied || header["Key"] == "wrong", "status %d", resp.status)
	})
	time.Sleep(lateArrival)
	for _, id := range refused {
		assert.Equal(t, servers.ran(id), 0, "%s ran later", id)
	}
	assert.Assert(t, len(refused) > 0)
}
