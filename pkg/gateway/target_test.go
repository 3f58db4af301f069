package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// Guards against a server that runs a request with another target than its caller wrote: slashes
// in a row became a host, and dots or escapes could be resolved.
func TestServerReadsTheTargetOfTheCaller(t *testing.T) {
	all := route.Route{Name: "all", Prefix: "/", Kind: route.NonIdempotent, Services: []route.WeightedService{{Service: plainService, Weight: 1}}}
	w := newTestGateway(t, all)
	got := make(chan string, 1)
	w.serve(plainService, func(rw http.ResponseWriter, r *http.Request) {
		got <- r.RequestURI
		markFromPlatform(rw, r)
	})
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	answers := bufio.NewReader(conn)
	pieces := []string{"/", "//", "host", ":80", "..", ".", "%2F", "%2e", "?", "?x=1", "&", ";", "*", "a", "@", "\"", "+"}
	rapid.Check(t, func(t *rapid.T) {
		target := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 8).Draw(t, "target"), "")
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nContent-Length: 0\r\n\r\n", target)
		resp, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, target)
		assert.Equal(t, <-got, target)
	})
}
