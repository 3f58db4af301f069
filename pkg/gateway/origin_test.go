package gateway

import (
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// resumption has the headers of a request that resumes the stream of request r1.
var resumption = map[string]string{"Id": "r2", "Resumes": "r1", "Last-Event-Id": "1", "Model": "m/a1", "Budget-Ms": "3000"}

// serveVersion starts a model server that runs the given software version and holds
// the adapter.
func (w *testGateway) serveVersion(version string, h http.HandlerFunc) *fleet.Endpoint {
	w.t.Helper()
	e := w.serveSoftware(modelService, version, h)
	setResident(e, adapterKey, 1)
	return e
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

// Guards against refusing a later resumption of a stream that continued because there was
// only one version, after a second one has appeared, at this entry and at others.
func TestStreamThatContinuedAtTheOnlyVersionIsRecorded(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	first := w.serveVersion("v1", eventAfter("v1"))
	assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).body, "id: 2\ndata: v1\n\n")
	other := w.serveVersion("v2", eventAfter("v2"))
	other.Runtime.RecordFailure(time.Now())
	again := maps.Clone(resumption)
	again["Id"] = "r3"
	assert.Equal(t, w.do(http.MethodPost, "/s/x", again).body, "id: 2\ndata: v1\n\n")
	origins, _ := w.gateway.origins.link(first).since(0)
	assert.Equal(t, len(origins), 1)
	assert.DeepEqual(t, origins[0].GetStreams(), []uint64{uint64(origin.ID("r1"))})
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

// record makes a sidecar keep the origin of the stream that request r1 began.
func (s *fakeSidecar) record(service, version string) {
	s.registry.Add(origin.Record{Stream: origin.ID("r1"), Origin: origin.Origin{Service: service, SoftwareVersion: version}, At: time.Now()})
}

// Guards against refusing or misplacing a stream whose entry is gone although a holder
// has its record, and against waiting for the holders that do not answer.
func TestStreamOfAnotherEntryIsResumedAtItsVersion(t *testing.T) {
	for holder := range 3 {
		w := newTestGateway(t, streamRoute)
		endpoints := []*fleet.Endpoint{w.serveVersion("v1", eventAfter("v1")), w.serveVersion("v2", eventAfter("v2")), w.serveVersion("v2", eventAfter("v2"))}
		for i, e := range endpoints {
			s := newFakeSidecar()
			w.connect(e, s)
			if i == holder {
				s.record(modelService, "v1")
			} else {
				s.unreachable.Store(true)
			}
		}
		for range 3 {
			endpoints[0].Runtime.RecordFailure(time.Now()) // makes the choice prefer the others
		}
		began := time.Now()
		assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).body, "id: 2\ndata: v1\n\n")
		assert.Assert(t, time.Since(began) < originTimeout, "took %s", time.Since(began))
	}
}

// Guards against continuing at the only version that an entry knows of while it can reach
// no holder: it may not have learned of another version yet. The caller may come back.
func TestEntryThatReachesNoHolderRefuses(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	for range 3 {
		s := newFakeSidecar()
		s.unreachable.Store(true)
		w.connect(w.serveVersion("v1", eventAfter("v1")), s)
	}
	began := time.Now()
	resp := w.do(http.MethodPost, "/s/x", resumption)
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Equal(t, resp.header.Get("Retry-After"), "0.3")
	assert.Assert(t, time.Since(began) < 2*originTimeout, "took %s", time.Since(began))
}

// Guards against taking the only version that an entry knows of for the only one of the
// service while a holder has seen streams begin at another one.
func TestVersionThatOnlyAHolderHasSeenCounts(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	s := newFakeSidecar()
	w.connect(w.serveVersion("v1", eventAfter("v1")), s)
	s.registry.Add(origin.Record{Stream: 1, Origin: origin.Origin{Service: modelService, SoftwareVersion: "v2"}, At: time.Now()})
	resp := w.do(http.MethodPost, "/s/x", resumption)
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Equal(t, resp.header.Get("Retry-After"), "", "no later answer can be another one")
}

// Guards against continuing a stream at another service after a configuration has
// changed the weights of its route, and at a service that the route no longer has.
func TestStreamFollowsItsServiceThroughAConfiguration(t *testing.T) {
	for split, want := range map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable} {
		r := streamRoute
		if split {
			r.Services = append([]route.WeightedService{{Service: plainService, Weight: 0}}, r.Services...)
		}
		w := newTestGateway(t, r)
		s := newFakeSidecar()
		w.connect(w.serveVersion("v1", eventAfter("v1")), s)
		w.serve(plainService, eventAfter("plain"))
		s.record(plainService, "")
		resp := w.do(http.MethodPost, "/s/x", resumption)
		assert.Equal(t, resp.status, want)
		if split {
			assert.Equal(t, resp.body, "id: 2\ndata: plain\n\n")
		}
	}
}

