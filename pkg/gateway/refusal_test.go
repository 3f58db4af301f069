package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Guards against holding a request until its caller leaves although the loads that are
// due before its own take longer than that, and against refusing one that is still in
// time, which the server serves first. The pattern is a fleet that has restarted empty.
func TestRefusesWhatCannotBeLoadedInTime(t *testing.T) {
	route := onceRoute
	route.TargetLatency = 500 * time.Millisecond
	w := newTestGateway(t, route)
	e := w.serve(modelService, func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			e.Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now(), Models: map[string]int{"m": 1}, PendingLoads: 21, LoadTime: 250 * time.Millisecond, Free: 4})
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	began := time.Now()
	resp := w.do(http.MethodPost, "/o/x", forAdapter)
	took := time.Since(began)
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Assert(t, took >= route.TargetLatency && took < 1100*time.Millisecond, "took %s", took)
	seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	backlog := 20 * 250 * time.Millisecond / 4
	assert.Assert(t, seconds >= 0.74*backlog.Seconds() && seconds <= 1.26*backlog.Seconds(), "Retry-After %v", seconds)
}
