package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// resumption has the headers of a request that resumes the stream of request r1.
var resumption = map[string]string{"Id": "r2", "Resumes": "r1", "Last-Event-Id": "1", "Model": "m/a1", "Budget-Ms": "3000"}

// serveVersion starts a model server that runs the given software version and holds
// the adapter.
func (w *testGateway) serveVersion(version string, h http.HandlerFunc) *fleet.Endpoint {
	w.t.Helper()
	e := w.serve(modelService, h)
	item := *e
	item.SoftwareVersion = version
	w.directory.SetEndpoint(item)
	w.publish()
	for _, e := range w.gateway.control.snapshot.Load().Services[modelService] {
		if e.ID == item.ID {
			setResident(e, adapterKey, 1)
			return e
		}
	}
	return nil
}

// eventAfter responds with the one event that follows Last-Event-Id and ends the
// stream. Its data is the given version.
func eventAfter(version string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		id := "1"
		if r.Header.Get("Last-Event-Id") != "" {
			id = "2"
		}
		_, _ = rw.Write([]byte("id: " + id + "\ndata: " + version + "\n\n"))
	}
}

// breakAfterFirst sends the first event of a stream and breaks off. It resumes no
// stream: such a request counts as an unexpected run.
func breakAfterFirst(version string, resumed *atomic.Int32) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		if r.Header.Get("Last-Event-Id") != "" {
			resumed.Add(1)
			_, _ = rw.Write([]byte("id: 2\ndata: " + version + "\n\n"))
			return
		}
		_, _ = rw.Write([]byte("id: 1\ndata: " + version + "\n\n"))
		_ = http.NewResponseController(rw).Flush()
		abortResponse()
	}
}

// Guards against a stream that holds events of two software versions because an entry
// that has never seen it resumes it at any server. The case without Resumes is the same
// with a caller that does not name the request that began the stream.
func TestUnknownStreamIsNotResumedBesideAnotherVersion(t *testing.T) {
	for name, resumes := range map[string]string{"named": "r1", "not named": ""} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t, streamRoute)
			w.serveVersion("v1", eventAfter("v1"))
			w.serveVersion("v2", eventAfter("v2"))
			header := map[string]string{"Id": "r2", "Resumes": resumes, "Last-Event-Id": "1", "Model": "m/a1", "Budget-Ms": "3000"}
			began := time.Now()
			resp := w.do(http.MethodPost, "/s/x", header)
			assert.NilError(t, resp.err)
			assert.Equal(t, resp.status, http.StatusServiceUnavailable, "%s", resp.body)
			assert.Assert(t, time.Since(began) < time.Second, "refused after %s", time.Since(began))
		})
	}
}

// Guards against a stream that holds events of two software versions because its server
// broke off and only a server of another version is left.
func TestBrokenStreamDoesNotMoveToAnotherVersion(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	var resumed atomic.Int32
	w.serveVersion("v1", breakAfterFirst("v1", &resumed))
	other := w.serveVersion("v2", func(rw http.ResponseWriter, r *http.Request) {
		resumed.Add(1)
		eventAfter("v2")(rw, r)
	})
	other.Runtime.RecordFailure(time.Now()) // makes the choice prefer the first server
	resp := w.do(http.MethodPost, "/s/x", forAdapter)
	assert.Assert(t, resp.err != nil, "the response must break off, got %q", resp.body)
	assert.Equal(t, resumed.Load(), int32(0))
}

// Guards against a stream that moves to another software version although a server of
// its own version could continue it.
func TestBrokenStreamContinuesAtItsVersion(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	var resumed atomic.Int32
	w.serveVersion("v1", breakAfterFirst("v1", &resumed))
	same := w.serveVersion("v1", breakAfterFirst("v1", &resumed))
	same.Runtime.RecordFailure(time.Now())
	other := w.serveVersion("v2", func(http.ResponseWriter, *http.Request) { t.Error("sent to another software version") })
	// The first server is preferred; of the other two, the one of the wrong version is.
	same.Runtime.RecordFailure(time.Now())
	other.Runtime.RecordFailure(time.Now())
	resp := w.do(http.MethodPost, "/s/x", forAdapter)
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.body, "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n")
}