// Guards against records that no holder gets, and against records of streams that are
// resumed, whose later resumptions name the first request.
func TestFirstEventIsRecordedAtTheHolders(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	var links []*originLink
	for range 3 {
		e := w.serveVersion("v1", eventAfter("v1"))
		links = append(links, w.gateway.origins.link(e))
	}
	assert.Equal(t, w.do(http.MethodPost, "/s/x", forAdapter).status, http.StatusOK)
	assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).status, http.StatusOK)
	for _, l := range links {
		origins, _ := l.since(0)
		assert.Equal(t, len(origins), 1)
		assert.DeepEqual(t, origins[0].GetStreams(), []uint64{uint64(origin.ID("r1"))})
		assert.Equal(t, origins[0].GetSoftwareVersion(), "v1")
		assert.Equal(t, origins[0].GetService(), modelService)
	}
}

// Guards against an entry that has just started and refuses resumed streams although its
// connections to the holders are open a moment later.
func TestNewEntryWaitsForItsConnections(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	e := w.serveVersion("v1", eventAfter("v1"))
	w.serveVersion("v2", eventAfter("v2"))
	l := newOriginLink()
	w.gateway.control.originLinks.Store(e.Runtime, l)
	s := newFakeSidecar()
	s.record(modelService, "v1")
	time.AfterFunc(originTimeout/4, func() { l.connected(s) })
	assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).body, "id: 2\ndata: v1\n\n")
}

// Guards against taking the only version of the directory for the only one of the service
// although a stream of this entry began at another one.
func TestVersionThatOnlyThisEntryHasSeenCounts(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	w.serveVersion("v1", eventAfter("v1"))
	w.gateway.origins.registry.Add(origin.Record{Stream: 1, Origin: origin.Origin{Service: modelService, SoftwareVersion: "v2"}, At: time.Now()})
	assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).status, http.StatusServiceUnavailable)
}

// Guards against refusing the streams of a service with one version because one holder of
// three does not answer.
func TestOneSilentHolderDoesNotForbidTheOnlyVersion(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	for i := range 3 {
		s := newFakeSidecar()
		s.unreachable.Store(i == 0)
		w.connect(w.serveVersion("v1", eventAfter("v1")), s)
	}
	assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).body, "id: 2\ndata: v1\n\n")
}

// Guards against giving up a silent server for one that the request has tried already.
func TestExcludedServerIsNoAlternative(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	first := w.serveVersion("v1", eventAfter("v1"))
	w.serveVersion("v2", eventAfter("v2"))
	version := "v1"
	silent := w.serveVersion("v1", eventAfter("v1"))
	x := &exchange{service: &route.Service{Name: modelService}, route: &streamRoute, endpoint: silent, started: time.Now(), deadline: time.Now().Add(time.Minute)}
	x.call.Key = adapterKey
	x.software.Store(&version)
	assert.Assert(t, newMoveWatch(w.gateway, x).continuesElsewhere())
	x.excluded = []fleet.ID{first.ID}
	assert.Assert(t, !newMoveWatch(w.gateway, x).continuesElsewhere())
	w.serveVersion("v1", eventAfter("v1"))
	assert.Assert(t, newMoveWatch(w.gateway, x).continuesElsewhere())
}

// Guards against a Retry-After for a stream of whose version only servers are left that
// drain, which take no later request.
func TestDrainingServerIsNotLeft(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	first := w.serveVersion("v1", eventAfter("v1"))
	assert.Equal(t, w.do(http.MethodPost, "/s/x", forAdapter).body, "id: 1\ndata: v1\n\n")
	w.serveVersion("v2", eventAfter("v2"))
	item := *first
	item.State = fleet.Draining
	w.directory.SetEndpoint(time.Now(), item)
	w.publish()
	resp := w.do(http.MethodPost, "/s/x", resumption)
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Equal(t, resp.header.Get("Retry-After"), "")
}

// Guards against asking the holders again for each attempt of a request.
func TestOriginIsLookedUpOnceForAllAttempts(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	s := newFakeSidecar()
	s.record(modelService, "v1")
	var attempts atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) > 1 {
			eventAfter("v1")(rw, r)
			return
		}
		markFromPlatform(rw, r)
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	w.connect(w.serveVersion("v1", handler), s)
	w.serveVersion("v1", handler)
	assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).body, "id: 2\ndata: v1\n\n")
	assert.Equal(t, attempts.Load(), int32(2))
	assert.Equal(t, s.asked.Load(), int32(1))
}
