package entry

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Kill stops the entry without a drain, as a crash would: the connections of all
// callers are closed at once and Run returns. It is meant for tests and demos.
func (e *Entry) Kill() { e.killOnce.Do(func() { close(e.killed) }) }

// abort closes the listener and the connections of all callers. The request contexts
// of running handlers are cancelled.
func abort(srv *http.Server) error {
	err := srv.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "close")
}
