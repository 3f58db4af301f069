package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/pkg/service"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
	"github.com/fescuecourse/fescuecourse/standin/rawanswer"
	fakeservice "github.com/fescuecourse/fescuecourse/standin/service"
	"github.com/fescuecourse/fescuecourse/standin/weightstore"
)

// Tests of answers that are broken run on real processes, on each kind of route:
//
//   - a routed entry before a plain server and a model server with its sidecar, and
//   - an entry before endpoint processes of a service and of an engine.

const (
	// answerMemoryMB is the memory of the VM of each process.
	answerMemoryMB = 256
	// uploadBytes is the size of a body that does not fit into the buffers of a connection, and
	// bundleUploadBytes that of one that entries of bundles allow.
	uploadBytes       = 12 << 20
	bundleUploadBytes = 2900 << 10
	// answerTimeout is the time for which callers wait. It only bounds the wait of a process that
	// does not see that an answer is broken.
	answerTimeout = 2 * time.Second
)

// answerRoute is a route to a server whose answers are given.
type answerRoute struct {
	name   string
	server *rawanswer.Server
	// content is what a sound answer holds.
	content content
	// once is true if a request of the route runs at most once.
	once bool
	// ask sends a request, with a large body if asked to, and reads the response.
	ask func(ctx context.Context, large bool) callerResponse
}

// callerResponse is what a caller gets.
type callerResponse struct {
	status int
	body   string
	// outcome is what an entry of bundles says about the request.
	outcome string
	err     error
}

// taken reports whether a caller takes the response for that of a server.
func (r callerResponse) taken() bool {
	if r.outcome != "" {
		return r.outcome == "answered"
	}
	return r.err == nil && r.status < http.StatusInternalServerError
}

// refused reports whether a caller concludes from the response that its request did not run.
func (r callerResponse) refused() bool {
	return r.outcome == "not-run" || r.outcome == "" && r.status == http.StatusServiceUnavailable
}

func (r callerResponse) String() string {
	return fmt.Sprintf("status %d, outcome %q, body %.200q, error %v", r.status, r.outcome, r.body, r.err)
}

// do sends a request on a connection of its own.
func do(req *http.Request) callerResponse {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r := callerResponse{status: resp.StatusCode, body: string(body), err: err, outcome: resp.Header.Get("Fescue-Outcome")}
	if trailer := resp.Trailer.Get("Fescue-Outcome"); trailer != "" {
		r.outcome = trailer
	}
	return r
}

// askUntilReached sends requests of a route until one has reached the server, which gives the answer
// to it, and returns the response to that one.
func (r *answerRoute) askUntilReached(t *testing.T, a *rawanswer.Answer) (got callerResponse) {
	t.Helper()
	r.server.Set(a)
	defer r.server.Set(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got = r.ask(t.Context(), a.Early)
		if r.server.Answered() == 0 {
			return poll.Continue("not sent: %s", got)
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit), poll.WithDelay(20*time.Millisecond))
	if r.once {
		assert.Check(t, r.server.Answered() == 1, "the request ran %d times", r.server.Answered())
	}
	return got
}

// checkForms checks that no caller takes an answer of the given forms for that of a server, or is
// told that its request did not run.
func checkForms(t *testing.T, routes []answerRoute, forms []answerForm) {
	t.Helper()
	for i := range routes {
		r := &routes[i]
		t.Run(r.name, func(t *testing.T) {
			for _, f := range forms {
				a := f.build(r.content)
				got := r.askUntilReached(t, &a)
				assert.Check(t, !got.taken(), "%s: taken for a whole answer: %s", f.name, got)
				assert.Check(t, !got.refused(), "%s: said not to have run: %s", f.name, got)
			}
		})
	}
}

// checkSound checks that callers get answers that are not broken.
func checkSound(t *testing.T, routes []answerRoute) {
	t.Helper()
	for i := range routes {
		r := &routes[i]
		t.Run(r.name, func(t *testing.T) {
			for _, f := range soundForms {
				a := f.build(r.content)
				got := r.askUntilReached(t, &a)
				assert.Check(t, got.taken() && strings.Contains(got.body, "stand-in"), "%s: %s", f.name, got)
			}
		})
	}
}

// checkAnswers runs the checks of all forms.
func checkAnswers(t *testing.T, routes []answerRoute) {
	t.Run("sound", func(t *testing.T) { checkSound(t, routes) })
	t.Run("unframed", func(t *testing.T) { checkForms(t, routes, unframedForms) })
	t.Run("status", func(t *testing.T) { checkForms(t, routes, statusForms) })
	t.Run("field", func(t *testing.T) { checkForms(t, routes, fieldForms) })
	t.Run("framing", func(t *testing.T) {
		checkForms(t, slices.DeleteFunc(slices.Clone(routes), func(r answerRoute) bool { return r.content.marked }), framingForms)
	})
	t.Run("head", func(t *testing.T) { checkForms(t, routes, cutHeadForms) })
}

