package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/connlimit"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// callerSteps records in order what happens to the response of one caller.
type callerSteps struct{ steps []string }

// recordingConn records how the connection of a caller is set to end.
type recordingConn struct {
	net.Conn
	*callerSteps
}

func (c recordingConn) SetLinger(seconds int) error {
	c.steps = append(c.steps, fmt.Sprint("linger ", seconds))
	return nil
}

// recordingWriter records when bytes of a response are written and flushed.
type recordingWriter struct {
	*httptest.ResponseRecorder
	*callerSteps
}

func (w recordingWriter) Write(p []byte) (int, error) {
	w.steps = append(w.steps, "write")
	return w.ResponseRecorder.Write(p) //nolint:wrapcheck // only recorded
}

func (w recordingWriter) Flush() {
	w.steps = append(w.steps, "flush")
	w.ResponseRecorder.Flush()
}

// Guards against the death of the entry between the permission of a regular close and the last
// bytes of a response that ends with its connection: the part would look complete.
func TestLastBytesAreSentBeforeARegularClose(t *testing.T) {
	for _, path := range []string{"/p/x", "/o/x"} {
		w := newTestGateway(t, plainRoute, onceRoute)
		response := cutResponse{framing: upstream.FramedByClose, after: -1}
		for _, service := range []string{plainService, modelService} {
			(&cutServer{events: cutEvents, response: response}).serve(w, service)
		}
		s := &callerSteps{}
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Host = "h.example"
		for name, value := range forAdapter {
			r.Header.Set(name, value)
		}
		r.Header.Set("Id", "r1")
		w.gateway.serve(recordingWriter{httptest.NewRecorder(), s}, r.WithContext(connlimit.WithConn(r.Context(), recordingConn{callerSteps: s})))
		assert.Equal(t, s.steps[0], "linger 0", "%v", s.steps)
		assert.DeepEqual(t, s.steps[len(s.steps)-2:], []string{"flush", "linger -1"})
		assert.Assert(t, slices.Contains(s.steps, "write"), "%v", s.steps)
	}
}
