// Package upstream sends HTTP/1.1 requests to endpoints. Each connection belongs to
// one attempt at a time. Unlike http.Transport, the package never sends a request a
// second time, and it checks that each response belongs to its request.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that tell whether a request may have reached the endpoint.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("the request was not sent")
	// ErrIncomplete means that the request was sent, at least in part, but no
	// complete response was received.
	ErrIncomplete = errors.New("no complete response was received")
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxSyncBodyBytes is the largest body that is written completely before the
	// response is read. A server may respond before it has read a longer body, and
	// then read on only once its response has been read.
	maxSyncBodyBytes = 2 << 10
	// maxSkippedResponses limits the number of responses that are read for one
	// request, including its own. Late responses to earlier requests are skipped.
	maxSkippedResponses = 4
	// maxSkippedBytes limits the body of a skipped response.
	maxSkippedBytes = 1 << 20
	// maxHeadBytes limits the status line and the headers of a response.
	maxHeadBytes = 64 << 10
)

// errUnnamed means that a response names no request and may be a late one to another request.
var errUnnamed = errors.New("the response names no request, and the connection has carried others")

// errHeadTooLarge means that a response has more than maxHeadBytes before its body.
var errHeadTooLarge = errors.New("the head of the response is too large")

// headLimiter limits the bytes that are read while a head is expected. What the buffered
// reader reads of the body counts as well.
type headLimiter struct {
	r io.Reader
	// left is the number of bytes that may still be read. It only counts within a head.
	left   int
	inHead bool
}

func (l *headLimiter) expectHead(expect bool) { l.inHead, l.left = expect, maxHeadBytes }

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.r.Read(p) //nolint:wrapcheck // a transparent reader
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err //nolint:wrapcheck // a transparent reader
}

// Request is one request as it is sent to the endpoint.
type Request struct {
	Method string
	// Target is the path and query, unchanged from the client.
	Target string
	Host   string
	Header http.Header
	// Body is the body, or its beginning if there are Parts, which follow it.
	Body  []byte
	Parts [][]byte
	// ID identifies the request. It is empty if the caller gave it no id; its response then
	// names none, so that it needs a new connection.
	ID string
	// ResponseID returns the id of the request that a response with the given header names, or
	// an empty string if it names none.
	ResponseID func(http.Header) string
	// OnHead is called with the status and the header of each final response that is read,
	// and whether it is the response to this request or is skipped. It may be nil.
	OnHead func(status int, h http.Header, own bool)
	// Transferred is called whenever bytes of the request have been written or bytes of the
	// connection have been read. Two goroutines may call it at once. It may be nil.
	Transferred func()
}

// Conn is a connection to an endpoint. One attempt at a time may use it.
type Conn struct {
	net       *watchedConn
	limiter   *headLimiter
	reader    *bufio.Reader
	writer    *bufio.Writer
	reused    bool
	idleSince time.Time
	// idleLimit is how long the connection may be idle before the endpoint closes
	// it.
	idleLimit time.Duration
	// writeDone receives the result of writing the request in the background. It is
	// nil if the request was written synchronously.
	writeDone chan error
	// onTransfer is the Transferred function of the current request, or nil.
	onTransfer func()
}

func newConn(n net.Conn) *Conn {
	c := &Conn{net: watch(n)}
	c.limiter = &headLimiter{r: transferReader{c}}
	c.reader = bufio.NewReaderSize(c.limiter, readBufferBytes)
	c.writer = bufio.NewWriterSize(transferWriter{c}, writeBufferBytes)
	return c
}

// Reused reports whether the connection has carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection.
func (c *Conn) Close() { c.net.Close() }

// reset closes the connection with a TCP reset. Bytes still queued for sending are
// dropped, so that a server that was unreachable does not receive and start an
// abandoned request later.
func (c *Conn) reset() {
	if t, ok := c.net.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	c.net.Close()
}

