package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/membudget"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// maxBufferedBytes limits the size of a response that is buffered until it is
// complete. A larger one is relayed as it arrives.
const maxBufferedBytes = 4 << 20

// relayBuffered relays a response only once it is complete, so that an incomplete one
// can be replaced by another attempt. One that is larger than the buffer, or for which no
// memory is left, is relayed as it arrives from then on.
func (f sendFilter) relayBuffered(ctx context.Context, x *exchange, conn *upstream.Conn, ex *upstream.Exchange) result {
	status := ex.Response.StatusCode
	body := membudget.NewBuffer(f.g.memory.responses, ex.Response.ContentLength)
	defer body.Release()
	err := body.Fill(ex.Response.Body, maxBufferedBytes)
	if errors.IsAny(err, membudget.ErrTooLong, membudget.ErrNoBudget) {
		return f.relayUnbuffered(ctx, x, conn, ex, body)
	}
	if err != nil {
		ex.Abort()
		return withCause(ctx, result{end: retry.Unknown, status: status, detail: "the response broke off: " + err.Error()})
	}
	if ex.Finish() {
		f.g.pool.Put(poolKey(x.endpoint), conn)
	}
	if status >= http.StatusInternalServerError && f.mayReplaceFailure(x) {
		return result{end: retry.Unknown, status: status, detail: "the endpoint failed with " + strconv.Itoa(status)}
	}
	f.writeHead(x, ex.Response)
	if x.framing != upstream.FramedByClose {
		x.w.Header().Set("Content-Length", strconv.FormatInt(body.Len(), 10))
	}
	x.w.WriteHeader(status)
	_, err = body.WriteTo(x.w)
	x.complete = err == nil // after an error the caller is gone
	return result{end: retry.Answered, status: status}
}

// relayUnbuffered relays a response that begins with the given bytes while it arrives. If it
// breaks off, or does not end in time, so does the response to the caller.
func (f sendFilter) relayUnbuffered(ctx context.Context, x *exchange, conn *upstream.Conn, ex *upstream.Exchange, beginning *membudget.Buffer) result {
	status := ex.Response.StatusCode
	f.writeHead(x, ex.Response)
	if ex.Response.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(ex.Response.ContentLength, 10))
	}
	x.w.WriteHeader(status)
	to := &callerWriter{w: x.w}
	_, err := beginning.WriteTo(to)
	if err == nil {
		_, err = io.Copy(to, ex.Response.Body)
	}
	switch {
	case to.err != nil:
		ex.Abort()
		return result{end: retry.CallerGone, cause: endcause.CallerGone, status: status, detail: "the caller is gone"}
	case err != nil:
		ex.Abort()
		return withCause(ctx, result{end: retry.Unknown, status: status, detail: "the response broke off: " + err.Error()})
	}
	if ex.Finish() {
		f.g.pool.Put(poolKey(x.endpoint), conn)
	}
	x.complete = true
	return result{end: retry.Answered, status: status}
}

// callerWriter writes to the caller and keeps the error, so that it can be told from one of
// the server.
type callerWriter struct {
	w   io.Writer
	err error
}

func (c *callerWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.err = err
	return n, err //nolint:wrapcheck // only compared with nil
}

// mayReplaceFailure reports whether another attempt may replace an error response of
// a server.
func (f sendFilter) mayReplaceFailure(x *exchange) bool {
	return x.repeatable() && x.history.Attempts+1 < min(x.route.MaxAttempts, maxSends) && time.Until(x.deadline) > x.endpoint.Runtime.Latency()
}

// writeHead copies the head of a server's response and records how the response to the
// caller ends: with the connection if that of the server does, because nobody vouches for
// its end, or if the caller knows no chunks.
func (f sendFilter) writeHead(x *exchange, resp *http.Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		if hopByHop(name) {
			continue
		}
		h[name] = values
	}
	if resp.Header.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if x.framing == upstream.FramedByClose {
		h["Transfer-Encoding"] = []string{"identity"} // net/http then ends the body with the connection
	}
	x.endsByClose = x.framing == upstream.FramedByClose || !x.r.ProtoAtLeast(1, 1)
	if x.endsByClose {
		closeWithReset(x.r.Context())
	}
	x.headSent = true
	x.streamType = mediaType(resp.Header)
	x.firstByte = time.Since(x.started)
	f.g.metrics.firstByte.Update(x.firstByte.Milliseconds())
}

// hopByHop reports whether a header applies to one connection only and must not be
// relayed. Content-Length is included because the gateway determines the length
// itself.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	default:
		return false
	}
}
