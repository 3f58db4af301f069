package gateway

import (
	"bytes"
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

var (
	eventEnd    = []byte("\n\n")
	eventIDName = []byte("id:")
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
		if end := completeEvents(buffered, err); end > 0 {
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

// completeEvents returns the length of the complete events at the start of buffered.
// At the end of the stream, err is io.EOF and all bytes count.
func completeEvents(buffered []byte, err error) int {
	if errors.Is(err, io.EOF) {
		return len(buffered)
	}
	i := bytes.LastIndex(buffered, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
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

// lastID returns the id of the last event that has one, or an empty string.
func lastID(events []byte) string {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if id, ok := bytes.CutPrefix(lines[i], eventIDName); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
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
