package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/service"
)

// serveOnce starts a server that sends a response to one call and closes the connection. It
// returns the address.
func serveOnce(t *testing.T, response string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, response)
	}()
	return lis.Addr().String()
}

// Guards against a response that a service broke off and that is passed on as complete: the
// end of the connection was taken for the end of a response without a length.
func TestResponseThatMayBeCutIsUnknown(t *testing.T) {
	const length, none, chunked = "Content-Length: 16\r\n", "", "Transfer-Encoding: chunked\r\n"
	rows := []struct {
		header, body string
		complete     bool
	}{
		{length, `{"sold":"a-1234"}`[:16], true},
		{length, `{"sold":"a-12`, false},
		{chunked, "4\r\nsold\r\n0\r\n\r\n", true},
		{chunked, "4\r\nsold\r\n", false},
		{none, `{"sold":"a-1234"}`, true},
		{none, `[{"sold":"a-1234"}]` + "\n", true},
		{none, `{"sold":"a-12`, false},
		{none, `{"sold":"a-1234"`, false},
		{none, "1234", false},
		{none, "sold", false},
		{none, "", false},
	}
	for _, r := range rows {
		address := serveOnce(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n%s", r.header, r.body))
		_, err := service.New(address, &http.Client{}).Do(t.Context(), service.Call{Method: http.MethodPost, Path: "/x"})
		assert.Equal(t, err == nil, r.complete, "%q %q: %v", r.header, r.body, err)
		assert.Assert(t, err == nil || errors.Is(err, service.ErrResultUnknown), "%q %q: %v", r.header, r.body, err)
	}
}
