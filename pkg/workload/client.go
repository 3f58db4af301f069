package workload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Names of HTTP headers and trailers.
const (
	headerOutcome        = "Fescue-Outcome"
	headerEndpoint       = "Fescue-Endpoint"
	headerBundle         = "Fescue-Bundle-Version"
	headerAdapter        = "Fescue-Adapter"
	headerDeadline       = "Fescue-Deadline-Ms"
	headerLoadStall      = "Fescue-Load-Stall-Us"
	headerQueueWait      = "Fescue-Queue-Us"
	headerIdempotencyKey = "Idempotency-Key"
)

// Limits of the client.
const (
	idleConnsPerEntry = 1024
	// deadlineGrace is how long the client keeps waiting after the request's
	// deadline. A client timeout then means that the entry sent no final answer.
	deadlineGrace = 10 * time.Second
	maxEventBytes = 1 << 20
)

// Answer is what a caller received for one request.
type Answer struct {
	Status int
	// Outcome is the value of the outcome trailer or header, empty if absent.
	Outcome  string
	Endpoint ident.EndpointID
	Adapter  string
	// BundleVersion is the bundle under which the entry resolved the request, or 0.
	BundleVersion ident.BundleVersion
	Text          string
	// ErrorCode and ErrorMessage are the fields of the error object, if the answer
	// has one.
	ErrorCode, ErrorMessage string
	// Complete is true if the answer ended normally.
	Complete bool
	// Err is set if the connection broke or the response could not be decoded.
	Err   error
	Start time.Time
	End   time.Time
	// FirstToken is the time from the intended start to the first token, or to the
	// end of a response that is not streamed.
	FirstToken     time.Duration
	InterTokenGaps []time.Duration
	// LoadStall is the time for which the request waited for an adapter load, QueueWait
	// the time in the queue, both as stated in the response headers.
	LoadStall time.Duration
	QueueWait time.Duration
}

// Client sends requests to entries.
type Client struct{ http *http.Client }

// NewClient returns a client that reuses its connections.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerEntry}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt,omitempty"`
	Messages  json.RawMessage `json:"messages,omitempty"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// Send sends a request to the entry at addr (host:port) and reads the answer.
// Latencies are measured from intended.
func (c *Client) Send(ctx context.Context, addr string, r *Request, intended time.Time) Answer {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+deadlineGrace)
	defer cancel()
	a := Answer{Start: time.Now()}
	req, err := newHTTPRequest(ctx, addr, r)
	if err != nil {
		a.Err = err
		return a
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.Err, a.End = errors.Wrap(err, "send request"), time.Now()
		return a
	}
	defer resp.Body.Close()
	a.readHeader(resp)
	if r.Streams() && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(resp.Body, intended)
	} else {
		a.readBody(resp.Body, r, intended)
	}
	if v := resp.Trailer.Get(headerOutcome); v != "" {
		a.Outcome = v
	}
	a.End = time.Now()
	return a
}

func newHTTPRequest(ctx context.Context, addr string, r *Request) (*http.Request, error) {
	path, body := requestBody(r)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build HTTP request")
	}
	// Without GetBody, net/http cannot send the body a second time. It would otherwise
	// retry requests that have an idempotency key when a reused connection breaks.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+r.Team.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if r.Key != "" {
		req.Header.Set(headerIdempotencyKey, r.Key)
	}
	return req, nil
}

func requestBody(r *Request) (path string, body []byte) {
	if !r.IsModel() {
		return "/v1/services/" + r.Service + "/" + r.Path, []byte(r.Prompt)
	}
	b := completionRequest{Model: r.Model, MaxTokens: r.Tokens, Stream: r.Streams()}
	path = "/v1/completions"
	b.Prompt = json.RawMessage(r.Content())
	if r.Chat {
		path, b.Prompt, b.Messages = "/v1/chat/completions", nil, b.Prompt
	}
	body, _ = json.Marshal(b) // strings, numbers and valid JSON always marshal
	return path, body
}

func (a *Answer) readHeader(resp *http.Response) {
	a.Status = resp.StatusCode
	a.Outcome = resp.Header.Get(headerOutcome)
	a.Endpoint = ident.EndpointID(resp.Header.Get(headerEndpoint))
	a.Adapter = resp.Header.Get(headerAdapter)
	version, _ := strconv.ParseUint(resp.Header.Get(headerBundle), 10, 64) // absent if the entry refused the request early
	a.BundleVersion = ident.BundleVersion(version)
	a.LoadStall = parseMicroseconds(resp.Header.Get(headerLoadStall))
	a.QueueWait = parseMicroseconds(resp.Header.Get(headerQueueWait))
}

func parseMicroseconds(s string) time.Duration {
	us, _ := strconv.ParseInt(s, 10, 64) // absent if the request failed
	return time.Duration(us) * time.Microsecond
}

type completionResponse struct {
	Choices []struct {
		Text    string      `json:"text"`
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

func (c *completionResponse) text() string {
	var b strings.Builder
	for _, ch := range c.Choices {
		b.WriteString(ch.Text)
		b.WriteString(ch.Message.Content)
		b.WriteString(ch.Delta.Content)
	}
	return b.String()
}

func (a *Answer) readStream(body io.Reader, intended time.Time) {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var text strings.Builder
	last := time.Time{}
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Complete = true
			continue
		}
		var ev completionResponse
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			a.Err = errors.Wrap(err, "decode server-sent event")
			return
		}
		if ev.Error != nil {
			a.ErrorCode, a.ErrorMessage = ev.Error.Code, ev.Error.Message
			continue
		}
		last = a.recordToken(last, intended)
		text.WriteString(ev.text())
	}
	a.Text = text.String()
	if err := sc.Err(); err != nil {
		a.Err = errors.Wrap(err, "read event stream")
	}
}

// recordToken records the arrival of one token. last is the arrival of the previous
// token, or zero. It returns the arrival time.
func (a *Answer) recordToken(last, intended time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		a.FirstToken = now.Sub(intended)
	} else {
		a.InterTokenGaps = append(a.InterTokenGaps, now.Sub(last))
	}
	return now
}

func (a *Answer) readBody(body io.Reader, r *Request, intended time.Time) {
	text, err := io.ReadAll(body)
	if err != nil {
		a.Err = errors.Wrap(err, "read response")
		return
	}
	a.FirstToken = time.Since(intended)
	if a.Status != http.StatusOK {
		var doc completionResponse
		if json.Unmarshal(text, &doc) == nil && doc.Error != nil {
			a.ErrorCode, a.ErrorMessage = doc.Error.Code, doc.Error.Message
		}
		return
	}
	a.Complete = true
	if !r.IsModel() {
		a.Text = string(text)
		return
	}
	var doc completionResponse
	if err := json.Unmarshal(text, &doc); err != nil {
		a.Err = errors.Wrap(err, "decode response")
		return
	}
	a.Text = doc.text()
}
