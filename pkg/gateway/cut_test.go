package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// cutResponse is a response that a server may end early.
type cutResponse struct {
	framing upstream.Framing
	// after is the number of body bytes that are sent, framing included, or -1 for all.
	after int
	// reset ends the connection with a TCP reset instead of a FIN.
	reset bool
}

func (c cutResponse) String() string {
	return fmt.Sprintf("framed by %s, cut after %d bytes, reset %t", c.framing, c.after, c.reset)
}

// wire returns the head of the response and what the server sends of the framed body.
func (c cutResponse) wire(body string) (head, sent string) {
	head = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r1\r\nContent-Type: text/event-stream\r\n"
	switch c.framing {
	case upstream.FramedByLength:
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	case upstream.FramedByChunks:
		head += "Transfer-Encoding: chunked\r\n"
		half := len(body) / 2
		sent = chunk(body[:half]) + chunk(body[half:]) + "0\r\n\r\n"
	}
	if sent == "" {
		sent = body
	}
	if c.after >= 0 && c.after < len(sent) {
		sent = sent[:c.after]
	}
	return head + "\r\n", sent
}

func chunk(data string) string {
	if data == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}

// endsClosed reports whether the connection of the response is closed regularly and its body
// has no other end.
func (c cutResponse) endsClosed() bool { return c.framing == upstream.FramedByClose && !c.reset }

// cutServer is a server that sends the same series of events, or the rest of it, and cuts its
// responses.
type cutServer struct {
	events   []string
	response cutResponse
}

// serve starts the server and adds it to the directory.
func (s *cutServer) serve(w *testGateway, service string) {
	w.t.Helper()
	w.addAt(service, serveConns(w.t, s.respond))
	if service == modelService {
		setResident(w.find(service, fleet.ID(fmt.Sprintf("s%d", w.servers))), adapterKey, 1)
	}
}

func (s *cutServer) respond(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	last, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0 // a request from the beginning
	}
	head, sent := s.response.wire(strings.Join(s.events[last:], ""))
	_, _ = io.WriteString(c, head+sent) // the entry may be gone
	if s.response.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// received is what a caller gets of a response.
type received struct {
	status  int
	framing upstream.Framing
	body    string
	// broken is true if the end of the body was missing or the connection was reset.
	broken bool
}

// receive sends a request over a connection of its own and reads the response.
func receive(w *testGateway, proto, path string) received {
	w.t.Helper()
	return receiveWithin(w, proto, path, 3*time.Second)
}

// receiveWithin is receive for a request with the given time for its response.
func receiveWithin(w *testGateway, proto, path string, budget time.Duration) received {
	w.t.Helper()
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	assert.NilError(w.t, err)
	defer c.Close()
	assert.NilError(w.t, c.SetDeadline(time.Now().Add(2*budget)))
	fmt.Fprintf(c, "GET %s %s\r\nHost: h.example\r\nId: r1\r\nModel: m/a1\r\nBudget-Ms: %d\r\n\r\n", path, proto, budget.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodGet})
	if err != nil {
		return received{broken: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return received{status: resp.StatusCode, framing: upstream.FramingOf(resp), body: string(body), broken: err != nil}
}

// tail returns the length and the end of a body for messages.
func tail(body string) string {
	return fmt.Sprintf("%d bytes up to %q", len(body), body[max(0, len(body)-40):])
}

// check compares what a caller got with the whole body. Parts are the parts of the body after
// each of which a response without other framing may end.
func (r received) check(t assert.TestingT, parts []string, responses []cutResponse) {
	whole := strings.Join(parts, "")
	if r.status != http.StatusOK {
		assert.Assert(t, r.broken || r.status >= http.StatusInternalServerError, "status %d", r.status)
		return
	}
	assert.Assert(t, strings.HasPrefix(whole, r.body), "the body is no beginning of the whole: %s", tail(r.body))
	counted, closed := false, false
	for _, c := range responses {
		counted = counted || c.framing != upstream.FramedByClose
		closed = closed || c.endsClosed()
	}
	switch {
	case r.broken:
		return
	case r.body == whole:
		assert.Assert(t, counted || r.framing == upstream.FramedByClose, "framed by %s, which no server has vouched for", r.framing)
		return
	}
	assert.Assert(t, r.framing == upstream.FramedByClose, "a part looks complete: %s, framed by %s", tail(r.body), r.framing)
	assert.Assert(t, closed, "no server closed its connection regularly: %s", tail(r.body))
	boundary, sum := false, 0
	for _, p := range parts {
		sum += len(p)
		boundary = boundary || sum == len(r.body)
	}
	assert.Assert(t, boundary, "a response that ends inside an event looks complete: %s", tail(r.body))
}

var cutEvents = []string{"id: 1\ndata: first\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: the third\n\n"}

var framings = []upstream.Framing{upstream.FramedByLength, upstream.FramedByChunks, upstream.FramedByClose}

// Guards against a stream that breaks off at any byte and reaches its caller as complete: of
// two events and the start of a third without a length, the caller got all and a regular end.
func TestStreamCutAtEveryByteNeverLooksComplete(t *testing.T) {
	for _, path := range []string{"/s/x", "/o/x"} {
		for _, framing := range framings {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s reset %t", path[1:2], framing, reset), func(t *testing.T) {
					t.Parallel()
					_, all := cutResponse{framing: framing, after: -1}.wire(strings.Join(cutEvents, ""))
					for after := range len(all) {
						c := cutResponse{framing: framing, after: after, reset: reset}
						w := newTestGateway(t, streamRoute, onceRoute)
						(&cutServer{events: cutEvents, response: c}).serve(w, modelService)
						got := receive(w, "HTTP/1.1", path)
						got.check(t, cutEvents, []cutResponse{c})
					}
				})
			}
		}
	}
}

