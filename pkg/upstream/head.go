package upstream

import (
	"net/http"

	"github.com/cockroachdb/errors"
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
// an informational nor as a final one.
func checkHead(status int) error {
	if !IsFinalStatus(status) && !isInformational(status) {
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	return nil
}
