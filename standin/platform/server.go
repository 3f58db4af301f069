package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ServerConfig describes a fake server.
type ServerConfig struct {
	ID      string
	Service string
	Zone    string
	// Address to listen on, a free port of loopback if it is empty.
	Address string
	// PublicAddress is the address that the server's entry in the store names, its own if it
	// is empty.
	PublicAddress string
	// Model is the base model of a model server, empty for a plain one.
	Model       string
	MaxAdapters int
	// LoadTime is the time that an adapter takes.
	LoadTime time.Duration
	// Events is the number of events of a stream, EventGap the time between them.
	Events   int
	EventGap time.Duration
	Born     int64
}

// ServerFaults are the faults of a server.
type ServerFaults struct {
	// Refuse makes it refuse all requests as not run.
	Refuse bool
	// CutAfterEvents breaks a stream off after so many events, in the middle of the next.
	CutAfterEvents int
	// LoseAnswers makes it run requests and close the connection.
	LoseAnswers bool
	// Error makes it fail requests with 500.
	Error bool
	// LoseOrders makes it accept no order and answer none.
	LoseOrders bool
}

// Run is one execution of a request.
type Run struct {
	RequestID string
	Adapter   string
	Version   int
}

// Server is a fake model server or plain server.
type Server struct {
	cfg ServerConfig
	lis net.Listener
	srv *http.Server

	mu       sync.Mutex
	faults   ServerFaults
	adapters map[string]int // name to version
	coming   map[string]int
	newest   map[string]int
	running  map[string]int // requests by adapter
	sequence int64
	runs     []Run
	holders  map[string]bool
	crashed  string
	draining bool
}

// NewServer starts a server. A model server holds its base model and no adapter.
func NewServer(cfg ServerConfig) (*Server, error) {
	address := cfg.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		cfg:      cfg,
		lis:      lis,
		adapters: map[string]int{},
		coming:   map[string]int{},
		newest:   map[string]int{},
		running:  map[string]int{},
		holders:  map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /api/report", s.report)
	mux.HandleFunc("POST /api/order", s.order)
	mux.HandleFunc("/", s.request)
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.srv.Serve(lis) }() // ends with Close
	return s, nil
}

// Address returns the host:port of the server.
func (s *Server) Address() string { return s.lis.Addr().String() }

// PublicAddress returns the address that the server's entry names.
func (s *Server) PublicAddress() string {
	if s.cfg.PublicAddress == "" {
		return s.Address()
	}
	return s.cfg.PublicAddress
}

// Close ends the server and breaks its connections.
func (s *Server) Close() { s.srv.Close() }

// Key returns the key of the server's entry in the store.
func (s *Server) Key() string { return "servers/" + s.cfg.ID }

// Registration returns the server's entry in the store.
func (s *Server) Registration(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"coldRemainingMs":0,"sequence":1,"born":%d}`,
		s.cfg.Service, s.PublicAddress(), s.cfg.Zone, state, s.cfg.Born)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Drain makes the server report that it is about to leave.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetLatestVersion sets the version that a load without one fetches.
func (s *Server) SetLatestVersion(adapter string, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest[adapter] = version
}

// Runs returns the executions so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// OrderSenders returns the number of processes that gave orders.
func (s *Server) OrderSenders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holders)
}

// CrashReason returns why a real server would have crashed, or nothing.
func (s *Server) CrashReason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Fescuecourse-Instance-Id", s.cfg.ID)
}

type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

type serverReport struct {
	Born     int64       `json:"born"`
	Models   []heldModel `json:"models"`
	Busy     bool        `json:"busy"`
	Sequence int64       `json:"sequence"`
	Queued   int         `json:"queued"`
	InFlight int         `json:"inFlight"`
	KVUsed   int64       `json:"kvUsed"`
	KVTotal  int64       `json:"kvTotal"`
	Coming   []string    `json:"coming"`
	State    string      `json:"state"`
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := serverReport{Born: s.cfg.Born, Sequence: s.sequence, KVTotal: 1 << 18, State: "ready", Coming: []string{}}
	if s.draining {
		r.State = "draining"
	}
	if s.cfg.Model != "" {
		m := heldModel{Name: s.cfg.Model, Version: 1, Adapters: []string{}}
		for name, version := range s.adapters {
			m.Adapters = append(m.Adapters, fmt.Sprintf("%s@%d", name, version))
		}
		r.Models = []heldModel{m}
	}
	for name, version := range s.coming {
		r.Coming = append(r.Coming, fmt.Sprintf("%s/%s@%d", s.cfg.Model, name, version))
	}
	for _, n := range s.running {
		r.InFlight += n
	}
	reply(w, http.StatusOK, r)
}

type serverOrder struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int    `json:"version"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     uint64 `json:"fencingToken"`
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o serverOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	lost := s.faults.LoseOrders
	status := http.StatusAccepted
	switch {
	case lost:
	case r.Header.Get("X-Fescuecourse-Expect-Instance") != s.cfg.ID:
		status = http.StatusMisdirectedRequest
	case o.Expected != nil && *o.Expected != s.sequence:
		status = http.StatusConflict
	default:
		s.holders[o.Holder] = true
		status = s.carryOut(&o)
	}
	s.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(status)
}

