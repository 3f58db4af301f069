// Package service is a client for plain HTTP services.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// maxBodyBytes limits the body of a response. The body is read to its end before it is
// passed on, so that a truncated response is never mistaken for a complete short one.
const maxBodyBytes = 3 << 20

// Errors returned by Client.Do. Test for them with errors.Is.
var (
	// ErrNotSent means that the call was not sent to the service.
	ErrNotSent = errors.New("call not sent")
	// ErrResultUnknown means that the call may or may not have been executed, because
	// there is no complete response.
	ErrResultUnknown = errors.New("result of the service call is unknown")
)

// HeaderRequestID is the name of the HTTP header with the request id.
const HeaderRequestID = "X-Request-Id"

// Call is one request to a service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	RequestID   ident.RequestID
}

// Response is a complete response. Status is the HTTP status code.
type Response struct {
	Status int
	// Backoff is the time for which the service wants no calls, or 0.
	Backoff     time.Duration
	ContentType string
	Body        []byte
}

// Client sends calls to one server of a service.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the service at addr (host:port). It adds no time limits to
// those of hc and of the context of each call.
func New(addr string, hc *http.Client) *Client {
	return &Client{base: "http://" + addr, http: upstream.Client(hc)}
}

// Do sends the call once and reads the whole response. It returns ErrNotSent if
// nothing was sent, and ErrResultUnknown if the service may have executed the call. A
// response without a length or chunks counts as complete only if it is a JSON document.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "build call of service"), ErrNotSent)
	}
	keepFromRepeating(req)
	req.Header.Set("Content-Type", call.ContentType)
	req.Header.Set(HeaderRequestID, string(call.RequestID))
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "call service"), ErrResultUnknown)
	}
	defer resp.Body.Close()
	body, err := upstream.ReadBody(resp.Body, maxBodyBytes)
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "read response of service"), ErrResultUnknown)
	}
	if endsWithConnection(resp) && !isJSONDocument(body) {
		return Response{}, errors.Mark(errors.New("read response of service: the end is not certain"), ErrResultUnknown)
	}
	return Response{Status: resp.StatusCode, Backoff: backoff(resp), ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// keepFromRepeating keeps net/http from sending a request a second time if the service closes its
// connection without a response, which could execute the call twice. It repeats requests whose body
// it can get again and, with some methods, those without a body.
func keepFromRepeating(r *http.Request) {
	r.GetBody = nil
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if r.Body == http.NoBody {
			r.Body = io.NopCloser(strings.NewReader("")) // net/http finds out that it is empty and sends none
		}
	}
}

// backoff returns the time for which a service that refused a call wants no others, or 0.
func backoff(r *http.Response) time.Duration {
	after, ok := upstream.RetryAfter(r.Header)
	if r.StatusCode != http.StatusServiceUnavailable || !ok {
		return 0
	}
	return after
}

// endsWithConnection reports whether only the end of the connection ends the body of a
// response, so that a service that stopped early may have sent a part of it.
func endsWithConnection(r *http.Response) bool {
	return !r.Uncompressed && upstream.FramingOf(r) == upstream.FramedByClose
}

// isJSONDocument reports whether a body is a JSON object or array, no beginning of which is a
// valid document itself.
func isJSONDocument(body []byte) bool {
	text := bytes.TrimSpace(body)
	return len(text) > 0 && (text[0] == '{' || text[0] == '[') && json.Valid(text)
}
