package upstream

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that a server sent a response that does not follow HTTP/1.1, although net/http
// may have read it. Nothing in such a response counts, whatever it says about the request.
var ErrMalformed = errors.New("malformed response")

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// IsFinalStatus reports whether a response with the status may be the final one to a request.
// net/http takes any three digits for a status.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// isInformational reports whether a response with the status comes before the final one. Status
// 101 does not: it ends HTTP on its connection, which no request asks for.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// checkHead returns an error, marked ErrMalformed, for the head of a response that counts neither as
// an informational nor as a final one, or that has a malformed field.
func checkHead(status int, h http.Header) error {
	if !IsFinalStatus(status) && !isInformational(status) {
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	return checkFields(h)
}

// checkFields returns an error, marked ErrMalformed, for a field whose name has a byte that names
// cannot have. net/http accepts spaces, and does not see that a Content-Length or Transfer-Encoding
// with a space is one, so that the body is not what the server means.
func checkFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field %q", name)
		}
	}
	return nil
}

// checkBody makes the body of a response end with an error, marked ErrMalformed, if its trailer has
// a malformed field. It then calls discard.
func checkBody(r *http.Response, discard func()) {
	if r.Body != http.NoBody {
		r.Body = &checkedBody{ReadCloser: r.Body, response: r, discard: discard}
	}
}

type checkedBody struct {
	io.ReadCloser
	response *http.Response
	discard  func()
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // a transparent reader
	}
	if malformed := checkFields(b.response.Trailer); malformed != nil {
		b.discard()
		return n, malformed
	}
	return n, io.EOF
}