// Guards against resuming a stream at another software version than the one that began
// it although this entry forwarded its first event.
func TestOwnStreamIsResumedAtItsVersion(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	first := w.serveVersion("v1", eventAfter("v1"))
	other := w.serveVersion("v2", eventAfter("v2"))
	other.Runtime.RecordFailure(time.Now())
	assert.Equal(t, w.do(http.MethodPost, "/s/x", forAdapter).body, "id: 1\ndata: v1\n\n")
	for range 3 {
		first.Runtime.RecordFailure(time.Now()) // makes the choice prefer the other server
	}
	assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).body, "id: 2\ndata: v1\n\n")
}

// Guards against waiting for a version of which no server is left, and against naming a
// time after which the stream could go on.
func TestStreamOfAVersionThatIsGoneIsRefusedAtOnce(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	first := w.serveVersion("v1", eventAfter("v1"))
	assert.Equal(t, w.do(http.MethodPost, "/s/x", forAdapter).body, "id: 1\ndata: v1\n\n")
	w.serveVersion("v2", eventAfter("v2"))
	w.directory.RemoveEndpoint(time.Now(), first.ID)
	w.publish()
	resp := w.do(http.MethodPost, "/s/x", resumption)
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Equal(t, resp.header.Get("Retry-After"), "")
}

// Guards against refusing streams whose record is lost where all servers, also those
// that have left recently, run the same software version.
func TestUnknownStreamIsResumedAtTheOnlyVersion(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	w.serveVersion("v1", eventAfter("v1"))
	gone := w.serveVersion("v1", eventAfter("v1"))
	w.directory.RemoveEndpoint(time.Now(), gone.ID)
	w.publish()
	assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).body, "id: 2\ndata: v1\n\n")
}

// Guards against taking the version that is left for the only one while streams of a
// version whose servers have just left are resumed.
func TestUnknownStreamIsNotResumedAfterItsVersionLeft(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	gone := w.serveVersion("v1", eventAfter("v1"))
	w.serveVersion("v2", eventAfter("v2"))
	w.directory.RemoveEndpoint(time.Now(), gone.ID)
	w.publish()
	assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).status, http.StatusServiceUnavailable)
}

// Guards against breaking a stream off because its server is silent where no other
// server of its version could continue it.
func TestSilentServerKeepsAStreamThatCannotMove(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	reported := make(chan struct{})
	first := w.serveVersion("v1", func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		_, _ = rw.Write([]byte("id: 1\ndata: v1\n\n"))
		_ = http.NewResponseController(rw).Flush()
		close(reported)
		time.Sleep(3 * watchInterval)
		_, _ = rw.Write([]byte("id: 2\ndata: v1\n\n"))
	})
	other := w.serveVersion("v2", func(http.ResponseWriter, *http.Request) { t.Error("sent to another software version") })
	other.Runtime.RecordFailure(time.Now())
	go func() {
		<-reported
		first.Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now(), Down: true})
	}()
	resp := w.do(http.MethodPost, "/s/x", forAdapter)
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.body, "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n")
}

// Guards against resuming a stream at another service because the services of a route
// are chosen by the id of the request, which is new for each resumption.
func TestResumedStreamStaysWithItsService(t *testing.T) {
	r := streamRoute
	r.Services = []route.WeightedService{{Service: plainService, Weight: 1}, {Service: modelService, Weight: 1}}
	w := newTestGateway(t, r)
	w.serveVersion("v1", eventAfter("model"))
	w.serve(plainService, eventAfter("plain"))
	began := w.do(http.MethodPost, "/s/x", forAdapter).body
	for _, id := range []string{"r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		header := map[string]string{"Id": id, "Resumes": "r1", "Last-Event-Id": "1", "Model": "m/a1", "Budget-Ms": "3000"}
		body := w.do(http.MethodPost, "/s/x", header).body
		assert.Equal(t, body, "id: 2\n"+began[len("id: 1\n"):])
	}
}
