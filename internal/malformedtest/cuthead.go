package malformedtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// cutHeads are the beginnings of responses that end within their heads.
var cutHeads = []string{
	"",
	"HTTP/1.1 ",
	sound,
	sound + "Content-Length: 2\r\nNa",
	sound + "Content-Length: 2\r\nName: va",
	sound + "Content-Length: 2\r\n",
	sound + "Content-Length: 2\r\n\r",
}

// CheckCutHeads makes two calls over one connection of a client that open returns. The server sends a
// sound response with the given body to the first one, and a part of a head to the second one, which
// must fail with the given error and be sent once.
func CheckCutHeads(t *testing.T, body string, want error, open func(address string) (call func() error)) {
	t.Helper()
	whole := sound + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for _, cut := range cutHeads {
		s := cutServer{whole: whole, cut: cut}
		call := open(s.start(t))
		assert.NilError(t, call(), "first call")
		err := call()
		assert.Check(t, errors.Is(err, want), "%q: %v", cut, err)
		assert.Check(t, s.calls.Load() == 2, "%q: %d calls reached the server", cut, s.calls.Load())
		assert.Check(t, s.conns.Load() == 1, "%q: %d connections", cut, s.conns.Load())
	}
}

// cutServer sends a whole response to its first call and a part of one to each later one.
type cutServer struct {
	whole, cut   string
	calls, conns atomic.Int32
}

// start starts the server and returns its address.
func (s *cutServer) start(t *testing.T) string {
	t.Helper()
	return listen(t, func(c net.Conn) {
		s.conns.Add(1)
		s.serve(c)
	})
}

func (s *cutServer) serve(c net.Conn) {
	requests := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a request that was cut is answered too
		if s.calls.Add(1) > 1 {
			_, _ = io.WriteString(c, s.cut) // the client may be gone
			return
		}
		if _, err := io.WriteString(c, s.whole); err != nil {
			return
		}
	}
}
