// Package malformedtest checks that a client takes nothing from responses that do not follow
// HTTP/1.1.
package malformedtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// response is a response without its body.
type response struct{ name, head string }

// sound is the head of a response that the client must accept.
const sound = "HTTP/1.1 200 OK\r\n"

func responses() []response {
	var out []response
	for _, status := range []string{"000", "099", "+99", "101", "600", "999"} {
		out = append(out, response{"status " + status, "HTTP/1.1 " + status + " None\r\n"})
	}
	for _, line := range []string{"Bad Name: v", "Content-Length : 4", "Transfer-Encoding : chunked"} {
		out = append(out, response{"field " + line, sound + line + "\r\n"})
	}
	return append(out,
		response{"informational response", "HTTP/1.1 103 Early Hints\r\nBad Name: v\r\n\r\n" + sound},
		response{"refusal", "HTTP/1.1 503 Unavailable\r\nRetry-After: 60\r\nBad Name: v\r\n"},
	)
}

// Check calls a client of servers that send such responses, with the given body and with an empty
// one. Each call must fail with the given error, and the call of a server that sends a sound
// response with the body must succeed.
func Check(t *testing.T, body string, want error, call func(address string) error) {
	t.Helper()
	assert.NilError(t, call(serve(t, sound, body)), "sound response")
	for _, r := range responses() {
		for _, b := range []string{body, ""} {
			err := call(serve(t, r.head, b))
			assert.Check(t, errors.Is(err, want), "%s, body %q: %v", r.name, b, err)
		}
	}
}

// serve starts a server that sends the same response to each request and closes the connection. It
// returns the address.
func serve(t *testing.T, head, body string) string {
	t.Helper()
	text := head + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return listen(t, func(c net.Conn) { answer(c, text) })
}

// listen passes each connection to a loopback address to a function, and closes it afterwards. It
// returns the address.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return // closed
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return lis.Addr().String()
}

func answer(c net.Conn, text string) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // the client may be gone
	_, _ = io.WriteString(c, text)     // the client may be gone
}
