package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/membudget"
)

const (
	// retryAfterMemory is the Retry-After value when there is no memory for the body of a
	// request. Another entry may have it.
	retryAfterMemory = 100 * time.Millisecond
	// discardWait is how long a refusal waits for the body of the request, so that the
	// connection can stay open. Bodies usually arrive with the headers.
	discardWait = 10 * time.Millisecond
	// maxDiscardBytes is the largest body that is read for that.
	maxDiscardBytes = 256 << 10
	// lingerTime is how long the rest of the body of a refused request is read after the
	// response, so that a caller that is still writing does not lose the response.
	lingerTime = time.Second
)

// bodyFilter reads the whole request body, so that it can be sent more than once.
type bodyFilter struct{ g *Gateway }

func (f bodyFilter) do(ctx context.Context, x *exchange, next next) *failure {
	limit := int64(math.MaxInt64)
	if configured := x.table.Limits.MaxBodyBytes; configured > 0 {
		limit = configured
	}
	x.body = membudget.NewBuffer(f.g.memory.requests, x.r.ContentLength)
	defer x.body.Release()
	if x.r.ContentLength > limit {
		return tooLarge(x)
	}
	err := fillBefore(ctx, x, limit)
	switch {
	case err == nil:
		return next(ctx, x)
	case errors.Is(err, membudget.ErrTooLong):
		return tooLarge(x)
	case errors.Is(err, membudget.ErrNoBudget):
		f.g.metrics.noMemory.Inc(1)
		x.body.Release()
		refuseUnread(x)
		return notRun("no memory is left for the body", spread(retryAfterMemory))
	case endcause.Of(ctx) == endcause.Stopped:
		return stoppingFailure()
	case endcause.Of(ctx) != endcause.None && endcause.Of(ctx) != endcause.CallerGone:
		return notRun("the body did not arrive in time", retryAfterCapacity)
	default:
		return rejected(http.StatusBadRequest, "the body could not be read")
	}
}

func tooLarge(x *exchange) *failure {
	refuseUnread(x)
	return rejected(http.StatusRequestEntityTooLarge, "the body is too large")
}

// fillBefore reads the body until ctx ends.
func fillBefore(ctx context.Context, x *exchange, limit int64) error {
	rc := http.NewResponseController(x.w)
	stop := context.AfterFunc(ctx, func() {
		_ = rc.SetReadDeadline(time.Unix(1, 0)) // without a deadline, the read ends with the connection
	})
	defer stop()
	return x.body.Fill(x.r.Body, limit) //nolint:wrapcheck // the caller tells the errors apart
}

// releaseBody gives the memory of the body back if no other attempt can need it, once an attempt
// may have run.
func (x *exchange) releaseBody() {
	if !x.repeatable() || x.sends >= x.route.MaxAttempts {
		x.body.Release()
	}
}

// refuseUnread prepares a refusal of a request whose body was not read.
func refuseUnread(x *exchange) {
	if x.r.ContentLength == 0 {
		return
	}
	x.unread = true
	x.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(x.w).EnableFullDuplex() // without it, net/http reads a part of the body before it responds
}

// linger reads the rest of the body of a refused request for a while after the response. A
// connection that is closed before is reset, and the caller may lose the response.
func (x *exchange) linger() {
	if !x.unread {
		return
	}
	rc := http.NewResponseController(x.w)
	_ = rc.Flush() // the caller may be gone
	_ = rc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, x.r.Body) // nothing depends on the rest
}

// discardBody reads the body of a refused request if it is there. Otherwise the connection is
// closed after the response: net/http would not send the response before it has read the body.
func discardBody(x *exchange) {
	rc := http.NewResponseController(x.w)
	if x.r.ContentLength == 0 {
		return
	}
	_ = rc.SetReadDeadline(time.Now().Add(discardWait)) // without a deadline, the read ends with the request
	_, err := io.CopyN(io.Discard, x.r.Body, maxDiscardBytes)
	_ = rc.SetReadDeadline(time.Time{})
	if !errors.Is(err, io.EOF) {
		x.w.Header().Set("Connection", "close")
	}
}
