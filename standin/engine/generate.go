package engine

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
	"github.com/fescuecourse/fescuecourse/standin/fault"
)

// completionRequest holds the fields of an OpenAI request that the fake engine reads.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// content returns the JSON text of the prompt or the messages.
func (r completionRequest) content() string { return string(r.Prompt) + string(r.Messages) }

// defaultMaxTokens applies if a request does not set max_tokens.
const defaultMaxTokens = 16

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	current := &run{id: r.Header.Get(engine.HeaderRequestID), adapter: req.Model, cancel: cancel}
	if !s.beginRun(current, req) {
		http.Error(w, "adapter is not resident", http.StatusNotFound)
		return
	}
	defer s.endRun(current)
	select {
	case s.positions <- struct{}{}:
		s.acquirePosition()
		defer s.releasePosition(time.Now())
	case <-ctx.Done():
		panic(http.ErrAbortHandler) // the engine restarted or the client disconnected
	}
	if !s.stream(ctx, w, r, req) {
		panic(http.ErrAbortHandler) // closes the connection without the last event
	}
}

// beginRun records the start of a run. It reports false if the model is neither the
// base model nor a resident adapter.
func (s *Server) beginRun(current *run, req completionRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Model != s.opts.BaseModel && !s.residents[req.Model] {
		return false
	}
	s.running[current] = true
	s.starts[req.content()] = append(s.starts[req.content()], time.Now())
	return true
}

func (s *Server) endRun(current *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, current)
}

// acquirePosition counts a batch position as in use.
func (s *Server) acquirePosition() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.positionsInUse == 0 {
		s.busySince = time.Now()
	}
	s.positionsInUse++
}

// releasePosition frees a batch position and adds the time since it was taken to the
// counters.
func (s *Server) releasePosition(taken time.Time) {
	<-s.positions
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.PositionSeconds += time.Since(taken).Seconds()
	s.positionsInUse--
	if s.positionsInUse == 0 {
		s.stats.BusySeconds += time.Since(s.busySince).Seconds()
	}
}

// stream sends the events. It reports false if the stream ended early.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, req completionRequest) bool {
	resume, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeOffset))
	cut, cutStream := s.opts.Faults.ShouldInject(fault.StreamCut)
	reportedModel := req.Model
	if _, wrong := s.opts.Faults.ShouldInject(fault.WrongModel); wrong {
		reportedModel = "other/adapter@1"
	}
	w.Header().Set("Content-Type", "text/event-stream")
	setVersion(w.Header(), s.opts.Version)
	chat := r.URL.Path == "/v1/chat/completions"
	if !wait.For(ctx, s.prefill()) {
		return false
	}
	for i := resume; i < req.MaxTokens; i++ {
		if cutStream && i-resume >= cut.AfterEvents {
			return false
		}
		if i > resume && !wait.For(ctx, s.opts.Timing.Decode) {
			return false
		}
		last := i == req.MaxTokens-1
		fmt.Fprintf(w, "data: %s\n\n", event(chat, reportedModel, VersionToken(s.opts.Version, reportedModel, req.content(), i), last))
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	return true
}

// prefill returns the time before the first token, including injected delays.
func (s *Server) prefill() time.Duration {
	rule, slow := s.opts.Faults.ShouldInject(fault.SlowStart)
	if slow {
		return s.opts.Timing.Prefill + rule.Delay
	}
	return s.opts.Timing.Prefill
}

// setVersion sets the response headers for the fields of a version that are not empty.
func setVersion(h http.Header, v ident.EngineVersion) {
	if v.Software != "" {
		h.Set(engine.HeaderSoftware, v.Software)
	}
	if v.Weights != "" {
		h.Set(engine.HeaderWeights, v.Weights)
	}
}

// VersionToken returns token i of the text that a version of the engine generates. For
// the zero version it is OutputToken.
func VersionToken(v ident.EngineVersion, model, prompt string, i int) string {
	if v != (ident.EngineVersion{}) {
		model += "|" + v.String()
	}
	return OutputToken(model, prompt, i)
}

// OutputToken returns token i of the text that a model generates for a prompt. It
// depends on the model, so that tests can check which model ran the request. An engine
// whose version is set generates the tokens of VersionToken.
func OutputToken(model, prompt string, i int) string {
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
	out, _ := json.Marshal(chunk{ID: "gen", Object: object, Created: time.Now().Unix(), Model: model, Choices: []choice{c}}) // marshaling this type cannot fail
	return out
}