// carryOut is called with mu held.
func (s *Server) carryOut(o *serverOrder) int {
	if o.Operation == "unload" {
		if s.running[o.Adapter] > 0 {
			return http.StatusConflict
		}
		delete(s.adapters, o.Adapter)
		s.sequence++
		return http.StatusOK
	}
	_, replacement := s.adapters[o.Adapter]
	if !replacement && len(s.adapters)+len(s.coming) >= s.cfg.MaxAdapters {
		s.crashed = "ordered to hold more adapters than it can"
	}
	version := o.Version
	if version == 0 {
		version = max(s.newest[o.Adapter], 1)
	}
	s.sequence++
	s.coming[o.Adapter] = version
	time.AfterFunc(s.cfg.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.coming, o.Adapter)
		s.adapters[o.Adapter] = version
	})
	return http.StatusAccepted
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Fescuecourse-Request-Id")
	w.Header().Set("X-Fescuecourse-Request-Id", id)
	adapter, status := s.admit(r, id)
	if status != 0 {
		w.Header().Set("X-Fescuecourse-Instance-Id", s.cfg.ID)
		if status != http.StatusMisdirectedRequest {
			w.Header().Set("X-Fescuecourse-Not-Run", "1")
		}
		w.WriteHeader(status)
		return
	}
	defer s.finish(adapter)
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	w.Header().Set("X-Fescuecourse-Server-Stamp", s.cfg.ID+".stamp")
	switch {
	case f.LoseAnswers:
		panic(http.ErrAbortHandler)
	case f.Error:
		w.WriteHeader(http.StatusInternalServerError)
	case s.cfg.Model != "":
		s.stream(w, r, f.CutAfterEvents)
	default:
		fmt.Fprintf(w, "%s %s %s %d bytes", s.cfg.ID, r.Method, r.RequestURI, len(body))
	}
}

// admit starts a run. It returns the status of a refusal, or 0.
func (s *Server) admit(r *http.Request, id string) (adapter string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want := r.Header.Get("X-Fescuecourse-Expect-Instance"); want != "" && want != s.cfg.ID {
		return "", http.StatusMisdirectedRequest
	}
	if s.faults.Refuse {
		return "", http.StatusServiceUnavailable
	}
	version := 0
	if s.cfg.Model != "" {
		_, adapter, _ = strings.Cut(r.Header.Get("X-Fescuecourse-Model"), "/")
		version = s.adapters[adapter]
		want := r.Header.Get("X-Fescuecourse-Expect-Version")
		if adapter != "" && (version == 0 || want != "" && want != fmt.Sprint(version)) {
			return "", http.StatusMisdirectedRequest
		}
	}
	s.running[adapter]++
	s.runs = append(s.runs, Run{RequestID: id, Adapter: adapter, Version: version})
	return adapter, 0
}

func (s *Server) finish(adapter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[adapter]--
}

// stream sends the events after the one named in Last-Event-Id.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, cutAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		if _, err := fmt.Sscan(last, &first); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		first++
	}
	flusher, _ := w.(http.Flusher)
	for i := first; i <= s.cfg.Events; i++ {
		if cutAfter > 0 && i > cutAfter {
			fmt.Fprintf(w, "id: %d\nda", i)
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, r.Header.Get("X-Fescuecourse-Request-Id"), i)
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.cfg.EventGap):
		}
	}
}