// reusable reports whether the peer has neither closed the connection nor sent
// unsolicited bytes.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// Send writes a request and returns the exchange once the response header has
// arrived. The caller reads the body. If ctx ends before the exchange is finished or
// aborted, the connection is reset. Errors are marked ErrNotSent or ErrIncomplete.
func (c *Conn) Send(ctx context.Context, r *Request) (*Exchange, error) {
	x := &Exchange{conn: c}
	c.onTransfer = r.Transferred
	x.stop = context.AfterFunc(ctx, c.reset)
	if err := cmp.Or(ctx.Err(), r.check()); err != nil {
		x.Abort()
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err := c.write(r); err != nil {
		x.Abort()
		return nil, errors.Mark(err, ErrIncomplete)
	}
	resp, err := c.read(r) //nolint:bodyclose // the exchange owns the response
	if err != nil {
		x.Abort()
		return nil, errors.Mark(err, ErrIncomplete)
	}
	x.Response, x.named = resp, r.ResponseID(resp.Header) != ""
	return x, nil
}

// write writes a request, in the background if its body is longer than
// maxSyncBodyBytes.
func (c *Conn) write(r *Request) error {
	if r.bodyBytes() <= maxSyncBodyBytes {
		return c.flush(r)
	}
	c.writeDone = make(chan error, 1)
	go func() { c.writeDone <- c.flush(r) }()
	return nil
}

// errMalformed means that a request line or a header line would hold bytes that end it.
var errMalformed = errors.New("the request cannot be written in one line each")

// check returns an error for a request that would be read as another one.
func (r *Request) check() error {
	ends := func(c rune) bool { return c <= ' ' || c == 0x7f }
	if r.Method == "" || r.Target == "" || strings.ContainsFunc(r.Method+r.Target+r.Host, ends) {
		return errMalformed
	}
	return nil
}

// flush writes a request. net/http is not used for the request line, because it changes a
// target that begins with two slashes.
func (c *Conn) flush(r *Request) error {
	fmt.Fprintf(c.writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if n := r.bodyBytes(); n > 0 || hasBodyByDefault(r.Method) {
		fmt.Fprintf(c.writer, "Content-Length: %d\r\n", n)
	}
	if err := r.Header.WriteSubset(c.writer, r.omitted()); err != nil {
		return errors.Wrap(err, "write request")
	}
	_, _ = c.writer.WriteString("\r\n") // Flush returns the first error
	_, _ = c.writer.Write(r.Body)
	for _, part := range r.Parts {
		_, _ = c.writer.Write(part)
	}
	return errors.Wrap(c.writer.Flush(), "write request")
}

// bodyBytes returns the length of the body.
func (r *Request) bodyBytes() int {
	n := len(r.Body)
	for _, part := range r.Parts {
		n += len(part)
	}
	return n
}

// omitted returns the headers that flush writes itself or does not send. An empty User-Agent
// stands for none.
func (r *Request) omitted() map[string]bool {
	return map[string]bool{
		"Host":              true,
		"Content-Length":    true,
		"Transfer-Encoding": true,
		"Trailer":           true,
		"User-Agent":        r.Header.Get("User-Agent") == "",
	}
}

// hasBodyByDefault reports whether a request of the method has a length also without a body.
func hasBodyByDefault(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// read returns the response to the request. It skips informational responses and responses to
// other requests. One that names no request ends the exchange if it may be to an earlier
// request: waiting for another one would hold the caller of a server that names none.
func (c *Conn) read(r *Request) (*http.Response, error) {
	first := !c.reused
	for range maxSkippedResponses {
		resp, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if IsFinalStatus(resp.StatusCode) {
			id := r.ResponseID(resp.Header)
			own := id == r.ID || id == "" && first
			if r.OnHead != nil {
				r.OnHead(resp.StatusCode, resp.Header, own)
			}
			switch {
			case own:
				return resp, nil
			case id == "":
				return nil, errUnnamed
			}
			first = false
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return nil, errors.New("a response to another request is too long")
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// readHead reads the head of the next response to a request of the given method, and checks it. The
// error of a malformed response is marked ErrMalformed.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.limiter.expectHead(true)
	defer c.limiter.expectHead(false)
	if err := checkHTTP10(c.reader); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if err := checkHead(resp.StatusCode, resp.Header); err != nil {
		return nil, err
	}
	checkBody(resp, func() {}) // the exchange is aborted
	return resp, nil
}

// Exchange is a request whose response header has been received.
type Exchange struct {
	Response *http.Response
	// named is true if the response names the request. If the endpoint names none, another
	// request on the connection could not be given its response.
	named bool
	conn  *Conn
	stop  func() bool
}

// Abort gives up the exchange and resets the connection.
func (x *Exchange) Abort() {
	x.stop()
	x.conn.reset()
}

// Finish ends an exchange whose response body has been read completely. It reports
// whether the connection can carry another request; if not, the connection is
// closed.
func (x *Exchange) Finish() bool {
	if !x.stop() || x.Response.Close || !x.named || !x.bodySent() || FramingOf(x.Response) == FramedByClose {
		x.conn.Close()
		return false
	}
	x.conn.idleLimit = keepAliveLimit(x.Response.Header)
	x.conn.reused = true
	return true
}

// RequestSent reports whether the whole request has been written.
func (x *Exchange) RequestSent() bool { return x.bodySent() }

// bodySent reports whether the request body has been written completely.
func (x *Exchange) bodySent() bool {
	if x.conn.writeDone == nil {
		return true
	}
	select {
	case err := <-x.conn.writeDone:
		x.conn.writeDone = nil
		return err == nil
	default:
		return false
	}
}

const (
	// defaultIdleLimit is used if the endpoint does not announce its timeout.
	defaultIdleLimit = 2 * time.Second
	// idleMargin is subtracted from the timeout that the endpoint announces.
	idleMargin = 500 * time.Millisecond
)

// keepAliveLimit returns how long a connection may be idle, according to the
// Keep-Alive header of a response.
func keepAliveLimit(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleLimit
}
