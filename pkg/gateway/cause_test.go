package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/internal/logrecorder"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

const (
	// cutTestBudget is the time limit of the requests that end at their deadline. It is between
	// the times after which a server counts as lost and a stream as stalled.
	cutTestBudget = 1800 * time.Millisecond
	// callerExitTime is the time in which the gateway notices that a caller has closed
	// its side of the connection.
	callerExitTime = 100 * time.Millisecond
	statusInterval = 100 * time.Millisecond
	// cutTestGrace leaves 100 ms for the closing log lines of a shutdown.
	cutTestGrace = 5 * time.Second
	firstEvent   = "id: 1\ndata: x\n\n"
	secondEvent  = "id: 2\ndata: y\n\n"
)

// gatedWriter blocks the second write of a handler until gate is closed. All that
// happens meanwhile has happened before the handler continues, as after a suspension
// of the process.
type gatedWriter struct {
	http.ResponseWriter
	writes  int
	blocked chan struct{}
	gate    chan struct{}
}

func (w *gatedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *gatedWriter) Write(p []byte) (int, error) {
	w.writes++
	if w.writes == 2 {
		close(w.blocked)
		<-w.gate
	}
	return w.ResponseWriter.Write(p)
}

// cutStream is a stream whose handler is blocked after its first event has reached
// the caller.
type cutStream struct {
	conn     *net.TCPConn
	body     *http.Response
	stop     context.CancelCauseFunc
	log      *logrecorder.Recorder
	lost     atomic.Bool
	began    time.Time
	released chan struct{}
	// alternative is a server at which the stream could continue. Without one, a stream
	// stays with a lost server.
	alternative *fleet.Endpoint
}

// startCutStream starts a gateway with one model server and a stream from it.
func startCutStream(t *testing.T, budget time.Duration) *cutStream {
	t.Helper()
	w := newTestGateway(t, streamRoute)
	s := &cutStream{began: time.Now(), log: &logrecorder.Recorder{}, released: make(chan struct{})}
	w.gateway.log = s.log.Logger()
	delivered := make(chan struct{})
	e := w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		io.WriteString(rw, firstEvent)
		rw.(http.Flusher).Flush()
		<-delivered
		io.WriteString(rw, secondEvent)
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	keepReporting(t, e, func() *fleet.Status {
		st := residentStatus()
		st.Down = s.lost.Load()
		return st
	})
	blocked := make(chan struct{})
	front := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.gateway.serve(&gatedWriter{ResponseWriter: rw, blocked: blocked, gate: s.released}, r)
	}))
	base, stop := context.WithCancelCause(context.Background())
	s.stop = stop
	front.Config.BaseContext = func(net.Listener) context.Context { return base }
	front.Start()
	t.Cleanup(front.Close)
	s.conn, s.body = openRequest(t, front.Listener.Addr().String(), "/s/x", budget)
	event := make([]byte, len(firstEvent))
	_, err := io.ReadFull(s.body.Body, event)
	assert.NilError(t, err)
	close(delivered)
	<-blocked
	s.alternative = w.serve(modelService, func(http.ResponseWriter, *http.Request) {})
	setResident(s.alternative, adapterKey, 1)
	return s
}

// openRequest sends a request and returns its connection and its response, whose body
// has not been read.
func openRequest(t *testing.T, address, path string, budget time.Duration) (*net.TCPConn, *http.Response) {
	t.Helper()
	conn := dialRequest(t, address, path, budget)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	return conn, resp
}

func dialRequest(t *testing.T, address, path string, budget time.Duration) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	conn, ok := c.(*net.TCPConn)
	assert.Assert(t, ok)
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nModel: m/a1\r\nBudget-Ms: %d\r\n\r\n", path, budget.Milliseconds())
	return conn
}

// cutCause is a way in which a stream ends before its response is complete. fire
// returns after it has taken effect.
type cutCause struct {
	name   string
	cause  endcause.Cause
	budget time.Duration
	fire   func(s *cutStream)
}

