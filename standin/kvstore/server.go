package kvstore

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
)

// Intervals and timeouts of a server.
const (
	// DefaultProgressInterval is the default interval of progress notifications.
	DefaultProgressInterval = time.Second
	// expireInterval is the interval of checks for expired leases, and so the
	// resolution of expiry as watches see it.
	expireInterval = 50 * time.Millisecond
	// headerTimeout bounds the time that a client may take to send its headers.
	headerTimeout = 10 * time.Second
)

// Faults are the injected faults of a server. The zero value has none.
type Faults struct {
	// Down closes the connection of every call without applying the call.
	Down bool
	// Delay is the time that the server waits before it applies a call.
	Delay time.Duration
	// LoseReplies is the number of writes (Txn, Grant, KeepAlive, Revoke) whose
	// connection the server closes, instead of a reply, after it has applied them.
	LoseReplies int
	// MuteWatches keeps all watches open but sends nothing on them.
	MuteWatches bool
}

// Counts are the numbers of calls received, by kind. A watch counts as one call
// however many events it delivers.
type Counts struct {
	Range     int
	Txn       int
	Grant     int
	KeepAlive int
	Revoke    int
	Watch     int
}

// Total returns the number of all calls.
func (c Counts) Total() int { return c.Range + c.Txn + c.Grant + c.KeepAlive + c.Revoke + c.Watch }

// Server serves a Memory over HTTP.
type Server struct {
	// ProgressInterval is the interval of progress notifications. Set it before Run.
	ProgressInterval time.Duration

	mem  *Memory
	addr string
	lis  net.Listener

	mu     sync.Mutex
	faults Faults
	counts Counts
}

// New returns a server that listens on address (host:port). Call Run to serve.
func New(address string) (*Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the key-value service")
	}
	return &Server{ProgressInterval: DefaultProgressInterval, mem: NewMemory(time.Now), lis: lis, addr: lis.Addr().String()}, nil
}

// Addr returns the address (host:port) of the server.
func (s *Server) Addr() string { return s.addr }

// Memory returns the store behind the server.
func (s *Server) Memory() *Memory { return s.mem }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of calls received so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Run serves until ctx ends, and then returns nil.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	go s.expire(ctx)
	context.AfterFunc(ctx, func() { srv.Close() })
	if err := srv.Serve(s.lis); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the key-value service")
	}
	return nil
}

func (s *Server) expire(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.mem.Expire()
		}
	}
}

// Handler returns the HTTP handler of the gateway API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+etcd.PathRange, handle(s, read, func(c *Counts) { c.Range++ }, s.serveRange))
	mux.HandleFunc("POST "+etcd.PathTxn, handle(s, write, func(c *Counts) { c.Txn++ }, s.txn))
	mux.HandleFunc("POST "+etcd.PathGrant, handle(s, write, func(c *Counts) { c.Grant++ }, s.grant))
	mux.HandleFunc("POST "+etcd.PathKeepAlive, handle(s, write, func(c *Counts) { c.KeepAlive++ }, s.keepAlive))
	mux.HandleFunc("POST "+etcd.PathRevoke, handle(s, write, func(c *Counts) { c.Revoke++ }, s.revoke))
	mux.HandleFunc("POST "+etcd.PathWatch, s.watch)
	return mux
}

// callKind distinguishes reads from writes. Only the reply to a write can be lost by
// Faults.LoseReplies.
type callKind bool

const (
	read  callKind = false
	write callKind = true
)

// beginCall counts a call and injects the faults that precede its effect. It panics
// with http.ErrAbortHandler to close the connection.
func (s *Server) beginCall(ctx context.Context, count func(*Counts)) {
	s.mu.Lock()
	count(&s.counts)
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	if f.Down {
		panic(http.ErrAbortHandler)
	}
}

// loseReply reports whether to drop the reply to the current write, and counts it.
func (s *Server) loseReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}

// handle returns the HTTP handler of one kind of call. It injects the faults before
// and after the call takes effect.
func handle[Req, Resp any](s *Server, kind callKind, count func(*Counts), serve func(context.Context, Req) (Resp, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			writeError(w, http.StatusBadRequest, etcd.CodeInvalid, err.Error())
			return
		}
		s.beginCall(r.Context(), count)
		resp, err := serve(r.Context(), req)
		if kind == write && s.loseReply() {
			panic(http.ErrAbortHandler)
		}
		if errors.Is(err, kv.ErrLeaseNotFound) {
			writeError(w, http.StatusNotFound, etcd.CodeNotFound, etcd.LeaseNotFoundMessage)
			return
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, etcd.CodeInvalid, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(resp)
	}
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(etcd.Status{Code: code, Message: message})
}
