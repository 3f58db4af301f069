package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

var (
	plainRoute  = route.Route{Name: "p", Prefix: "/p/", Kind: route.Idempotent, Services: []route.WeightedService{{Service: plainService, Weight: 1}}, MaxAttempts: 2}
	unsafeRoute = route.Route{Name: "u", Prefix: "/u/", Kind: route.NonIdempotent, Services: []route.WeightedService{{Service: plainService, Weight: 1}}}
	streamRoute = route.Route{Name: "s", Prefix: "/s/", Kind: route.Streaming, Resumable: true, MaxAttempts: 2, Services: []route.WeightedService{{Service: modelService, Weight: 1}}}
	onceRoute   = route.Route{Name: "o", Prefix: "/o/", Kind: route.Streaming, Services: []route.WeightedService{{Service: modelService, Weight: 1}}}
	adapterKey  = fleet.AdapterKey{Model: "m", Name: "a1"}
	forAdapter  = map[string]string{"Model": "m/a1", "Budget-Ms": "3000"}
)

// Guards against a stream that looks complete to the caller although the second
// server failed to resume it.
func TestFailedResumeDoesNotLookComplete(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	var calls atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		if calls.Add(1) > 1 {
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Write([]byte("id: 1\ndata: x\n\n"))
		rw.(http.Flusher).Flush()
		abortResponse()
	}
	setResident(w.serve(modelService, handler), adapterKey, 1)
	setResident(w.serve(modelService, handler), adapterKey, 1)
	resp := w.do(http.MethodPost, "/s/x", forAdapter)
	assert.Equal(t, calls.Load(), int32(2))
	assert.Equal(t, resp.status, http.StatusOK)
	assert.Assert(t, resp.err != nil, "the response must break off, got %q", resp.body)
}

// Guards against lost or duplicate events when a stream is resumed at another server,
// and against forwarding an incomplete event of the first server.
func TestStreamResumesAfterLastWholeEvent(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	var resumedAfter atomic.Value
	handler := func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		if id := r.Header.Get("Last-Event-Id"); id != "" {
			resumedAfter.Store(id)
			rw.Write([]byte("id: 2\ndata: y\n\n"))
			return
		}
		rw.Write([]byte("id: 1\ndata: x\n\nid: 2\nda"))
		rw.(http.Flusher).Flush()
		abortResponse()
	}
	setResident(w.serve(modelService, handler), adapterKey, 1)
	setResident(w.serve(modelService, handler), adapterKey, 1)
	resp := w.do(http.MethodPost, "/s/x", forAdapter)
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.body, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
	assert.Equal(t, resumedAfter.Load(), "1")
}

// Guards against running a stream again that may not be resumed.
func TestBrokenStreamRunsOnce(t *testing.T) {
	w := newTestGateway(t, onceRoute)
	var calls atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		markFromPlatform(rw, r)
		rw.Write([]byte("id: 1\ndata: x\n\n"))
		rw.(http.Flusher).Flush()
		abortResponse()
	}
	setResident(w.serve(modelService, handler), adapterKey, 1)
	setResident(w.serve(modelService, handler), adapterKey, 1)
	resp := w.do(http.MethodPost, "/o/x", forAdapter)
	assert.Assert(t, resp.err != nil)
	assert.Equal(t, calls.Load(), int32(1))
}

// Guards against running a non-idempotent request twice, and against forwarding a
// status from which the caller concludes that the request did not run.
func TestUnknownResultOfNonIdempotentRequest(t *testing.T) {
	for _, status := range []int{0, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		w := newTestGateway(t, unsafeRoute)
		var calls atomic.Int32
		handler := func(rw http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			if status == 0 {
				abortResponse()
			}
			markFromPlatform(rw, r)
			rw.WriteHeader(status)
		}
		w.serve(plainService, handler)
		w.serve(plainService, handler)
		resp := w.do(http.MethodPost, "/u/x", nil)
		assert.Equal(t, resp.status, http.StatusBadGateway)
		assert.Equal(t, calls.Load(), int32(1))
		assert.Equal(t, resp.header.Get("Stamp"), "", "a changed status must not bear the mark of a server")
	}
}

// Guards against failing a request although the first endpoint has proved that it did
// not run it and another one can.
func TestNotRunGoesToAnotherEndpoint(t *testing.T) {
	w := newTestGateway(t, unsafeRoute)
	var calls atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		if calls.Add(1) == 1 {
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rw.Write([]byte("done"))
	}
	w.serve(plainService, handler)
	w.serve(plainService, handler)
	resp := w.do(http.MethodPost, "/u/x", nil)
	assert.Equal(t, resp.status, http.StatusOK)
	assert.Equal(t, resp.body, "done")
}

// Guards against relaying a successful response that does not come from a server of
// the platform.
func TestSuccessWithoutStampIsNotDelivered(t *testing.T) {
	w := newTestGateway(t, unsafeRoute)
	w.serve(plainService, func(rw http.ResponseWriter, _ *http.Request) { rw.Write([]byte("other")) })
	assert.Equal(t, w.do(http.MethodPost, "/u/x", nil).status, http.StatusBadGateway)
}

