package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

const (
	streamBufferBytes = 8 << 10
	// maxEventBytes limits the size of an event, which is buffered until it is complete.
	maxEventBytes = 1 << 20
)

// relayStream relays events as they arrive. It forwards only complete events, so that
// the stream can be resumed after the last one.
func (f sendFilter) relayStream(ctx context.Context, x *exchange, conn *upstream.Conn, ex *upstream.Exchange, c *attemptCounts) result {
	status := ex.Response.StatusCode
	var buffered []byte
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := ex.Response.Body.Read(buf)
		buffered = append(buffered, buf[:n]...)
		x.lastByte.Store(int64(time.Since(x.started)))
		end := completeEvents(buffered)
		if errors.Is(err, io.EOF) {
			end = len(buffered)
		}
		if end > 0 {
			f.recordPromptProcessed(x, c)
			if werr := f.forward(x, ex.Response, buffered[:end]); werr != nil {
				ex.Abort()
				return result{end: retry.CallerGone, cause: endcause.CallerGone, status: status, detail: "the caller is gone"}
			}
			x.stall.eventSent()
			buffered = append(buffered[:0], buffered[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return f.finish(x, conn, ex)
		case err != nil || len(buffered) > maxEventBytes:
			ex.Abort()
			return withCause(ctx, result{end: retry.Unknown, status: status, detail: "the stream broke off"})
		}
	}
}

// recordPromptProcessed records that the server has processed the prompt, as the
// first event of an attempt shows. A resumed stream does not show which parts of the
// prompt the server has processed, so none of them are recorded.
func (f sendFilter) recordPromptProcessed(x *exchange, c *attemptCounts) {
	c.promptDone()
	if c.demand == nil || x.headSent || x.lastEventID != "" || x.call.LastEventID != "" {
		return
	}
	if !x.ranInChosenScope() {
		return
	}
	f.g.prefixes.RecordPrompt(time.Now(), x.endpoint.Runtime, x.choice.Scope, x.call.Prefix)
	c.demand.addProcessedParts(locality.SharedParts(x.choice.Scope, x.call.Prefix))
}

func (f sendFilter) forward(x *exchange, resp *http.Response, events []byte) error {
	if !x.headSent {
		f.g.origins.streamBegins(x)
		f.writeHead(x, resp)
		x.w.WriteHeader(resp.StatusCode)
	}
	if _, err := x.w.Write(events); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	if id := lastID(events); id != "" {
		x.lastEventID = id
	}
	return errors.Wrap(http.NewResponseController(x.w).Flush(), "flush to caller")
}

func (f sendFilter) finish(x *exchange, conn *upstream.Conn, ex *upstream.Exchange) result {
	if ex.Finish() {
		f.g.pool.Put(poolKey(x.endpoint), conn)
	}
	if !x.headSent {
		f.writeHead(x, ex.Response)
		x.w.WriteHeader(ex.Response.StatusCode)
	}
	x.complete = true
	return result{end: retry.Answered, status: ex.Response.StatusCode}
}
