package platform

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const testEvents = 2

func newTestServer(t *testing.T, id, software string, weights int) *Server {
	t.Helper()
	s, err := NewServer(ServerConfig{
		ID: id, Service: "pool", Model: "m", MaxAdapters: 4, LoadTime: time.Millisecond, Events: testEvents,
		Version: software, WeightsVersion: weights,
	})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

var testPrompt = []PromptPart{{ID: "aa", Tokens: 3000}, {ID: "bb", Tokens: 10}}

// send sends a request for an adapter, or for the base model if it is empty, with
// further headers as name and value pairs. It returns the response and its body.
func send(t *testing.T, s *Server, c *ClientRequest, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+"/x", http.NoBody)
	assert.NilError(t, err)
	c.Model, c.Timeout = "m", time.Second
	c.Apply(req)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

// sendOrder sends an order and waits until it is executed.
func sendOrder(t *testing.T, s *Server, operation, adapter string, version int) {
	t.Helper()
	body := fmt.Sprintf(`{"operation":%q,"model":"m","adapter":%q,"version":%d,"holder":"x","fencingToken":1}`, operation, adapter, version)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+"/api/order", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("X-Fescuecourse-Expect-Instance", s.cfg.ID)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Assert(t, resp.StatusCode < 300, resp.Status)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.busy || len(s.loading) > 0 {
			return poll.Continue("the order is being carried out")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func lastRun(s *Server) Run {
	runs := s.Runs()
	return runs[len(runs)-1]
}

// Guards against a fake that hides a run with prompt memory of other weights, another
// adapter version or another software version, or reports one that fits.
func TestStaleMemoryIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		software string
		weights  int
		adapter  int
		stale    []StalePart
	}{
		"same versions":  {software: "v1", weights: 1, adapter: 1},
		"other weights":  {software: "v1", weights: 2, adapter: 1, stale: []StalePart{{ID: "aa", MadeUnder: MemoryVersion{Weights: 1, Adapter: 1, Software: "v1"}}}},
		"other adapter":  {software: "v1", weights: 1, adapter: 2, stale: []StalePart{{ID: "aa", MadeUnder: MemoryVersion{Weights: 1, Adapter: 1, Software: "v1"}}}},
		"other software": {software: "v2", weights: 1, adapter: 1, stale: []StalePart{{ID: "aa", MadeUnder: MemoryVersion{Weights: 1, Adapter: 1, Software: "v1"}}}},
	} {
		source, target := newTestServer(t, "i-1", "v1", 1), newTestServer(t, "i-2", c.software, c.weights)
		sendOrder(t, source, "load", "a1", 1)
		sendOrder(t, target, "load", "a1", c.adapter)
		send(t, source, &ClientRequest{ID: "r1", Adapter: "a1", Prompt: testPrompt})
		send(t, target, &ClientRequest{ID: "r2", Adapter: "a1", Prompt: []PromptPart{testPrompt[0], {ID: "cc", Tokens: 10}}}, "Kv-Fetch", source.Address())
		assert.Assert(t, lastRun(target).Fetched, name)
		assert.DeepEqual(t, lastRun(target).StaleMemory, c.stale)
	}
}

// Guards against a fake that uses its own memory across versions, or that loses on a
// replacement what only an unload drops.
func TestMemoryAcrossReplacements(t *testing.T) {
	source, target := newTestServer(t, "i-1", "v1", 1), newTestServer(t, "i-2", "v1", 1)
	call := func(s *Server, id string, headers ...string) Run {
		send(t, s, &ClientRequest{ID: id, Adapter: "a1", Prompt: testPrompt}, headers...)
		return lastRun(s)
	}
	sendOrder(t, source, "load", "a1", 1)
	sendOrder(t, target, "load", "a1", 2)
	call(source, "r1")
	sendOrder(t, source, "load", "a1", 2)
	assert.Equal(t, len(call(target, "r2", "Kv-Fetch", source.Address()).StaleMemory), 2)
	assert.Equal(t, len(call(source, "r3").StaleMemory), 0)
	sendOrder(t, source, "unload", "a1", 0)
	sendOrder(t, target, "load", "a1", 3)
	assert.Assert(t, !call(target, "r4", "Kv-Fetch", source.Address()).Fetched)
	assert.Equal(t, len(lastRun(target).StaleMemory), 0)
}

// Guards against a base model that is served in a version other than the one that was
// loaded or required.
func TestWeightsVersions(t *testing.T) {
	s := newTestServer(t, "i-1", "v1", 3)
	resp, _ := send(t, s, &ClientRequest{ID: "r1", Prompt: testPrompt})
	assert.Equal(t, resp.Header.Get("X-Fescuecourse-Weight-Versions"), "3")
	s.SetLatestWeights(4)
	resp, _ = send(t, s, &ClientRequest{ID: "r2", Prompt: testPrompt}, "X-Fescuecourse-Expect-Version", "4")
	assert.Equal(t, resp.StatusCode, http.StatusMisdirectedRequest)
	sendOrder(t, s, "load", "", 0)
	resp, _ = send(t, s, &ClientRequest{ID: "r3", Prompt: testPrompt}, "X-Fescuecourse-Expect-Version", "4")
	assert.Equal(t, resp.Header.Get("X-Fescuecourse-Weight-Versions"), "4")
	assert.Equal(t, lastRun(s).Weights, 4)
}

// Guards against a resumed stream whose run does not name the stream that it goes on
// with, and against events without the software version.
func TestResumedStreamIsRecorded(t *testing.T) {
	s := newTestServer(t, "i-1", "v1.2", 1)
	assert.Assert(t, strings.Contains(s.Registration("ready"), `"version":"v1.2"`))
	_, body := send(t, s, &ClientRequest{ID: "r2", Prompt: testPrompt, LastEventID: "1", Resumes: "r1"})
	assert.Equal(t, body, "id: 2\ndata: r2-2 v1.2\n\n")
	run := lastRun(s)
	assert.Equal(t, run.LastEventID, "1")
	assert.Equal(t, run.Resumes, "r1")
	assert.Equal(t, run.Software, "v1.2")
}