// Guards against a request that exceeds the timeout of its route, and against an
// endpoint that continues to work on it.
func TestRouteTimeout(t *testing.T) {
	r := unsafeRoute
	r.Timeout = 100 * time.Millisecond
	w := newTestGateway(t, r)
	gone := make(chan struct{})
	w.serve(plainService, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(gone)
	})
	assert.Equal(t, w.do(http.MethodPost, "/u/x", nil).status, http.StatusGatewayTimeout)
	select {
	case <-gone:
	case <-time.After(2 * time.Second):
		t.Fatal("the endpoint still works on the request")
	}
}

// Guards against responding with 404 or 200 before a configuration is known.
func TestNoConfigurationIsNotRun(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	w.gateway.control.snapshot.Store(fleet.NewDirectory().Snapshot())
	resp := w.do(http.MethodGet, "/p/x", nil)
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Assert(t, resp.header.Get("Retry-After") != "")
}

// Guards against running a request on an older version of its adapter once
// fleet.VersionGrace has passed.
func TestOldVersionIsNotUsed(t *testing.T) {
	w := newTestGateway(t, onceRoute)
	e := w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		rw.Write([]byte("id: 1\n\n"))
	})
	setResident(e, adapterKey, 1)
	w.directory.SetVersion(time.Now().Add(-fleet.VersionGrace), fleet.AdapterVersion{Model: "m", Adapter: "a1", Version: 2})
	w.publish()
	resp := w.do(http.MethodPost, "/o/x", map[string]string{"Model": "m/a1", "Budget-Ms": "300"})
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	setResident(e, adapterKey, 2)
	assert.Equal(t, w.do(http.MethodPost, "/o/x", forAdapter).status, http.StatusOK)
}

// Guards against starting a stream so late in a shutdown that it might be cut off.
func TestNoNewStreamsLateInAStop(t *testing.T) {
	w := newTestGateway(t, onceRoute)
	setResident(w.serve(modelService, func(http.ResponseWriter, *http.Request) { t.Error("the stream was started") }), adapterKey, 1)
	w.gateway.closing.Store(true)
	assert.Equal(t, w.do(http.MethodPost, "/o/x", forAdapter).status, http.StatusServiceUnavailable)
}

// Guards against waiting for a server on a frozen VM while another server could
// respond.
func TestRepeatableStreamLeavesALostServer(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	frozen := make(chan struct{})
	var calls atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			close(frozen)
			<-r.Context().Done()
			return
		}
		markFromPlatform(rw, r)
		rw.Write([]byte("id: 1\ndata: x\n\n"))
	}
	first := w.serve(modelService, handler)
	setResident(first, adapterKey, 1)
	go func() {
		<-frozen
		first.Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now(), Down: true})
		for _, e := range w.gateway.control.snapshot.Load().Services[modelService] {
			if e.ID != first.ID {
				setResident(e, adapterKey, 1)
			}
		}
	}()
	w.serve(modelService, handler)
	resp := w.do(http.MethodPost, "/s/x", forAdapter)
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.status, http.StatusOK)
	assert.Equal(t, calls.Load(), int32(2))
}

// Guards against running a stream again that ended at the moment at which its server
// was abandoned as lost, and against taking any other cause for a caller that is gone.
func TestCauseKeepsEarlierEnds(t *testing.T) {
	for _, cause := range []endcause.Cause{endcause.ServerLost, endcause.Stalled, endcause.Deadline, endcause.Stopped} {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(cause)
		cancel(endcause.CallerGone)
		for _, end := range []retry.Result{retry.Answered, retry.NotRun, retry.Unknown} {
			got := withCause(ctx, result{end: end})
			assert.Equal(t, got.end, end)
			assert.Equal(t, got.cause, cause)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	assert.Equal(t, withCause(ctx, result{end: retry.Unknown}).end, retry.Unknown)
	cancel()
	assert.Equal(t, withCause(ctx, result{end: retry.Unknown}).end, retry.CallerGone)
}

// Guards against callers that disconnect before the final response while a server on
// a frozen VM still has their requests: the server then sees them disconnect without
// notice. Found with the Tokachi deployment, deploy/days/side-machines.toml --vary
// --seed 334900643013.
func TestStreamIsAnsweredBeforeItsCallerLeaves(t *testing.T) {
	w := newTestGateway(t, onceRoute)
	stop := make(chan struct{})
	e := w.serve(modelService, func(http.ResponseWriter, *http.Request) { <-stop })
	defer close(stop)
	setResident(e, adapterKey, 1)
	const budget = time.Second
	began := time.Now()
	r := w.do(http.MethodPost, "/o/x", map[string]string{"Model": "m/a1", "Budget-Ms": "1000"})
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < budget, "answered after %v", time.Since(began))
}
