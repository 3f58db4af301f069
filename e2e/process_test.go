package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against components that work only within one process. Here each component is
// a separate process, the configuration is rolled out with fescuectl, and every adapter
// must answer with the configured version.
func TestProcesses(t *testing.T) {
	d := newDeployment(t)
	for i := range 12 {
		model := fmt.Sprintf("tokachi/a%d@1", i%6)
		got, err := d.client(i%2).Chat.Completions.New(t.Context(), chatParams(model))
		assert.NilError(t, err)
		assert.Equal(t, got.Model, model)
	}
	resp, err := http.Get("http://" + d.metricsAddress + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), "endpoint.positions_offered_ms"), "metrics of the endpoint: %s", text)
	d.rollout("[adapter \"tokachi/new\"]\nbase_model = " + baseModel + "\nversions = 7\ncurrent = 7\n")
	for i := range d.entries {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			got, err := d.client(i).Chat.Completions.New(t.Context(), chatParams("tokachi/new"))
			if err != nil {
				return poll.Continue("new adapter: %v", err)
			}
			if got.Model != "tokachi/new@7" {
				return poll.Error(fmt.Errorf("answered by %s", got.Model))
			}
			return poll.Success()
		}, poll.WithTimeout(startLimit))
	}
	assert.Assert(t, strings.Contains(d.fescuectl("bundle", "status", "-kv", d.kv.Addr()), "2"))
	d.awaitStatus()
}

// Guards against graceful stops that interrupt requests: an endpoint and an entry get
// SIGTERM while streams are running, and every stream must complete.
func TestGracefulStops(t *testing.T) {
	d := newDeployment(t)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { d.checkCompleteStream(t, 0, fmt.Sprintf("tokachi/a%d", i%2)) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		running := 0
		for _, e := range d.engines {
			running += e.Stats().Running
		}
		if running < 4 {
			return poll.Continue("%d streams run", running)
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit))
	codes := make([]int, 2)
	wg.Go(func() { codes[0] = d.endpoints[0].stop(t) })
	wg.Go(func() { codes[1] = d.entries[0].stop(t) })
	wg.Wait()
	assert.DeepEqual(t, codes, []int{0, 0})
}

// checkCompleteStream requests a stream of 200 tokens and fails the test unless it
// completes.
func (d *deployment) checkCompleteStream(t *testing.T, entry int, model string) {
	params := chatParams(model)
	params.MaxTokens = openai.Int(200)
	stream := d.client(entry).Chat.Completions.NewStreaming(context.Background(), params)
	events, finished := 0, false
	for stream.Next() {
		events++
		finished = finished || stream.Current().Choices[0].FinishReason != ""
	}
	if stream.Err() != nil || events != 200 || !finished {
		t.Errorf("stream of %s: %d events, finished %v, error %v", model, events, finished, stream.Err())
	}
}

// Guards against a second run of a request with an idempotency key when the process
// that ran it is suspended or killed. A retry at another entry must not run it again.
func TestKeyedRequestOverCrash(t *testing.T) {
	d := newDeployment(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if outcome, _ := d.post(t, 0, "key-1", "sale 1", 10*time.Second); outcome != "answered" {
			return poll.Continue("service endpoint is not ready: %s", outcome)
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit))
	outcome, body := d.post(t, 1, "key-1", "sale 1", 10*time.Second)
	assert.Equal(t, outcome, "answered")
	assert.Assert(t, strings.Contains(body, "sale 1"))
	assert.Equal(t, len(d.service.Starts("sale 1")), 1)

	service := d.endpoints[2]
	assert.NilError(t, service.cmd.Process.Signal(syscall.SIGSTOP))
	frozen, _ := d.post(t, 0, "key-2", "sale 2", 2*time.Second)
	assert.Assert(t, frozen != "answered", frozen)
	assert.NilError(t, service.cmd.Process.Signal(syscall.SIGCONT))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		outcome, _ := d.post(t, 1, "key-2", "sale 2", 10*time.Second)
		if outcome == "answered" || outcome == "unknown" {
			return poll.Success()
		}
		return poll.Continue("repeat: %s", outcome)
	}, poll.WithTimeout(startLimit))
	assert.Assert(t, len(d.service.Starts("sale 2")) <= 1)

	assert.NilError(t, service.cmd.Process.Kill())
	<-service.exited
	outcome, _ = d.post(t, 1, "key-1", "sale 1", 2*time.Second)
	assert.Equal(t, outcome, "unknown")
	assert.Equal(t, len(d.service.Starts("sale 1")), 1)
}

// post calls the service "desk" with an idempotency key and returns the outcome header
// and the body of the response.
func (d *deployment) post(t *testing.T, entry int, key, body string, deadline time.Duration) (outcome, response string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.entries[entry].address+"/v1/services/desk/handoff", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Fescue-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.Header.Get("Fescue-Outcome"), string(text)
}
