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
	s := &streamRelay{sendFilter: f, x: x, ex: ex, counts: c, buffered: eventBuffer{budget: f.g.memory.events}}
	defer s.buffered.release()
	if x.headSent {
		if !x.continues(ex.Response) {
			return s.brokeOff(ctx, "the response does not continue the stream")
		}
		s.resumed, s.continuesAfter = true, x.lastEventID
	}
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := ex.Response.Body.Read(buf)
		if !s.buffered.add(buf[:n]) {
			return s.brokeOff(ctx, "no memory is left for an event of the stream")
		}
		complete := completeEvents(s.buffered.bytes)
		valid := s.validate(complete)
		if werr := s.forward(valid); werr != nil {
			return s.callerGone()
		}
		if valid < complete {
			return s.brokeOff(ctx, "the stream holds something else than events")
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.end(ctx, conn)
		case err != nil:
			return s.brokeOff(ctx, "the stream broke off")
		case len(s.buffered.bytes) > maxEventBytes:
			return s.brokeOff(ctx, "an event of the stream is too large")
		}
	}
}

// streamRelay relays the stream of one attempt.
type streamRelay struct {
	sendFilter
	x        *exchange
	ex       *upstream.Exchange
	counts   *attemptCounts
	buffered eventBuffer
	// relayed is true once something was forwarded.
	relayed bool
	// resumed is true if the caller has a part of the stream from an earlier response, and
	// continuesAfter the id of its last event until the next one has arrived, or empty.
	resumed        bool
	continuesAfter string
}

// continues reports whether a response may be the continuation of the stream that the caller has
// a part of. The error of a server that does not continue it may be a success as well.
func (x *exchange) continues(resp *http.Response) bool {
	return isEventStream(resp.Header) || mediaType(resp.Header) == x.streamType
}

// validate returns the length of the first of the given number of buffered bytes that may be
// forwarded. The first event of a stream is that of the server, whatever it is. What follows it
// must be events: a server that fails may write an error, or the head of one, into its stream.
func (s *streamRelay) validate(complete int) int {
	unchecked := 0
	switch {
	case s.resumed:
	case mediaType(s.ex.Response.Header) != eventStreamType:
		return complete
	case !s.relayed:
		unchecked = firstEventBytes(s.buffered.bytes[:complete])
	}
	return unchecked + validEvents(s.buffered.bytes[unchecked:complete], s.continuesAfter)
}

// forward sends the first n of the buffered bytes to the caller.
func (s *streamRelay) forward(n int) error {
	if n == 0 {
		return nil
	}
	s.recordPromptProcessed(s.x, s.counts)
	if err := s.sendFilter.forward(s.x, s.ex.Response, s.buffered.bytes[:n]); err != nil {
		return err
	}
	s.relayed = true
	if hasFields(s.buffered.bytes[:n]) {
		s.continuesAfter = ""
	}
	s.x.eventSent()
	s.buffered.remove(n)
	return nil
}

// end handles the end of the response. A stream that ends inside an event has broken off. The
// end of a connection also ends a stream whose server stopped early, so it completes a stream
// only for a caller whose response ends in the same way, and only after an event.
func (s *streamRelay) end(ctx context.Context, conn *upstream.Conn) result {
	byClose := s.x.framing == upstream.FramedByClose
	switch {
	case insideEvent(s.buffered.bytes) && (byClose || s.resumed || isEventStream(s.ex.Response.Header)):
		return s.brokeOff(ctx, "the stream ended inside an event")
	case byClose && !s.relayed:
		return s.brokeOff(ctx, "the stream ended without an event")
	case byClose && !s.x.endsByClose:
		return s.brokeOff(ctx, "the end of the stream is not certain")
	}
	if err := s.forward(len(s.buffered.bytes)); err != nil {
		return s.callerGone()
	}
	return s.finish(s.x, conn, s.ex)
}

func (s *streamRelay) callerGone() result {
	s.ex.Abort()
	return result{end: retry.CallerGone, cause: endcause.CallerGone, status: s.ex.Response.StatusCode, detail: "the caller is gone"}
}

func (s *streamRelay) brokeOff(ctx context.Context, detail string) result {
	s.ex.Abort()
	return withCause(ctx, result{end: retry.Unknown, status: s.ex.Response.StatusCode, detail: detail})
}

// recordPromptProcessed records that the server has processed the prompt, as the
// first event of an attempt shows. A resumed stream does not show which parts of the
// prompt the server has processed, so none of them are recorded.
func (f sendFilter) recordPromptProcessed(x *exchange, c *attemptCounts) {
	c.recordPace()
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
