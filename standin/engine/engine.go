// Package engine is a fake model engine with continuous batching, a few adapter
// slots and deterministic output.
package engine

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/standin/weightstore"
)

// Timing is the timing model of an engine.
type Timing struct {
	// Prefill is the time before the first token.
	Prefill time.Duration
	// Decode is the time between tokens.
	Decode time.Duration
}

// Options configure a fake engine.
type Options struct {
	BaseModel string
	Slots     int
	Positions int
	Timing    Timing
	Weights   *weightstore.Store
	// ChecksFencing makes the engine refuse commands with an old fencing token.
	ChecksFencing bool
}

// Stats are the counters of an engine.
type Stats struct {
	Loads     int
	Evictions int
	// EvictedUnderRun counts unload commands for an adapter with running requests.
	EvictedUnderRun int
	// Runs counts the runs of each request id.
	Runs map[string]int
	// PositionSeconds is the time that batch positions were in use.
	PositionSeconds float64
}

type run struct {
	adapter string
}

// Server is a fake engine.
type Server struct {
	opts Options

	mu        sync.Mutex
	bootID    int
	residents map[string]bool
	running   map[string]run
	positions chan struct{}
	token     uint64
	stats     Stats
}

// New returns an engine without resident adapters.
func New(opts Options) *Server {
	return &Server{
		opts:      opts,
		bootID:    1,
		residents: map[string]bool{},
		running:   map[string]run{},
		positions: make(chan struct{}, opts.Positions),
		stats:     Stats{Runs: map[string]int{}},
	}
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Runs = make(map[string]int, len(s.stats.Runs))
	for k, v := range s.stats.Runs {
		out.Runs[k] = v
	}
	return out
}

// Handler returns the HTTP surface.
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
	s.mu.Lock()
	st := engine.Status{
		BootID:         strconv.Itoa(s.bootID),
		BaseModel:      s.opts.BaseModel,
		SlotsTotal:     s.opts.Slots,
		PositionsTotal: s.opts.Positions,
		PositionsUsed:  len(s.running),
	}
	for a := range s.residents {
		st.Residents = append(st.Residents, a)
	}
	for id, r := range s.running {
		st.Running = append(st.Running, engine.Run{RequestID: id, Adapter: r.adapter})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st)
}

type command struct {
	LoraName string `json:"lora_name"`
}

// accept decodes a command and checks its deadline and fencing token.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (command, bool) {
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
	c, ok := s.accept(w, r)
	if !ok {
		return
	}
	if !s.reserve(c.LoraName) {
		http.Error(w, "no free adapter slot", http.StatusConflict)
		return
	}
	err := s.opts.Weights.Read(r.Context())
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		delete(s.residents, c.LoraName)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.residents[c.LoraName] = true
	s.stats.Loads++
}

// reserve takes a slot for an adapter that is not resident yet.
func (s *Server) reserve(adapter string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.residents[adapter]; taken || len(s.residents) >= s.opts.Slots {
		return false
	}
	s.residents[adapter] = false
	return true
}

func (s *Server) unload(w http.ResponseWriter, r *http.Request) {
	c, ok := s.accept(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.residents[c.LoraName] {
		http.Error(w, "adapter is not resident", http.StatusNotFound)
		return
	}
	for _, run := range s.running {
		if run.adapter == c.LoraName {
			s.stats.EvictedUnderRun++
			break
		}
	}
	delete(s.residents, c.LoraName)
	s.stats.Evictions++
}

// request is the part of an OpenAI request that the fake engine reads.
type request struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// defaultMaxTokens applies when a request does not set max_tokens.
const defaultMaxTokens = 16

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	id := r.Header.Get(engine.HeaderRequestID)
	if !s.begin(id, req.Model) {
		http.Error(w, "adapter is not resident", http.StatusNotFound)
		return
	}
	started := time.Now()
	defer s.end(id, started)
	select {
	case s.positions <- struct{}{}:
		defer func() { <-s.positions }()
	case <-r.Context().Done():
		return
	}
	s.stream(w, r, req)
}

func (s *Server) begin(id, model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if model != s.opts.BaseModel && !s.residents[model] {
		return false
	}
	s.running[id] = run{adapter: model}
	s.stats.Runs[id]++
	return true
}

func (s *Server) end(id string, started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
	s.stats.PositionSeconds += time.Since(started).Seconds()
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, req request) {
	resume, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeOffset))
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	chat := r.URL.Path == "/v1/chat/completions"
	seed := string(req.Prompt) + string(req.Messages)
	if !sleep(r, s.opts.Timing.Prefill) {
		return
	}
	for i := resume; i < req.MaxTokens; i++ {
		if i > resume && !sleep(r, s.opts.Timing.Decode) {
			return
		}
		last := i == req.MaxTokens-1
		fmt.Fprintf(w, "data: %s\n\n", event(chat, req.Model, Word(req.Model, seed, i), last))
		flusher.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-t.C:
		return true
	}
}

// Word returns token i of the answer that the adapter gives to a prompt, so
// that tests can check who answered.
func Word(model, prompt string, i int) string {
	sum := sha256.Sum256([]byte(model + "|" + prompt + "|" + strconv.Itoa(i)))
	return fmt.Sprintf("%x ", sum[:2])
}

type choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

func event(chat bool, model, word string, last bool) []byte {
	c := choice{}
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
		c.Delta = &delta{Role: "assistant", Content: word}
	} else {
		c.Text = &word
	}
	if last {
		reason := "length"
		c.FinishReason = &reason
	}
	out, _ := json.Marshal(chunk{ID: "gen", Object: object, Created: time.Now().Unix(), Model: model, Choices: []choice{c}}) // plain struct, cannot fail
	return out
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
