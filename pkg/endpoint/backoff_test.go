package endpoint

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// Guards against calls of an engine that has refused one with Retry-After: each further attempt
// was sent to it meanwhile.
func TestEngineInBackoffGetsNoCalls(t *testing.T) {
	const asked = time.Second
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