// Guards against broken answers of servers that a routed entry passes on as whole ones: an early
// one without a length that ends with a reset, one with a status that is none, one with a field
// whose name is none, which may hide its framing, and one that is cut within its head.
func TestBrokenAnswersAtRoutedEntry(t *testing.T) {
	const idHeader = "X-Fescuecourse-Request-Id"
	var plain, model *rawanswer.Server
	d := newRoutedDeployment(t, routedOptions{
		memoryMB:     answerMemoryMB,
		maxBodyBytes: uploadBytes,
		beforePlain: func(next http.Handler) http.Handler {
			plain = rawanswer.New(next, idHeader, nil)
			return plain
		},
		beforeModel: func(next http.Handler) http.Handler {
			model = rawanswer.New(next, idHeader, nil)
			return model
		},
	})
	d.timeout = answerTimeout
	const fields = "X-Fescuecourse-Server-Stamp: x\r\n" + idHeader + ": {id}\r\n"
	text := content{fields: fields + "Content-Type: text/plain\r\n", body: "stand-in", part: "stand-in"}
	events := content{fields: fields + "Content-Type: text/event-stream\r\n", body: "id: 1\ndata: stand-in\n\n", part: "id: 1\ndata: stand-in\n\n"}
	route := func(path string, server *rawanswer.Server, c content, once bool) answerRoute {
		return answerRoute{name: strings.Trim(path, "/x"), server: server, content: c, once: once, ask: func(ctx context.Context, large bool) callerResponse {
			req, err := d.request(ctx, path, bytes.NewReader(requestBody(large, uploadBytes)))
			assert.NilError(t, err)
			return do(req)
		}}
	}
	checkAnswers(t, []answerRoute{
		route("/plain/x", plain, text, false),
		route("/unsafe/x", plain, text, true),
		route("/model/x", model, text, false),
		route("/stream/x", model, events, false),
		route("/once/x", model, events, true),
	})
}

// requestBody returns a small body of a request, or one of the given size.
func requestBody(large bool, size int) []byte {
	if large {
		return bytes.Repeat([]byte("x"), size)
	}
	return []byte("ordinary")
}

// Guards against broken answers of services and engines that an endpoint process takes for whole
// ones, in the forms of TestBrokenAnswersAtRoutedEntry.
func TestBrokenAnswersAtEndpointProcess(t *testing.T) {
	d := newSystems(t)
	engine := fakeengine.New(fakeengine.Options{BaseModel: baseModel, Slots: 2, Positions: 8, Weights: weightstore.New(100, nil)})
	model := rawanswer.New(engine.Handler(), service.HeaderRequestID, func(r *http.Request) bool { return r.URL.Path == "/v1/completions" })
	plain := rawanswer.New(fakeservice.New(time.Millisecond, nil).Handler(), service.HeaderRequestID, nil)
	d.startEndpoint("model-1", "model", baseModel, d.serve(model))
	d.startEndpoint("desk-1", "service", "desk", d.serve(plain))
	d.startEntry("entry-1")
	document := content{fields: "Content-Type: application/json\r\n", body: `{"sold":"stand-in"}`, part: `{"sold":"stand-in"}`}
	event := fmt.Sprintf(`{"id":"c","object":"text_completion","created":1,"model":"tokachi/a0@1","choices":[{"index":0,"text":%q,"finish_reason":null}]}`, "stand-in")
	events := content{fields: "Content-Type: text/event-stream\r\n", body: "data: " + event + "\n\ndata: [DONE]\n\n", part: "data: " + event + "\n\n", marked: true}
	routes := []answerRoute{
		{name: "service", server: plain, content: document, ask: d.askService("true")},
		{name: "service-once", server: plain, content: document, once: true, ask: d.askService("false")},
		{name: "stream", server: model, content: events, ask: d.askModel(true)},
		{name: "completion", server: model, content: events, ask: d.askModel(false)},
	}
	checkAnswers(t, routes)
}

// askEntry sends a request of the team to the first entry.
func (d *deployment) askEntry(ctx context.Context, path string, body []byte, idempotent string) callerResponse {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entries[0].address+path, bytes.NewReader(body))
	assert.NilError(d.t, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Fescue-Deadline-Ms", strconv.FormatInt(answerTimeout.Milliseconds(), 10))
	if idempotent != "" {
		req.Header.Set("Fescue-Idempotent", idempotent)
	}
	return do(req)
}

func (d *deployment) askService(idempotent string) func(context.Context, bool) callerResponse {
	return func(ctx context.Context, large bool) callerResponse {
		return d.askEntry(ctx, "/v1/services/desk/x", requestBody(large, bundleUploadBytes), idempotent)
	}
}

func (d *deployment) askModel(stream bool) func(context.Context, bool) callerResponse {
	return func(ctx context.Context, large bool) callerResponse {
		body, err := json.Marshal(map[string]any{"model": "tokachi/a0", "stream": stream, "prompt": string(requestBody(large, bundleUploadBytes))})
		assert.NilError(d.t, err)
		return d.askEntry(ctx, "/v1/completions", body, "")
	}
}
