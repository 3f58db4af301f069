package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

// panicFilter is a filter that panics, after it has marked the request as sent or before.
type panicFilter struct{ sent bool }

func (f panicFilter) do(_ context.Context, x *exchange, _ next) *failure {
	if f.sent {
		x.sends++
		x.settlement.MarkSent()
	}
	panic("fault in a filter")
}

// Guards against a panic that cuts the connection of a caller without an answer, a count or a
// line in the log, and against "not run" for a request that was sent.
func TestPanicInAFilterIsAnsweredAndCounted(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	for sent, want := range map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusBadGateway} {
		w.gateway.handle = chain(routeFilter{w.gateway}, panicFilter{sent})
		before := invariant.Violations()
		resp := w.do(http.MethodPost, "/p/x", nil)
		assert.NilError(t, resp.err)
		assert.Equal(t, resp.status, want, resp.body)
		assert.Equal(t, invariant.Violations(), before+1)
	}
}

// leaveFilter sends a request to an endpoint whose caller leaves just before.
type leaveFilter struct {
	endpoint *fleet.Endpoint
	leave    context.CancelCauseFunc
}

func (f leaveFilter) do(ctx context.Context, x *exchange, next next) *failure {
	x.endpoint = f.endpoint
	f.leave(endcause.CallerGone)
	fail := next(ctx, x)
	x.history.Record(x.result.end)
	return fail
}

// Guards against the outcome "unknown" for a request that was never sent: its caller left while the
// entry opened a connection to the server. Found by fescuectl soak -seed 9200 -duration 14s.
func TestCallerWhoLeavesBeforeTheSendHasNotRun(t *testing.T) {
	w := newTestGateway(t, unsafeRoute)
	ctx, leave := context.WithCancelCause(t.Context())
	e := w.serve(plainService, ok)
	w.gateway.handle = chain(routeFilter{w.gateway}, leaveFilter{e, leave}, sendFilter{w.gateway})
	r := httptest.NewRequest(http.MethodPost, "http://h.example/u/x", http.NoBody).WithContext(ctx)
	r.Header.Set("Id", "r1")
	x := &exchange{w: httptest.NewRecorder(), r: r, started: time.Now()}
	before := invariant.Violations()
	w.gateway.settle(x, w.gateway.handleSafely(ctx, x))
	assert.Equal(t, x.sends, 1)
	assert.Equal(t, x.settlement.Outcome(), ident.NotRun)
	assert.Equal(t, invariant.Violations(), before)
}
