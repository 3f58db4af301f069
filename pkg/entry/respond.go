package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// errCallerGone reports that the caller has disconnected.
var errCallerGone = errors.New("caller is gone")

// responder builds the HTTP response from the frames of one or more attempts.
type responder interface {
	// beginAttempt prepares for the frames of another attempt.
	beginAttempt()
	// restart discards the events or bytes that have arrived. It returns false and keeps
	// them if the caller has received a part of them.
	restart() bool
	// received returns how many events or, for services, bytes of the response have
	// arrived. A resumed attempt continues from there.
	received() uint64
	header(h *fescuev1.Header)
	data(payload []byte) error
	// end completes the response.
	end()
	// fail ends the response with an error.
	fail(f *Failure)
}

func newModelResponder(x *Exchange) responder {
	chat := strings.HasSuffix(x.route, "chat/completions")
	if x.stream {
		return newStreamResponder(x)
	}
	return &completionResponder{x: x, chat: chat}
}

// setResponseHeaders sets the headers that name the endpoint and the adapter
// version.
func setResponseHeaders(x *Exchange) {
	h := x.w.Header()
	if x.endpoint != nil {
		h.Set(headerEndpoint, string(x.endpoint.ID))
	}
	if !x.adapter.IsZero() {
		h.Set(headerAdapter, x.adapter.String())
	}
}

// setWaitHeaders sets the headers with the load stall and the queueing time at the
// endpoint, in microseconds.
func setWaitHeaders(x *Exchange, f *fescuev1.Header) {
	h := x.w.Header()
	h.Set(headerLoadStall, strconv.FormatUint(f.GetLoadStallUs(), 10))
	h.Set(headerQueue, strconv.FormatUint(f.GetQueueUs(), 10))
}

// streamResponder relays a streaming response as server-sent events.
type streamResponder struct {
	x       *Exchange
	events  uint64
	started bool
	// buf is reused to encode one event at a time. Write copies its content.
	buf   []byte
	flush *http.ResponseController
}

func newStreamResponder(x *Exchange) *streamResponder {
	return &streamResponder{x: x, flush: http.NewResponseController(x.w)}
}

func (s *streamResponder) beginAttempt()    {}
func (s *streamResponder) restart() bool    { return s.events == 0 }
func (s *streamResponder) received() uint64 { return s.events }

// header sets the headers of the response. They are sent with the first event, because
// an attempt that is lost before it may be followed by one with another adapter version.
func (s *streamResponder) header(f *fescuev1.Header) {
	if s.started {
		return
	}
	setWaitHeaders(s.x, f)
	setResponseHeaders(s.x)
}

// start sends the headers.
func (s *streamResponder) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", headerOutcome)
	s.x.w.WriteHeader(http.StatusOK)
}

func (s *streamResponder) data(payload []byte) error {
	s.start()
	s.events++
	return s.event(payload)
}

func (s *streamResponder) event(payload []byte) error {
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, payload...)
	s.buf = append(s.buf, "\n\n"...)
	if _, err := s.x.w.Write(s.buf); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if err := s.flush.Flush(); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

func (s *streamResponder) end() {
	s.start()
	s.x.w.Header().Set(headerOutcome, ident.Answered.String())
	_ = s.event([]byte("[DONE]")) // the caller may have disconnected
}

// fail sends an error event without the final [DONE] event, so that the caller
// cannot mistake the response for a complete one.
func (s *streamResponder) fail(f *Failure) {
	if !s.started {
		setResponseHeaders(s.x)
		f.write(s.x.w)
		return
	}
	s.x.w.Header().Set(headerOutcome, f.Outcome.String())
	_ = s.event(f.body()) // the caller may have disconnected
}

// completionResponder collects the events of a response into one completion object.
type completionResponder struct {
	x      *Exchange
	chat   bool
	events uint64
	text   strings.Builder
	last   completionChunk
}

type completionChunk struct {
	ID      string            `json:"id"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []completionDelta `json:"choices"`
	Usage   json.RawMessage   `json:"usage"`
}

type completionDelta struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   any                `json:"usage"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
	Logprobs     *string      `json:"logprobs"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

func (c *completionResponder) beginAttempt()             {}
func (c *completionResponder) received() uint64          { return c.events }
func (c *completionResponder) header(f *fescuev1.Header) { setWaitHeaders(c.x, f) }

// restart discards all events, because the caller receives them only at the end.
func (c *completionResponder) restart() bool {
	c.events, c.last = 0, completionChunk{}
	c.text.Reset()
	return true
}

func (c *completionResponder) data(payload []byte) error {
	var chunk completionChunk
	if err := json.Unmarshal(payload, &chunk); err != nil {
		return errors.Wrap(err, "decode engine event")
	}
	c.events++
	for _, d := range chunk.Choices {
		c.text.WriteString(d.Text)
		c.text.WriteString(d.Delta.Content)
	}
	c.last = chunk
	return nil
}

func (c *completionResponder) end() {
	setResponseHeaders(c.x)
	body, _ := json.Marshal(c.completion()) // encoding this struct cannot fail
	h := c.x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerOutcome, ident.Answered.String())
	_, _ = c.x.w.Write(body) // the caller may have disconnected
}

func (c *completionResponder) completion() completion {
	text := c.text.String()
	choice := completionChoice{}
	object := "text_completion"
	if c.chat {
		object = "chat.completion"
		choice.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	if len(c.last.Choices) > 0 {
		choice.FinishReason = c.last.Choices[0].FinishReason
	}
	out := completion{ID: string(c.x.ID), Object: object, Created: c.last.Created, Model: c.last.Model, Choices: []completionChoice{choice}}
	out.Usage = usage{CompletionTokens: c.events, TotalTokens: c.events}
	if len(c.last.Usage) > 0 {
		out.Usage = c.last.Usage
	}
	return out
}

func (c *completionResponder) fail(f *Failure) {
	setResponseHeaders(c.x)
	f.write(c.x.w)
}

// serviceResponder buffers the response of a plain service, so that an incomplete
// response is never sent as a short body.
type serviceResponder struct {
	x           *Exchange
	status      int
	contentType string
	body        []byte
}

// beginAttempt discards a partial body, because service calls are not resumed.
func (s *serviceResponder) beginAttempt() { s.body = nil }
func (s *serviceResponder) restart() bool {
	s.body = nil
	return true
}

func (s *serviceResponder) received() uint64 { return uint64(len(s.body)) }

func (s *serviceResponder) header(h *fescuev1.Header) {
	s.status = int(h.GetStatus())
	s.contentType = h.GetContentType()
	setWaitHeaders(s.x, h)
}

func (s *serviceResponder) data(payload []byte) error {
	s.body = append(s.body, payload...)
	return nil
}

func (s *serviceResponder) end() {
	setResponseHeaders(s.x)
	h := s.x.w.Header()
	h.Set("Content-Type", s.contentType)
	h.Set("Content-Length", strconv.Itoa(len(s.body)))
	h.Set(headerOutcome, ident.Answered.String())
	s.x.w.WriteHeader(s.status)
	_, _ = s.x.w.Write(s.body) // the caller may have disconnected
}

func (s *serviceResponder) fail(f *Failure) {
	setResponseHeaders(s.x)
	f.write(s.x.w)
}
