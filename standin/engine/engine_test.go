package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/standin/fault"
	"github.com/fescuecourse/fescuecourse/standin/weightstore"
)

const body = `{"model":"t/a@1","prompt":"p","max_tokens":4}`

func serve(t *testing.T, opts Options) (*Server, string) {
	opts.Slots, opts.Positions = 2, 2
	opts.Weights = weightstore.New(1000, nil)
	opts.Residents = []ident.Adapter{{Team: "t", Name: "a", Version: "1"}}
	s := New(opts)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return s, srv.URL
}

func post(t *testing.T, url, body, token string) *http.Response {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("X-Fencing-Token", token)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// Guards against a fake that does not count the eviction of an adapter with a running
// request. Tests that check this counter could then never fail.
func TestCountsEvictionUnderRun(t *testing.T) {
	s, url := serve(t, Options{Timing: Timing{Decode: time.Hour}})
	running := post(t, url+"/v1/completions", body, "")
	_, err := running.Body.Read(make([]byte, 1)) // the first token shows that the request is running
	assert.NilError(t, err)
	post(t, url+"/v1/unload_lora_adapter", `{"lora_name":"t/a@1"}`, "1")
	assert.Equal(t, s.Stats().EvictedDuringRun, 1)
	assert.Equal(t, len(s.Starts(`"p"`)), 1)
	s.Restart()
	_, err = io.ReadAll(running.Body)
	assert.Assert(t, err != nil, "a restart must not end a stream normally")
}

// Guards against injected faults without an effect.
func TestInjectedFaults(t *testing.T) {
	faults := fault.New(1, time.Now)
	s, url := serve(t, Options{ChecksFencing: true, Faults: faults})
	faults.Set(fault.WrongModel, fault.Rule{Probability: 1})
	text, err := io.ReadAll(post(t, url+"/v1/completions", body, "").Body)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(text), "t/a@1"))
	faults.Set(fault.StreamCut, fault.Rule{Probability: 1, AfterEvents: 2})
	text, err = io.ReadAll(post(t, url+"/v1/completions", body, "").Body)
	assert.Assert(t, err != nil)
	assert.Equal(t, strings.Count(string(text), "data: "), 2)
	faults.Set(fault.LoadFailed, fault.Rule{Probability: 1})
	assert.Equal(t, post(t, url+"/v1/load_lora_adapter", `{"lora_name":"t/b@1"}`, "2").StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(s.Adapters()), 1)
	assert.Equal(t, post(t, url+"/v1/unload_lora_adapter", `{"lora_name":"t/a@1"}`, "1").StatusCode, http.StatusPreconditionFailed)
	faults.Set(fault.EngineRestart, fault.Rule{Probability: 1})
	resp, err := http.Get(url + "/v1/status")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, s.Stats().Restarts, 1)
	assert.Equal(t, len(s.Adapters()), 0)
}
