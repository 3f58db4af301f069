package gateway

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

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
