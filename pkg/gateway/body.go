package gateway

import (
	"context"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/membudget"
)

const (
	// retryAfterMemory is the Retry-After value when there is no memory for the body of a
	// request. Another entry may have it.
	retryAfterMemory = 100 * time.Millisecond
)

// bodyFilter reads the whole request body, so that it can be sent more than once.
type bodyFilter struct{ g *Gateway }

func (f bodyFilter) do(ctx context.Context, x *exchange, next next) *failure {
	limit := int64(math.MaxInt64)
	if configured := x.table.Limits.MaxBodyBytes; configured > 0 {
		limit = configured
	}
	x.bodyBegun = true
	x.body = membudget.NewBuffer(f.g.memory.requests, x.r.ContentLength)
	defer x.body.Release()
	if x.r.ContentLength > limit {
		return tooLarge()
	}
	err := readBody(ctx, x, limit)
	conn := connlimit.Of(x.r.Context())
	switch {
	case err == nil:
		x.bodyRead = true
		return next(ctx, x)
	case errors.Is(err, membudget.ErrTooLong):
		return tooLarge()
	case errors.Is(err, membudget.ErrNoBudget):
		f.g.metrics.noMemory.Inc(1)
		x.body.Release()
		return notRun("no memory is left for the body", spread(retryAfterMemory))
	case conn.Evicted():
		return notRun("too many connections are open", spread(retryAfterMemory))
	case endcause.Of(ctx) == endcause.Stopped:
		return stoppingFailure()
	case endcause.Of(ctx).IsTimeout():
		return notRun("the body did not arrive within the time limit of the request", retryAfterCapacity)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRun("the body has stopped arriving", retryAfterCapacity)
	default:
		return rejected(http.StatusBadRequest, "the body could not be read")
	}
}

func tooLarge() *failure {
	return rejected(http.StatusRequestEntityTooLarge, "the body is too large")
}

// readBody reads the body until ctx ends. The time in which it arrives does not count for the
// limit of gaps in a stream, because the caller uses it itself.
func readBody(ctx context.Context, x *exchange, limit int64) error {
	x.stall.pause()
	defer x.stall.resume()
	return connlimit.ReadBody(ctx, x.r, x.body, limit) //nolint:wrapcheck // the caller tells the errors apart
}

// releaseBody gives the memory of the body back if no other attempt can need it, once an attempt
// may have run.
func (x *exchange) releaseBody() {
	if !x.repeatable() || x.sends >= x.route.MaxAttempts {
		x.body.Release()
	}
}
