// Package service is a fake plain HTTP service that records how often each request
// ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/fescuecourse/fescuecourse/pkg/service"
	"github.com/fescuecourse/fescuecourse/standin/fault"
)

// Answer is the JSON body of a response.
type Answer struct {
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	// Echo is the body of the request.
	Echo string `json:"echo"`
}

// Server is a fake service. It does not deduplicate requests.
type Server struct {
	delay  time.Duration
	faults *fault.Injector

	mu     sync.Mutex
	starts map[string][]time.Time
}

// New returns a service that takes the time delay for each request. The injector may
// be nil.
func New(delay time.Duration, faults *fault.Injector) *Server {
	return &Server{delay: delay, faults: faults, starts: map[string][]time.Time{}}
}

// Starts returns the start times of all runs of requests with the given body. Tests
// with unique bodies can count the runs of each of their requests.
func (s *Server) Starts(body string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.starts[body])
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/*", s.serve)
	return r
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.starts[string(body)] = append(s.starts[string(body)], time.Now())
	s.mu.Unlock()
	time.Sleep(s.delay)
	if rule, ok := s.faults.ShouldInject(fault.ServiceSlow); ok {
		time.Sleep(rule.Delay)
	}
	if _, ok := s.faults.ShouldInject(fault.AnswerLost); ok {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Path: r.URL.Path, RequestID: r.Header.Get(service.HeaderRequestID), Echo: string(body)})
}
