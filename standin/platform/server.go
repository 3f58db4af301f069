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
	// Address is the address (host:port) to listen on. If it is empty, the server uses
	// a free loopback port.
	Address string
	// PublicAddress is the address in the server's registration. If it is empty,
	// the listen address is used.
	PublicAddress string
	// Model is the base model of a model server. It is empty for a plain server.
	Model string
	// MaxAdapters is the number of adapters that a model server can hold.
	MaxAdapters int
	// LoadTime is the time that it takes to load an adapter.
	LoadTime time.Duration
	// Events is the number of events of a stream, EventGap the time between them.
	Events   int
	EventGap time.Duration
	// Born distinguishes the instances that are started on one address.
	Born int64
}

// ServerFaults are the injected faults of a server. The zero value has none.
type ServerFaults struct {
	// Refuse makes the server reject all requests with 503 and mark them as not run.
	Refuse bool
	// CutAfterEvents is the number of events after which the server closes the
	// connection of a stream, in the middle of the next event. 0 disables the fault.
	CutAfterEvents int
	// LoseAnswers makes the server run requests and close the connection without a
	// response.
	LoseAnswers bool
	// Error makes the server respond with 500 to the requests that it runs.
	Error bool
	// LoseOrders makes the server neither execute orders (to load or unload an adapter)
	// nor respond to them.
	LoseOrders bool
}

// Run is one execution of a request.
type Run struct {
	RequestID string
	Adapter   string
	Version   int
}

// Server is a fake model server or plain HTTP server.
type Server struct {
	cfg ServerConfig
	lis net.Listener
	srv *http.Server

	mu           sync.Mutex
	faults       ServerFaults
	adapters     map[string]int // resident adapters, name to version
	loading      map[string]int
	latest       map[string]int
	running      map[string]int // number of running requests by adapter
	sequence     int64
	runs         []Run
	orderSenders map[string]bool
	crashReason  string
	draining     bool
}

// NewServer starts a server. A model server starts with its base model and no
// adapters.
func NewServer(cfg ServerConfig) (*Server, error) {
	address := cfg.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the fake server")
	}
	s := &Server{
		cfg:          cfg,
		lis:          lis,
		adapters:     map[string]int{},
		loading:      map[string]int{},
		latest:       map[string]int{},
		running:      map[string]int{},
		orderSenders: map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /api/report", s.report)
	mux.HandleFunc("POST /api/order", s.order)
	mux.HandleFunc("/", s.request)
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.srv.Serve(lis) }() // Close ends it
	return s, nil
}

// Address returns the listen address (host:port) of the server.
func (s *Server) Address() string { return s.lis.Addr().String() }

// PublicAddress returns the address in the server's registration.
func (s *Server) PublicAddress() string {
	if s.cfg.PublicAddress == "" {
		return s.Address()
	}
	return s.cfg.PublicAddress
}

// Close stops the server and closes its connections.
func (s *Server) Close() { s.srv.Close() }

// Key returns the key of the server's registration in the store.
func (s *Server) Key() string { return "servers/" + s.cfg.ID }

// Registration returns the value of the server's registration in the store, with
// the given state.
func (s *Server) Registration(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"coldRemainingMs":0,"sequence":1,"born":%d}`,
		s.cfg.Service, s.PublicAddress(), s.cfg.Zone, state, s.cfg.Born)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Drain makes the server report the state "draining".
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetLatestVersion sets the version of an adapter that the server loads if an order
// names no version.
func (s *Server) SetLatestVersion(adapter string, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[adapter] = version
}

// Runs returns the executions of requests so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// OrderSenders returns the number of processes from which the server accepted orders.
func (s *Server) OrderSenders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.orderSenders)
}

// CrashReason returns the reason for which a real server would have crashed, or an
// empty string.
func (s *Server) CrashReason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashReason
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Fescuecourse-Instance-Id", s.cfg.ID)
}

type loadedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

type reportBody struct {
	Born     int64         `json:"born"`
	Models   []loadedModel `json:"models"`
	Busy     bool          `json:"busy"`
	Sequence int64         `json:"sequence"`
	Queued   int           `json:"queued"`
	InFlight int           `json:"inFlight"`
	KVUsed   int64         `json:"kvUsed"`
	KVTotal  int64         `json:"kvTotal"`
	Coming   []string      `json:"coming"`
	State    string        `json:"state"`
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := reportBody{Born: s.cfg.Born, Sequence: s.sequence, KVTotal: 1 << 18, State: "ready", Coming: []string{}}
	if s.draining {
		r.State = "draining"
	}
	if s.cfg.Model != "" {
		m := loadedModel{Name: s.cfg.Model, Version: 1, Adapters: []string{}}
		for name, version := range s.adapters {
			m.Adapters = append(m.Adapters, fmt.Sprintf("%s@%d", name, version))
		}
		r.Models = []loadedModel{m}
	}
	for name, version := range s.loading {
		r.Coming = append(r.Coming, fmt.Sprintf("%s/%s@%d", s.cfg.Model, name, version))
	}
	for _, n := range s.running {
		r.InFlight += n
	}
	reply(w, http.StatusOK, r)
}

type orderBody struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int    `json:"version"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     uint64 `json:"fencingToken"`
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
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
		s.orderSenders[o.Holder] = true
		status = s.executeOrder(&o)
	}
	s.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(status)
}

// executeOrder starts a load or unloads an adapter, and returns the response status.
// The caller holds mu.
func (s *Server) executeOrder(o *orderBody) int {
	if o.Operation == "unload" {
		if s.running[o.Adapter] > 0 {
			return http.StatusConflict
		}
		delete(s.adapters, o.Adapter)
		s.sequence++
		return http.StatusOK
	}
	_, replacement := s.adapters[o.Adapter]
	if !replacement && len(s.adapters)+len(s.loading) >= s.cfg.MaxAdapters {
		s.crashReason = "ordered to hold more adapters than it can"
	}
	version := o.Version
	if version == 0 {
		version = max(s.latest[o.Adapter], 1)
	}
	s.sequence++
	s.loading[o.Adapter] = version
	time.AfterFunc(s.cfg.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.loading, o.Adapter)
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

// admit records a run. It returns the adapter and 0, or the status with which the
// request is rejected.
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

// stream sends the events that follow the one in the Last-Event-Id header.
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
