package entry

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// Guards against a request that is taken so late in a shutdown that it is cut off at its end: on a
// connection that was opened before, it may come at any time.
func TestNoRequestThatTheStopWouldCutOff(t *testing.T) {
	b := newTestBed(t, fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, []script{answer(1, true, nil)})
	cutOff := time.Now().Add(10 * time.Second)
	b.e.cutOff.Store(&cutOff)
	late := b.post(t, "/v1/completions", `{"model":"`+testAdapter+`","prompt":"x"}`, headerDeadline, "11000")
	assert.Equal(t, late.status, http.StatusServiceUnavailable)
	assert.Equal(t, late.outcome, ident.NotRun.String())
	assert.Assert(t, late.retryAfter != "")
	assert.Equal(t, b.fake[0].attempts(), 0)
	inTime := b.post(t, "/v1/completions", `{"model":"`+testAdapter+`","prompt":"x"}`, headerDeadline, "9000")
	assert.Equal(t, inTime.status, http.StatusOK, inTime.body)
}

// Guards against an entry that closes idle connections as soon as its shutdown
// begins. Callers that the load balancer had not moved yet lost requests on these
// connections.
func TestStopKeepsIdleConnectionsWhileUnready(t *testing.T) {
	set := Settings{ID: "entry-1", Zone: "a", Listen: "127.0.0.1:0", VMList: "127.0.0.1:1", UnreadyDelay: 3 * time.Second, DrainTimeout: time.Minute}
	e, err := New(set, &rollout.Holder{}, logging.Nop())
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	<-e.Ready()
	idle, err := net.Dial("tcp", e.Addr())
	assert.NilError(t, err)
	defer idle.Close()
	in := bufio.NewReader(idle)
	get := func() *http.Response {
		_, err := idle.Write([]byte("GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n"))
		assert.NilError(t, err)
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		resp.Body.Close()
		return resp
	}
	assert.Assert(t, !get().Close)
	stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !e.stopping.Load() {
			return poll.Continue("not stopping yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	assert.Assert(t, get().Close, "the caller is not told to reconnect")
	assert.NilError(t, <-ended)
}
