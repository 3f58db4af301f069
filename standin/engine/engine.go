// Package engine is a fake inference engine with continuous batching, a limited number
// of adapter slots and deterministic output.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
	"github.com/fescuecourse/fescuecourse/standin/fault"
	"github.com/fescuecourse/fescuecourse/standin/weightstore"
)

// Timing sets the latencies of an engine.
type Timing struct {
	// Prefill is the time before the first token.
	Prefill time.Duration
	// Decode is the time between two tokens.
	Decode time.Duration
}

// Options configure a fake engine.
type Options struct {
	BaseModel string
	// Version is the version that the engine reports in its status and its responses.
	// The output depends on it.
	Version ident.EngineVersion
	// Slots is the number of adapters that can be resident at the same time.
	Slots int
	// Positions is the number of batch positions, which bounds concurrent requests.
	Positions int
	Timing    Timing
	// Weights is the store from which adapters are loaded.
	Weights *weightstore.Store
	// ChecksFencing makes the engine reject commands with an outdated fencing token.
	ChecksFencing bool
	// Residents are the adapters that are resident at the start.
	Residents []ident.Adapter
	// Faults injects faults. It may be nil.
	Faults *fault.Injector
}

// Stats are the counters of an engine.
type Stats struct {
	// Loads and Evictions count successful load and unload commands.
	Loads     int
	Evictions int
	// EvictedDuringRun counts unload commands for adapters with running requests.
	EvictedDuringRun int
	// Restarts counts cold restarts.
	Restarts int
	// Running is the number of requests in progress.
	Running int
	// PositionSeconds is the total time for which batch positions were in use, in
	// position-seconds.
	PositionSeconds float64
	// BusySeconds is the time for which at least one batch position was in use, in
	// seconds.
	BusySeconds float64
}

type run struct {
	id      string
	adapter string
	cancel  context.CancelFunc
}

// Server is a fake engine.
type Server struct {
	opts Options

	mu             sync.Mutex
	bootID         int
	residents      map[string]bool // by adapter name; false while it is being loaded
	running        map[*run]bool
	late           engine.Status // last status sent; the fault StatusLate sends it again
	positions      chan struct{}
	token          uint64 // highest fencing token seen
	stats          Stats
	positionsInUse int
	busySince      time.Time
	starts         map[string][]time.Time // by prompt or messages as JSON text
}

// New returns a fake engine with the given options.
func New(opts Options) *Server {
	s := &Server{
		opts:      opts,
		bootID:    1,
		residents: map[string]bool{},
		running:   map[*run]bool{},
		positions: make(chan struct{}, opts.Positions),
		starts:    map[string][]time.Time{},
	}
	for _, a := range opts.Residents {
		s.residents[a.String()] = true
	}
	return s
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Running = len(s.running)
	return st
}

// Starts returns the start times of all runs whose prompt or messages are the given
// JSON text. Tests with unique prompts can count the runs of each of their requests.
func (s *Server) Starts(content string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.starts[content])
}

// Handler returns the HTTP handler of the engine's API.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/completions", s.generate)
	r.Post("/v1/chat/completions", s.generate)
	r.Post("/v1/load_lora_adapter", s.load)
	r.Post("/v1/unload_lora_adapter", s.unload)
	r.Get("/v1/status", s.status)
	return r
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	if _, ok := s.opts.Faults.ShouldInject(fault.EngineRestart); ok {
		s.Restart()
	}
	_, late := s.opts.Faults.ShouldInject(fault.StatusLate)
	s.mu.Lock()
	st := s.late
	if !late || st.BootID == "" {
		st = s.currentStatus()
	}
	s.late = st
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st)
}

func (s *Server) currentStatus() engine.Status {
	st := engine.Status{
		BootID:          strconv.Itoa(s.bootID),
		BaseModel:       s.opts.BaseModel,
		SoftwareVersion: s.opts.Version.Software,
		WeightsVersion:  s.opts.Version.Weights,
		SlotsTotal:      s.opts.Slots,
		PositionsTotal:  s.opts.Positions,
		PositionsUsed:   len(s.running),
	}
	for a, loaded := range s.residents {
		if loaded {
			st.Residents = append(st.Residents, a)
		}
	}
	for r := range s.running {
		st.Running = append(st.Running, engine.Run{RequestID: r.id, Adapter: r.adapter})
	}
	return st
}

// Restart simulates a cold restart: the boot ID changes, all adapters are lost, and
// running streams end without their last event.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootID++
	s.stats.Restarts++
	s.residents = map[string]bool{}
	for r := range s.running {
		r.cancel()
	}
}

type command struct {
	LoraName string `json:"lora_name"`
}

// acceptCommand decodes a command and checks its deadline and fencing token. If it
// returns false, it has written an error response.
func (s *Server) acceptCommand(w http.ResponseWriter, r *http.Request) (command, bool) {
	var c command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return c, false
	}
	deadline, _ := strconv.ParseInt(r.Header.Get(engine.HeaderCommandDeadline), 10, 64)
	if deadline > 0 && time.Now().UnixMilli() > deadline {
		http.Error(w, "command deadline passed", http.StatusRequestTimeout)
		return c, false
	}
	token, _ := strconv.ParseUint(r.Header.Get(engine.HeaderFencingToken), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.ChecksFencing && token < s.token {
		http.Error(w, "old fencing token", http.StatusPreconditionFailed)
		return c, false
	}
	s.token = max(s.token, token)
	return c, true
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	c, ok := s.acceptCommand(w, r)
	if !ok {
		return
	}
	boot, ok := s.reserve(c.LoraName)
	if !ok {
		http.Error(w, "no free adapter slot", http.StatusConflict)
		return
	}
	err := s.readWeights(r.Context())
	s.mu.Lock()
	defer s.mu.Unlock()
	if boot != s.bootID {
		http.Error(w, "engine restarted during the load", http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		delete(s.residents, c.LoraName)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.residents[c.LoraName] = true
	s.stats.Loads++
}

// errLoadFailed is the error of an injected load failure.
var errLoadFailed = errors.New("adapter load failed")

// readWeights transfers the weights of an adapter from the weight store.
func (s *Server) readWeights(ctx context.Context) error {
	if rule, ok := s.opts.Faults.ShouldInject(fault.LoadSlow); ok {
		wait.For(ctx, rule.Delay)
	}
	if err := s.opts.Weights.Read(ctx); err != nil {
		return err
	}
	if _, ok := s.opts.Faults.ShouldInject(fault.LoadFailed); ok {
		return errLoadFailed
	}
	return nil
}

// reserve reserves a slot for an adapter that is neither resident nor being loaded. It
// returns the current boot ID, which a restart during the load changes.
func (s *Server) reserve(adapter string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.residents[adapter]; taken || len(s.residents) >= s.opts.Slots {
		return 0, false
	}
	s.residents[adapter] = false
	return s.bootID, true
}

func (s *Server) unload(w http.ResponseWriter, r *http.Request) {
	c, ok := s.acceptCommand(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.residents[c.LoraName] {
		http.Error(w, "adapter is not resident", http.StatusNotFound)
		return
	}
	for run := range s.running {
		if run.adapter == c.LoraName {
			s.stats.EvictedDuringRun++
			break
		}
	}
	delete(s.residents, c.LoraName)
	s.stats.Evictions++
}

// Adapters returns the resident adapters.
func (s *Server) Adapters() []ident.Adapter {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ident.Adapter
	for name, loaded := range s.residents {
		if a, err := ident.ParseAdapter(name); err == nil && loaded {
			out = append(out, a)
		}
	}
	return out
}
