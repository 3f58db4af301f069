package platform

import (
	"fmt"
	"net"
	"net/http"
	"slices"
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
	// Version is the version of the server's software. If it is empty, it is "v1".
	Version string
	// Model is the base model of a model server. It is empty for a plain server.
	Model string
	// WeightsVersion is the version of the base model's weights that the server loads at
	// its start. Zero means 1.
	WeightsVersion int
	// MaxAdapters is the number of adapters that a model server can hold.
	MaxAdapters int
	// LoadTime is the time that it takes to load an adapter.
	LoadTime time.Duration
	// Events is the number of events of a stream, EventGap the time between them.
	Events   int
	EventGap time.Duration
	// ResponseBytes is the least size of the response of a plain server.
	ResponseBytes int
	// Born distinguishes the instances that are started on one address.
	Born int64
	// Before returns the handler of requests that comes before the server's own one. It may be
	// nil.
	Before func(http.Handler) http.Handler
}

func (c *ServerConfig) software() string {
	if c.Version == "" {
		return "v1"
	}
	return c.Version
}

// ServerFaults are the injected faults of a server. The zero value has none.
type ServerFaults struct {
	// Refuse makes the server reject all requests with 503 and mark them as not run.
	Refuse bool
	// CutAfterEvents is the number of events after which the server closes the
	// connection of a stream, in the middle of the next event. 0 disables the fault.
	CutAfterEvents int
	// Unframed makes the server send its responses with neither a length nor chunks and
	// end them with the connection, also where another fault cuts them.
	Unframed bool
	// LoseAnswers makes the server run requests and close the connection without a
	// response.
	LoseAnswers bool
	// Error makes the server respond with 500 to the requests that it runs.
	Error bool
	// LoseOrders makes the server neither execute orders (to load or unload an adapter)
	// nor respond to them.
	LoseOrders bool
	// Limit is the number of requests per second that the server says it takes. It names
	// none if it is 0. It takes all requests nevertheless, and records when they arrive.
	Limit float64
	// Backoff is the time for which the server asks in each refusal, or 0.
	Backoff time.Duration
	// Leaving makes the server say in all its answers that it leaves.
	Leaving bool
}

// Arrival is a request that reached a server, from the entry that its Test-Entry header names.
type Arrival struct {
	Entry string
	At    time.Time
}

// Server is a fake model server or plain HTTP server.
type Server struct {
	cfg   ServerConfig
	lis   net.Listener
	srv   *http.Server
	peers *http.Client // reads the prompt memory of other servers

	mu     sync.Mutex
	faults ServerFaults
	// arrivals are the requests that arrived since the faults were last set.
	arrivals []Arrival
	// weights is the version of the base model's weights, or 0 without a model.
	// loadedWeights has been loaded and waits for the end of the running requests.
	weights       int
	loadedWeights int
	latestWeights int
	// busy is set while the server loads a model.
	busy           bool
	adapters       map[string]int // resident adapters, name to version
	loading        map[string]int
	loadedAdapters map[string]int // adapters in loading that wait for running requests
	latest         map[string]int
	memory         *promptMemory
	running        map[string]int // number of running requests by adapter
	sequence       int64
	runs           []*Run
	orderSenders   map[string]bool
	crashReason    string
	draining       bool
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
		cfg:            cfg,
		lis:            lis,
		peers:          &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		latestWeights:  max(cfg.WeightsVersion, 1),
		adapters:       map[string]int{},
		loading:        map[string]int{},
		loadedAdapters: map[string]int{},
		latest:         map[string]int{},
		memory:         newPromptMemory(),
		running:        map[string]int{},
		orderSenders:   map[string]bool{},
	}
	if cfg.Model != "" {
		s.weights = s.latestWeights
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /api/report", s.report)
	mux.HandleFunc("POST /api/order", s.order)
	mux.HandleFunc("GET "+memoryPath, s.serveMemory)
	mux.Handle("/", s.requestHandler())
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.srv.Serve(lis) }() // Close ends it
	return s, nil
}

// requestHandler returns the handler of requests other than those of the sidecar and of peers.
func (s *Server) requestHandler() http.Handler {
	if s.cfg.Before == nil {
		return http.HandlerFunc(s.request)
	}
	return s.cfg.Before(http.HandlerFunc(s.request))
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
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":8,"state":%q,"coldRemainingMs":0,"sequence":1,"born":%d}`,
		s.cfg.Service, s.PublicAddress(), s.cfg.Zone, s.cfg.software(), state, s.cfg.Born)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.arrivals = f, nil
}

// Arrivals returns the requests that have arrived since the faults were last set.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
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

// SetLatestWeights sets the version of the base model's weights that the server loads
// when it is ordered to load the model.
func (s *Server) SetLatestWeights(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestWeights = version
}

// State returns the state for the server's registration, "ready" or "draining".
func (s *Server) State() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state()
}

// state is State for callers that hold mu.
func (s *Server) state() string {
	if s.draining {
		return "draining"
	}
	return "ready"
}

// Version returns the version of the server's software.
func (s *Server) Version() string { return s.cfg.software() }

// Runs returns the executions of requests so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, 0, len(s.runs))
	for _, run := range s.runs {
		out = append(out, *run)
	}
	return out
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sayLeaving(w)
	w.Header().Set("X-Fescuecourse-Instance-Id", s.cfg.ID)
}
