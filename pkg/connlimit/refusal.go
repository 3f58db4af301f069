package connlimit

import (
	"io"
	"net/http"
	"time"
)

const (
	// arrivalWait is how long a refusal waits for the body of the request, so that the
	// connection can stay open. Bodies usually arrive with the heads.
	arrivalWait = 10 * time.Millisecond
	// discardTime and discardBytes bound how long, and how much, of the body of a refused
	// request is read after the response.
	discardTime  = time.Second
	discardBytes = 8 << 20
)

// BeginRefusal prepares the refusal of a request whose body has not been read to its end: net/http
// reads a part of the body before it sends a response, however long that takes. If wait is true, it
// gets a short time for that, and the connection stays open if a small body is there. Else the
// response is sent at once and closes the connection, and EndRefusal should follow once it is
// written.
func BeginRefusal(w http.ResponseWriter, wait bool) {
	rc := http.NewResponseController(w)
	if wait {
		_ = rc.SetReadDeadline(time.Now().Add(arrivalWait))
		return
	}
	w.Header().Set("Connection", "close")
	_ = rc.EnableFullDuplex()
}

// EndRefusal sends a refusal that has been written, and reads the rest of the body for a while: a
// connection that is closed before is reset, and a client that still writes may lose the response.
// If many connections do so, the connection ends at once.
func EndRefusal(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.Flush() // the client may be gone
	deadline := past
	if c := Of(r.Context()); c == nil || c.beginDiscard() {
		deadline = time.Now().Add(discardTime)
	}
	_ = rc.SetReadDeadline(deadline)
	_, _ = io.CopyN(io.Discard, r.Body, discardBytes) // nothing depends on the rest
	_ = rc.SetReadDeadline(past)                      // net/http would read on
}

// beginDiscard begins the phase in which the rest of a body is dropped. It reports false if too
// many connections do so.
func (c *Conn) beginDiscard() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted || !l.mayDiscard() {
		return false
	}
	l.enter(c, discarding)
	return true
}
