package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/internal/logrecorder"
	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
)

// sendRaw sends a request over its own connection, so that the test can close one
// side of it.
func (b *testBed) sendRaw(t *testing.T, path, body string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", b.http.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	conn, ok := c.(*net.TCPConn)
	assert.Assert(t, ok)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, testKey, len(body), body)
	return conn
}

// Guards against a cut stream whose HTTP body looks complete after the caller has
// closed its sending side, and against a closing log line without this cause.
func TestAbandonedStreamNeverLooksComplete(t *testing.T) {
	b := newTestBed(t, modelKind, []script{answer(1, false, silent)})
	log := &logrecorder.Recorder{}
	b.e.log = log.Logger()
	conn := b.sendRaw(t, completions, streamBody)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	first := make([]byte, len(streamText(1)))
	_, err = io.ReadFull(resp.Body, first)
	assert.NilError(t, err)
	assert.NilError(t, conn.CloseWrite())
	rest, err := io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "the stream looks complete after %q", string(first)+string(rest))
	assert.DeepEqual(t, log.ClosingCauses(t), []string{endcause.CallerGone.String()})
}

// Guards against a complete empty response to a request that was abandoned before its
// response began.
func TestAbandonedRequestGetsNoResponse(t *testing.T) {
	for _, c := range []struct {
		kind       fescuev1.EndpointKind
		path, body string
	}{
		{modelKind, completions, streamBody},
		{modelKind, completions, plainBody},
		{serviceKind, handoff, "call"},
	} {
		begun := make(chan struct{})
		hold := func(f *fakeEndpoint, req *fescuev1.RunRequest, stream grpc.ServerStreamingServer[fescuev1.RunFrame]) error {
			close(begun)
			return silent(f, req, stream)
		}
		b := newTestBed(t, c.kind, []script{hold})
		conn := b.sendRaw(t, c.path, c.body)
		<-begun
		assert.NilError(t, conn.CloseWrite())
		got, _ := io.ReadAll(conn) // a reset is as good as an end
		assert.Equal(t, string(got), "")
	}
}

// Guards against requests that are cut off at the end of a shutdown without a closing
// log line.
func TestStopEndsRunningRequests(t *testing.T) {
	b := newTestBed(t, modelKind, []script{answer(1, false, silent)})
	b.e.timing.progressTimeout = time.Minute
	b.e.settings.DrainTimeout = 100 * time.Millisecond
	log := &logrecorder.Recorder{}
	b.e.log = log.Logger()
	requests, endRequests := context.WithCancelCause(context.Background())
	b.http = httptest.NewUnstartedServer(nil)
	lis := connlimit.New(b.http.Listener, connlimit.Limits{MaxConns: 10})
	b.http.Listener = lis
	b.http.Config = b.e.newServer(requests, lis)
	b.http.Start()
	t.Cleanup(b.http.Close)
	conn := b.sendRaw(t, completions, streamBody)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Assert(t, b.e.drain(b.http.Config, endRequests) != nil)
	assert.DeepEqual(t, log.ClosingCauses(t), []string{endcause.Stopped.String()})
	rest, _ := io.ReadAll(resp.Body)
	assert.Assert(t, !strings.Contains(string(rest), "[DONE]"), "the stream looks complete: %q", rest)
}