var (
	// callerCloses closes only the sending side, so that the test still sees what the
	// gateway sends.
	callerCloses = cutCause{"caller", endcause.CallerGone, 10 * time.Second, func(s *cutStream) {
		_ = s.conn.CloseWrite() // fails only on a closed connection
		time.Sleep(callerExitTime)
	}}
	watchFires = cutCause{"watch", endcause.ServerLost, 10 * time.Second, func(s *cutStream) {
		s.lost.Store(true)
		time.Sleep(statusInterval + serverDownAfter + (lostChecks+1)*watchInterval)
	}}
	stallTimerFires = cutCause{"stall timer", endcause.Stalled, 10 * time.Second, func(s *cutStream) {
		time.Sleep(time.Until(s.began.Add(minStallLimit + callerExitTime)))
	}}
	deadlinePasses = cutCause{"deadline", endcause.Deadline, cutTestBudget, func(s *cutStream) {
		time.Sleep(time.Until(s.began.Add(cutTestBudget + callerExitTime)))
	}}
	entryStops = cutCause{"stop", endcause.Stopped, 10 * time.Second, func(s *cutStream) { s.stop(endcause.Stopped) }}
)

// Guards against a cut stream that looks complete to its caller when two causes end
// it before the attempt returns, as after a suspension of the process, and against a
// closing log line without the first of them.
func TestCutStreamNeverLooksComplete(t *testing.T) {
	for _, pair := range [][2]cutCause{
		{callerCloses, watchFires},
		{watchFires, stallTimerFires},
		{watchFires, deadlinePasses},
		{entryStops, callerCloses},
	} {
		for _, order := range [][2]cutCause{pair, {pair[1], pair[0]}} {
			t.Run(order[0].name+" then "+order[1].name, func(t *testing.T) {
				t.Parallel()
				s := startCutStream(t, min(order[0].budget, order[1].budget))
				order[0].fire(s)
				order[1].fire(s)
				s.alternative.Runtime.Ban(time.Now().Add(time.Minute))
				close(s.released)
				rest, err := io.ReadAll(s.body.Body)
				assert.Assert(t, err != nil, "the stream looks complete after %q", firstEvent+string(rest))
				assert.DeepEqual(t, s.log.ClosingCauses(t), []string{order[0].cause.String()})
			})
		}
	}
}

// Guards against a complete empty response to a request that was abandoned before its
// response began. A caller that has closed only its sending side reads it.
func TestAbandonedRequestGetsNoResponse(t *testing.T) {
	for _, path := range []string{"/p/x", "/u/x", "/s/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := newTestGateway(t, plainRoute, unsafeRoute, streamRoute)
			begun := make(chan struct{})
			handler := func(rw http.ResponseWriter, r *http.Request) {
				markFromPlatform(rw, r)
				rw.Header().Set("Content-Length", "100")
				io.WriteString(rw, "part")
				rw.(http.Flusher).Flush()
				close(begun)
				<-r.Context().Done()
			}
			w.serve(plainService, handler)
			setResident(w.serve(modelService, handler), adapterKey, 1)
			conn := dialRequest(t, w.front.Listener.Addr().String(), path, 10*time.Second)
			<-begun
			assert.NilError(t, conn.CloseWrite())
			got, _ := io.ReadAll(conn) // a reset is as good as an end
			assert.Equal(t, string(got), "")
		})
	}
}

// Guards against requests that are cut off at the end of a shutdown without a closing
// log line.
func TestStopEndsRunningRequests(t *testing.T) {
	t.Parallel()
	w := newTestGateway(t, onceRoute)
	w.gateway.set.Grace = cutTestGrace
	setResident(w.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		for r.Context().Err() == nil {
			io.WriteString(rw, firstEvent)
			rw.(http.Flusher).Flush()
			time.Sleep(statusInterval)
		}
	}), adapterKey, 1)
	log := &logrecorder.Recorder{}
	w.gateway.log = log.Logger()
	requests, endRequests := context.WithCancelCause(context.Background())
	front := httptest.NewUnstartedServer(nil)
	w.gateway.configure(requests, front)
	front.Start()
	t.Cleanup(front.Close)
	_, resp := openRequest(t, front.Listener.Addr().String(), "/o/x", 2*cutTestGrace)
	assert.NilError(t, w.gateway.drain(front.Config, endRequests))
	assert.DeepEqual(t, log.ClosingCauses(t), []string{endcause.Stopped.String()})
	_, err := io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "the stream looks complete")
}
