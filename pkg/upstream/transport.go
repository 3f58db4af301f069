package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper for the clients that use net/http. What net/http takes for
// the end of a response although the connection was reset is an error here, and so is a malformed
// response that net/http accepts.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a Transport that sends requests through t, whose connections it watches
// from then on. t must not have been used before.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return watch(c), nil
	}
	return &Transport{base: t}
}

// Client returns hc if it uses a Transport, else a copy of it that does. Connections that hc has
// open stay with hc.
func Client(hc *http.Client) *http.Client {
	if _, ok := hc.Transport.(*Transport); ok {
		return hc
	}
	base := hc.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	out := *hc
	if t, ok := base.(*http.Transport); ok {
		out.Transport = NewTransport(t.Clone())
	} else {
		out.Transport = &Transport{base: base}
	}
	return &out
}

// RoundTrip implements http.RoundTripper. The error of a malformed response is marked ErrMalformed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used trace
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), used.hooks())))
	if err != nil {
		return nil, err //nolint:wrapcheck // http.Client wraps the error
	}
	if err := checkHead(resp.StatusCode, resp.Header); err != nil {
		resp.Body.Close()
		used.closeConn()
		return nil, err
	}
	checkBody(resp, used.closeConn)
	return resp, nil
}

// maxInformational limits the number of informational responses to a request. net/http limits only
// the size of each of them if they are checked.
const maxInformational = 100

// trace follows one request through net/http.
type trace struct {
	conn          net.Conn
	informational int
}

func (t *trace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { t.conn = info.Conn },
		Got1xxResponse: t.checkInformational,
	}
}

// checkInformational returns an error, which ends the request, for an informational response that is
// malformed or one too many.
func (t *trace) checkInformational(status int, h textproto.MIMEHeader) error {
	if t.informational++; t.informational > maxInformational {
		return errors.Wrapf(ErrMalformed, "more than %d informational responses", maxInformational)
	}
	return checkHead(status, http.Header(h))
}

// closeConn closes the connection of a malformed response. net/http may have kept it for another
// request, which would get what the server sends next.
func (t *trace) closeConn() {
	if t.conn != nil {
		t.conn.Close()
	}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
