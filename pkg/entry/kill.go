package entry

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Kill ends the process without a drain, as a crash does: the connections of
// all callers are closed at once and Run returns. Tests and demos use it.
func (e *Entry) Kill() { e.killOnce.Do(func() { close(e.killed) }) }

// abort closes the listener and all connections of callers. Handlers that are
// still running see the end of their request.
func abort(srv *http.Server) error {
	err := srv.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "close")
}