// Guards against a stream that breaks off at one or several servers and is joined, ended or
// repeated wrongly: an event twice, one missing, or a part that looks complete, for callers of
// HTTP/1.1 and 1.0, with each line end that the format of events allows.
func TestStreamsThatBreakOffAtSeveralServers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(r, "line end")
		var events []string
		for i := range rapid.IntRange(1, 4).Draw(r, "events") {
			data := strings.Repeat("x", rapid.IntRange(0, 12).Draw(r, "data"))
			events = append(events, fmt.Sprintf("id: %d%[3]sdata: %[2]s%[3]s%[3]s", i+1, data, lineEnd))
		}
		w := newTestGateway(t, streamRoute, onceRoute)
		defer w.front.Close()
		var responses []cutResponse
		for range rapid.IntRange(1, 3).Draw(r, "servers") {
			c := cutResponse{framing: rapid.SampledFrom(framings).Draw(r, "framing"), after: rapid.IntRange(-1, 40).Draw(r, "after"), reset: rapid.Bool().Draw(r, "reset")}
			if c.after < 0 {
				c.reset = false
			}
			responses = append(responses, c)
			(&cutServer{events: events, response: c}).serve(w, modelService)
		}
		proto := rapid.SampledFrom([]string{"HTTP/1.1", "HTTP/1.0"}).Draw(r, "protocol")
		path := rapid.SampledFrom([]string{"/s/x", "/o/x"}).Draw(r, "path")
		got := receive(w, proto, path)
		if proto == "HTTP/1.0" && !got.broken && got.status == http.StatusOK && got.body == strings.Join(events, "") {
			return // such a caller knows no chunks
		}
		got.check(r, events, responses)
	})
}

// Guards against a stream of a server that always ends its responses with the connection and
// that no caller gets, gets only in part, or gets with an end that nobody vouches for.
func TestWholeStreamWithoutALengthIsRelayed(t *testing.T) {
	for _, path := range []string{"/s/x", "/o/x"} {
		w := newTestGateway(t, streamRoute, onceRoute)
		(&cutServer{events: cutEvents, response: cutResponse{framing: upstream.FramedByClose, after: -1}}).serve(w, modelService)
		got := receive(w, "HTTP/1.1", path)
		assert.DeepEqual(t, got.body, strings.Join(cutEvents, ""))
		assert.Assert(t, !got.broken)
		assert.Equal(t, got.framing, upstream.FramedByClose)
	}
}

// Guards against a stream that a resumed attempt ends without a length and whose caller, who
// was promised a last chunk, gets one that no server has vouched for.
func TestResumedStreamWithoutALengthIsNotVouchedFor(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	first := cutResponse{framing: upstream.FramedByChunks, after: len(cutEvents[0]) + 4}
	(&cutServer{events: cutEvents, response: first}).serve(w, modelService)
	second := cutResponse{framing: upstream.FramedByClose, after: -1}
	(&cutServer{events: cutEvents, response: second}).serve(w, modelService)
	for range 8 {
		got := receive(w, "HTTP/1.1", "/s/x")
		got.check(t, cutEvents, []cutResponse{first, second})
	}
}

// lastCuts is the number of bytes before the end of a response at which it is cut.
const lastCuts = 24

// transferBudget is the time for a large response on a busy machine, so that no response ends
// at its deadline instead of where it is cut.
const transferBudget = time.Minute

// Guards against a response that breaks off at any byte and that the entry vouches for with a
// length of its own, buffered and larger than the buffer.
func TestResponseCutAtEveryByteNeverLooksComplete(t *testing.T) {
	bodies := map[string][]string{
		"buffered": {"0123456789abcdef"},
		"large":    {string(bytes.Repeat([]byte("0123456789abcdef"), maxBufferedBytes/16+4))},
	}
	for name, body := range bodies {
		for _, path := range []string{"/p/x", "/u/x"} {
			for _, framing := range framings {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s %s %s reset %t", name, path[1:2], framing, reset), func(t *testing.T) {
						t.Parallel()
						_, all := cutResponse{framing: framing, after: -1}.wire(body[0])
						for after := max(0, len(all)-lastCuts); after <= len(all); after++ {
							c := cutResponse{framing: framing, after: after, reset: reset && after < len(all)}
							w := newTestGateway(t, plainRoute, unsafeRoute)
							(&cutServer{events: body, response: c}).serve(w, plainService)
							got := receiveWithin(w, "HTTP/1.1", path, transferBudget)
							if got.framing == upstream.FramedByClose && c.endsClosed() {
								assert.Assert(t, got.body == all[:after], "%s: %d bytes, broken %t", c, len(got.body), got.broken)
								assert.Assert(t, !got.broken, "%s: ended with a reset", c)
								continue
							}
							got.check(t, body, []cutResponse{c})
						}
					})
				}
			}
		}
	}
}
