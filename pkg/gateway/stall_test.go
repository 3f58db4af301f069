package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// Guards against runs that go on after their callers have left. Callers disconnect
// after a gap without events, long before their time limit. A server whose machine is
// frozen at that moment runs the request once it resumes, so the entry has to end the
// request first.
func TestStreamEndsBeforeTheCallerDisconnects(t *testing.T) {
	for name, first := range map[string]string{"before the first event": "", "after an event": "id: 1\ndata: x\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestGateway(t, onceRoute)
			gone := make(chan struct{})
			setResident(w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
				markFromPlatform(rw, r)
				if first != "" {
					_, _ = rw.Write([]byte(first)) // an error shows in the response
					_ = http.NewResponseController(rw).Flush()
				}
				<-r.Context().Done()
				close(gone)
			}), adapterKey, 1)
			began := time.Now()
			resp := w.do(http.MethodPost, "/o/x", map[string]string{"Model": "m/a1", "Budget-Ms": "10000"})
			took := time.Since(began)
			assert.Assert(t, took < minStallLimit, "took %s", took)
			if first == "" {
				assert.Equal(t, resp.status, http.StatusGatewayTimeout)
			} else {
				assert.Assert(t, resp.err != nil, "the stream must break off, got %q", resp.body)
			}
			select {
			case <-gone:
			case <-time.After(time.Second):
				t.Fatal("the server still runs the request")
			}
		})
	}
}

// Guards against a limit that is shorter than the patience of the callers of slow
// routes.
func TestStallLimitFollowsTheRoute(t *testing.T) {
	for _, c := range []struct{ target, gap, want time.Duration }{
		{0, 0, 2 * time.Second},
		{500 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second},
		{time.Second, 400 * time.Millisecond, 4 * time.Second},
		{500 * time.Millisecond, 400 * time.Millisecond, 3200 * time.Millisecond},
	} {
		assert.Equal(t, stallLimit(&route.Route{TargetLatency: c.target, MaxEventGap: c.gap}), c.want)
	}
}
