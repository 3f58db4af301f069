// Package rawanswer makes a fake server send answers that are given byte by byte, so that
// they may be broken in ways in which net/http sends none.
package rawanswer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// End is how a connection ends after an answer.
type End uint8

// Ends of connections.
const (
	// Close closes the connection. The kernel resets it if the request was not read to its end.
	Close End = iota
	// Reset ends the connection with a TCP reset.
	Reset
	// Stay leaves the connection open until the client closes it.
	Stay
)

// earlyPause is the time between an early answer and the end of its connection, so that the
// client has read the answer and is still writing when the connection ends.
const earlyPause = 50 * time.Millisecond

// Answer is an answer to one request.
type Answer struct {
	// Text is the answer as it is sent. "{id}" stands for the value of the header that IDHeader
	// of the server names.
	Text string
	End  End
	// Early sends the answer before the body of the request is read, which stays unread.
	Early bool
}

// Server answers the requests that Match selects with an Answer while one is set, and passes
// all others on.
type Server struct {
	next     http.Handler
	idHeader string
	match    func(*http.Request) bool

	mu       sync.Mutex
	answer   *Answer
	answered int
}

// New returns a server before next. idHeader names the header with the id of a request. A nil
// match selects all requests.
func New(next http.Handler, idHeader string, match func(*http.Request) bool) *Server {
	return &Server{next: next, idHeader: idHeader, match: match}
}

// Set sets the answer, and the count of answers to 0. All requests are passed on if it is nil.
func (s *Server) Set(a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.answered = a, 0
}

// Answered returns how often the answer was given since it was set.
func (s *Server) Answered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// take returns the answer to a request, or nil if it is to be passed on.
func (s *Server) take(r *http.Request) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer == nil || s.match != nil && !s.match(r) {
		return nil
	}
	s.answered++
	return s.answer
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := s.take(r)
	if a == nil {
		s.next.ServeHTTP(w, r)
		return
	}
	if !a.Early {
		_, _ = io.Copy(io.Discard, r.Body) // the client may be gone
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the server speaks HTTP/1.1 only
	}
	defer conn.Close()
	a.send(conn, strings.ReplaceAll(a.Text, "{id}", r.Header.Get(s.idHeader)))
}

func (a *Answer) send(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text) // the client may be gone
	if a.Early {
		time.Sleep(earlyPause)
	}
	switch a.End {
	case Reset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
	case Stay:
		_, _ = io.Copy(io.Discard, conn)
	}
}
