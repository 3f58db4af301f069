// Package endless is a fake server whose responses never end.
package endless

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// blockBytes is how much is written at once.
const blockBytes = 64 << 10

// Server writes a beginning and then the same bytes to each connection, from its first
// request until the peer closes it.
type Server struct {
	lis  net.Listener
	lost chan struct{}
	sent atomic.Int64
}

// NewServer starts a server on a loopback address.
func NewServer(beginning, rest string) (*Server, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{lis: lis, lost: make(chan struct{}, 1)}
	block := bytes.Repeat([]byte(rest), blockBytes/len(rest)+1)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return // closed
			}
			go s.serve(c, beginning, block)
		}
	}()
	return s, nil
}

func (s *Server) serve(c net.Conn, beginning string, block []byte) {
	defer c.Close()
	_, err := c.Read(make([]byte, blockBytes))
	if err == nil {
		_, err = io.WriteString(c, beginning)
	}
	for err == nil {
		var n int
		n, err = c.Write(block)
		s.sent.Add(int64(n))
	}
	select {
	case s.lost <- struct{}{}:
	default:
	}
}

// Address returns the host:port of the server.
func (s *Server) Address() string { return s.lis.Addr().String() }

// Lost returns a channel with a value after a connection has been closed by its peer.
func (s *Server) Lost() <-chan struct{} { return s.lost }

// Close stops accepting connections.
func (s *Server) Close() { s.lis.Close() }
