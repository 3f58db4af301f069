package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

// Guards against calls of an engine that has refused one with Retry-After: each further attempt
// was sent to it meanwhile.
func TestEngineInBackoffGetsNoCalls(t *testing.T) {
	const asked = 3 * time.Second
	var refuse atomic.Bool
	var calls atomic.Int32
	s := startEndpointBehind(t, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/v1/completions" {
				h.ServeHTTP(w, r)
				return
			}
			calls.Add(1)
			if refuse.Load() {
				w.Header().Set("Retry-After", fmt.Sprint(asked.Seconds()))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			h.ServeHTTP(w, r)
		})
	})
	refuse.Store(true)
	began := time.Now()
	for i := range 8 {
		f := last(t, s.run(t.Context(), t, fmt.Sprintf("r%d", i), true))
		assert.Equal(t, f.GetNotRun().GetReason(), fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY)
		wait := time.Duration(f.GetNotRun().GetRetryAfterMs()) * time.Millisecond
		assert.Assert(t, wait > asked/2 && wait <= asked, "%v", wait)
	}
	assert.Equal(t, calls.Load(), int32(1))
	refuse.Store(false)
	time.Sleep(time.Until(began.Add(asked + 100*time.Millisecond)))
	assert.Equal(t, last(t, s.run(t.Context(), t, "after", true)).GetEnd().GetTotal(), uint64(30))
}

// refusingEngine counts the calls of an engine, and refuses those of one path with
// Retry-After while refuse is set.
type refusingEngine struct {
	http.Handler
	path   string
	after  time.Duration
	refuse atomic.Bool
	calls  atomic.Int32
}

func (e *refusingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.calls.Add(1)
	if e.refuse.Load() && r.URL.Path == e.path {
		w.Header().Set("Retry-After", fmt.Sprint(e.after.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.Handler.ServeHTTP(w, r)
}

// start starts an endpoint with the engine behind e.
func (e *refusingEngine) start(t *testing.T, adjust ...func(*timing)) *testEndpoint {
	t.Helper()
	return startEndpointBehind(t, func(h http.Handler) http.Handler {
		e.Handler = h
		return e
	}, adjust...)
}

// Guards against commands and status polls that reach an engine which has refused a call with
// Retry-After, whichever call it was. Only generations were held back.
func TestEngineInBackoffGetsNoCommandsAndPolls(t *testing.T) {
	load := scheduler.Action{Adapter: adapterX(), Deadline: time.Now().Add(time.Minute)}
	for path, first := range map[string]func(*testing.T, *testEndpoint){
		"/v1/completions":         func(t *testing.T, s *testEndpoint) { last(t, s.run(t.Context(), t, "r1", true)) },
		"/v1/load_lora_adapter":   func(_ *testing.T, s *testEndpoint) { s.e.control.sendCommand(load, true) },
		"/v1/unload_lora_adapter": func(_ *testing.T, s *testEndpoint) { s.e.control.sendCommand(load, false) },
		"/v1/status":              func(t *testing.T, s *testEndpoint) { s.e.control.pollEngine(t.Context()) },
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			engine := &refusingEngine{path: path, after: 3 * time.Second}
			s := engine.start(t)
			engine.refuse.Store(true)
			first(t, s)
			time.Sleep(100 * time.Millisecond) // a poll that the refusal has caused
			before := engine.calls.Load()
			s.e.control.pollNow()
			s.e.control.sendCommand(load, true)
			s.e.control.sendCommand(load, false)
			fenced := s.e.control.fence(t.Context(), 1)
			assert.ErrorContains(t, fenced, "wants no calls")
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, engine.calls.Load(), before)
			engine.refuse.Store(false)
			time.Sleep(engine.after)
			assert.NilError(t, s.e.control.fence(t.Context(), 1))
		})
	}
}

// Guards against an engine that is not used for the rest of a long backoff after it has
// restarted, because the restart is not noticed.
func TestRestartedEngineHasNoBackoff(t *testing.T) {
	engine := &refusingEngine{path: "/v1/completions", after: time.Hour}
	s := engine.start(t, func(t *timing) { t.enginePoll, t.backoffPoll = 10*time.Millisecond, 100*time.Millisecond })
	engine.refuse.Store(true)
	assert.Equal(t, last(t, s.run(t.Context(), t, "r1", true)).GetNotRun().GetReason(), fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY)
	engine.refuse.Store(false)
	s.engine.Restart()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for i := 0; ; i++ {
		f := last(t, s.run(ctx, t, fmt.Sprintf("again%d", i), true))
		if f.GetEnd() != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
