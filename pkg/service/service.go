// Package service is the client for plain HTTP services.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// maxBodyBytes bounds a response. It is held whole, so that a broken one is never
// relayed as a short body.
const maxBodyBytes = 3 << 20

// Errors returned by the client.
var (
	// ErrNotSent reports a call that did not reach the service.
	ErrNotSent = errors.New("call not sent")
	// ErrResultUnknown reports a call whose result is not known.
	ErrResultUnknown = errors.New("connection to the service lost")
)

// HeaderRequestID carries the request id to the service.
const HeaderRequestID = "X-Request-Id"

// Call is one request to a service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	RequestID   ident.RequestID
}

// Response is a complete response with its HTTP status.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client talks to one service server.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the service at addr (host:port). Time limits are those
// of hc and of the context of each call.
func New(addr string, hc *http.Client) *Client {
	return &Client{base: "http://" + addr, http: hc}
}

// Do sends the call once and reads the whole response. It returns ErrNotSent if
// nothing was sent, and ErrLost if the call may have run.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "build call of service"), ErrNotSent)
	}
	// A nil GetBody keeps net/http from sending the body a second time on
	// another connection.
	req.GetBody = nil
	req.Header.Set("Content-Type", call.ContentType)
	req.Header.Set(HeaderRequestID, string(call.RequestID))
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "call service"), ErrResultUnknown)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errors.Newf("body is larger than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "read response of service"), ErrResultUnknown)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
