package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// begunStream is a server whose streams break off after two events.
func begunStream(w http.ResponseWriter, r *http.Request) {
	markFromPlatform(w, r)
	w.Header().Set("Content-Type", eventStreamType)
	fmt.Fprint(w, begunEvents)
	w.(http.Flusher).Flush()
	abortResponse()
}

// serveBegun starts a server whose streams break off and another one, which is chosen after it.
func serveBegun(w *testGateway, next http.HandlerFunc) {
	var second *fleet.Endpoint
	first := w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		setResident(second, adapterKey, 1)
		begunStream(rw, r)
	})
	second = w.serve(modelService, next)
	setResident(first, adapterKey, 1)
}

const begunEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// Guards against a response that does not continue a stream and reaches the caller in the middle of
// it, or ends it as if it were complete: an error, a page, a head within a body, events that the
// caller has already.
func TestResponseThatContinuesNoStreamIsNotRelayed(t *testing.T) {
	bodies := map[string]string{
		"empty":             "",
		"json":              `{"error":"busy"}`,
		"json line":         "{\"error\": \"busy\"}\n\n",
		"text":              "upstream connect error: reset\n\n",
		"page":              "<html>\n\n<body>error</body>\n\n",
		"head":              "HTTP/1.1 503 Busy\r\nContent-Type: text/plain\r\n\r\nbusy\n\n",
		"field without id":  "error: busy\n\n",
		"earlier event":     "id: 1\ndata: again\n\nid: 2\ndata: again\n\n",
		"the same event":    "id: 2\ndata: again\n\n",
		"event, then error": "id: 3\ndata: c\n\n{\"error\":\"busy\"}\n\n",
	}
	types := []string{eventStreamType, "application/json", "text/plain; charset=utf-8", "text/html", ""}
	for _, status := range []int{200, 201, 204, 206, 300, 302, 400, 404, 409, 421, 429, 500, 502, 503, 504} {
		for name, body := range bodies {
			for _, contentType := range types {
				if status != http.StatusOK && name != "json" {
					continue
				}
				if name == "empty" && (contentType == eventStreamType || contentType == "") {
					continue // all events may have been sent before
				}
				t.Run(fmt.Sprintf("%d %s %q", status, name, contentType), func(t *testing.T) {
					t.Parallel()
					w := newTestGateway(t, streamRoute)
					serveBegun(w, func(rw http.ResponseWriter, r *http.Request) {
						markFromPlatform(rw, r)
						rw.Header()["Content-Type"] = nil
						if contentType != "" {
							rw.Header().Set("Content-Type", contentType)
						}
						rw.WriteHeader(status)
						_, _ = io.WriteString(rw, body) // some statuses have none
					})
					resp := w.do(http.MethodPost, "/s/x", forAdapter)
					assert.Assert(t, resp.err != nil, "the stream looks complete: %q", resp.body)
					want := begunEvents
					if name == "event, then error" && (contentType == eventStreamType || contentType == "") {
						want += "id: 3\ndata: c\n\n"
					}
					assert.Equal(t, resp.body, want)
				})
			}
		}
	}
}

// Guards against text without the end of an event that is passed on as the end of a stream whose
// server did not declare events.
func TestTextIsNotTheEndOfAResumedStream(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	var second *fleet.Endpoint
	first := w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		setResident(second, adapterKey, 1)
		markFromPlatform(rw, r)
		fmt.Fprint(rw, begunEvents)
		rw.(http.Flusher).Flush()
		abortResponse()
	})
	second = w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		fmt.Fprint(rw, "busy")
	})
	setResident(first, adapterKey, 1)
	resp := w.do(http.MethodPost, "/s/x", forAdapter)
	assert.Assert(t, resp.err != nil, "the stream looks complete")
	assert.Equal(t, resp.body, begunEvents)
}

// Guards against a response of another process at the address of a server, such as the store or a
// plain service, that continues a stream.
func TestResponseOfAnotherProcessContinuesNoStream(t *testing.T) {
	rows := map[string]http.HandlerFunc{
		"no stamp": func(rw http.ResponseWriter, r *http.Request) { rw.Header().Set("Id", r.Header.Get("Id")) },
		"no id":    func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Stamp", "x") },
		"another id": func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Stamp", "x")
			rw.Header().Set("Id", "other")
		},
		"neither": func(http.ResponseWriter, *http.Request) {},
	}
	for name, mark := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestGateway(t, streamRoute)
			serveBegun(w, func(rw http.ResponseWriter, r *http.Request) {
				mark(rw, r)
				rw.Header().Set("Content-Type", "application/json")
				fmt.Fprint(rw, `{"items":[],"truncated":false}`)
			})
			resp := w.do(http.MethodPost, "/s/x", forAdapter)
			assert.Assert(t, resp.err != nil, "the stream looks complete: %q", resp.body)
			assert.Equal(t, resp.body, begunEvents)
		})
	}
}

// Guards against a head of a response within the body of a stream that reaches the caller as an
// event: a server that fails in the middle may write its error there.
func TestHeadWithinAStreamIsNotRelayed(t *testing.T) {
	for _, tail := range []string{
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n",
		"{\"error\":\"x\"}\n\n",
	} {
		w := newTestGateway(t, onceRoute)
		e := w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
			markFromPlatform(rw, r)
			rw.Header().Set("Content-Type", eventStreamType)
			fmt.Fprint(rw, begunEvents)
			rw.(http.Flusher).Flush()
			fmt.Fprint(rw, tail)
		})
		setResident(e, adapterKey, 1)
		resp := w.do(http.MethodPost, "/o/x", forAdapter)
		assert.Assert(t, resp.err != nil, "the stream looks complete")
		assert.Equal(t, resp.body, begunEvents)
	}
}

// Guards against a stream that breaks off before an event with an id and is run from its beginning
// again, after the part that the caller has.
func TestStreamWithoutIdsIsNotRunAgain(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	runs := 0
	for range 2 {
		e := w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
			runs++
			markFromPlatform(rw, r)
			rw.Header().Set("Content-Type", eventStreamType)
			fmt.Fprint(rw, "data: a\n\n")
			rw.(http.Flusher).Flush()
			abortResponse()
		})
		setResident(e, adapterKey, 1)
	}
	resp := w.do(http.MethodPost, "/s/x", forAdapter)
	assert.Assert(t, resp.err != nil)
	assert.Equal(t, resp.body, "data: a\n\n")
	assert.Equal(t, runs, 1)
}

// Guards against events of a stream that are held back because of fields or line ends that the
// syntax of event streams allows.
func TestEventsOfAnySyntaxContinueAStream(t *testing.T) {
	for _, rest := range []string{
		"id: 3\ndata: c\n\n",
		"id:3\r\ndata:c\r\n\r\n",
		": comment\n\nid: 3\ndata\n\n",
		"x-weight-versions: 4\nid: 3\nevent: token\nretry: 10\ndata: c: d\n\n",
		"data: {\"error\": 1}\nid: 3\n\ndata: no id\n\n",
	} {
		w := newTestGateway(t, streamRoute)
		serveBegun(w, func(rw http.ResponseWriter, r *http.Request) {
			markFromPlatform(rw, r)
			rw.Header().Set("Content-Type", eventStreamType+"; charset=utf-8")
			fmt.Fprint(rw, rest)
		})
		resp := w.do(http.MethodPost, "/s/x", forAdapter)
		assert.NilError(t, resp.err)
		assert.Equal(t, resp.body, begunEvents+rest)
	}
}
