package platform

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Run is one execution of a request.
type Run struct {
	RequestID string
	Adapter   string
	// Version is the version of the adapter, Weights that of the base model's weights
	// and Software that of the server's software.
	Version  int
	Weights  int
	Software string
	// Tenant is the tenant that the request names, and KeySeen is set if it shows an API key.
	Tenant  string
	KeySeen bool
	// LastEventID is the event after which a resumed stream goes on, and Resumes the id
	// of the client attempt that brought the first event of the stream.
	LastEventID string
	Resumes     string
	// Fetched is set if the run began with prompt memory of another server.
	Fetched bool
	// StaleMemory lists the prompt parts that the run used although they were made under
	// other versions than those of the run.
	StaleMemory []StalePart
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Fescuecourse-Request-Id", r.Header.Get("X-Fescuecourse-Request-Id"))
	s.announce(w, r)
	run, status := s.admit(r)
	if status != 0 {
		s.askForBackoff(w, status)
		w.Header().Set("X-Fescuecourse-Instance-Id", s.cfg.ID)
		if status != http.StatusMisdirectedRequest {
			w.Header().Set("X-Fescuecourse-Not-Run", "1")
		}
		w.WriteHeader(status)
		return
	}
	defer s.finish(run.Adapter)
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	w.Header().Set("X-Fescuecourse-Server-Stamp", s.cfg.ID+".stamp")
	if f.Unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then ends the body with the connection
	}
	switch {
	case f.LoseAnswers:
		panic(http.ErrAbortHandler)
	case f.Error:
		w.WriteHeader(http.StatusInternalServerError)
	case s.cfg.Model != "":
		s.readPrompt(r, run)
		w.Header().Set("X-Fescuecourse-Weight-Versions", fmt.Sprint(run.Weights))
		s.stream(w, r, f.CutAfterEvents)
	default:
		text := fmt.Sprintf("%s %s %s %d bytes", s.cfg.ID, r.Method, r.RequestURI, len(body))
		fmt.Fprint(w, text, strings.Repeat(" ", max(s.cfg.ResponseBytes-len(text), 0)))
	}
}

// announce records the arrival of a request and says in the response what the server wants.
func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, Arrival{Entry: r.Header.Get("Test-Entry"), At: time.Now()})
	if s.faults.Limit > 0 {
		w.Header().Set("Server-Limit", fmt.Sprint(s.faults.Limit))
	}
	s.sayLeaving(w)
}

// sayLeaving says in a response that the server leaves, if it does. The caller holds mu.
func (s *Server) sayLeaving(w http.ResponseWriter) {
	if s.faults.Leaving || s.draining {
		w.Header().Set("Server-Leaving", "1")
	}
}

// askForBackoff asks in a refusal for no requests for some time.
func (s *Server) askForBackoff(w http.ResponseWriter, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status == http.StatusServiceUnavailable && s.faults.Backoff > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(s.faults.Backoff.Seconds()))
	}
}

// admit records a run. It returns the run and 0, or the status with which the request
// is rejected.
func (s *Server) admit(r *http.Request) (run *Run, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want := r.Header.Get("X-Fescuecourse-Expect-Instance"); want != "" && want != s.cfg.ID {
		return nil, http.StatusMisdirectedRequest
	}
	if s.faults.Refuse || s.busy {
		return nil, http.StatusServiceUnavailable
	}
	run = &Run{
		RequestID:   r.Header.Get("X-Fescuecourse-Request-Id"),
		Software:    s.cfg.software(),
		LastEventID: r.Header.Get("Last-Event-Id"),
		Resumes:     r.Header.Get("Resumes"),
		Tenant:      r.Header.Get("X-Fescuecourse-Tenant"),
		KeySeen:     r.Header.Get("Authorization") != "",
	}
	if s.cfg.Model != "" && !s.resolve(r, run) {
		return nil, http.StatusMisdirectedRequest
	}
	s.running[run.Adapter]++
	s.runs = append(s.runs, run)
	return run, 0
}

// resolve sets the adapter and the versions of a run. It returns false if the server
// does not hold what the request asks for. The caller holds mu.
func (s *Server) resolve(r *http.Request, run *Run) bool {
	_, run.Adapter, _ = strings.Cut(r.Header.Get("X-Fescuecourse-Model"), "/")
	run.Weights = s.weights
	run.Version = s.adapters[run.Adapter]
	held := run.Weights
	if run.Adapter != "" {
		held = run.Version
	}
	want := r.Header.Get("X-Fescuecourse-Expect-Version")
	return run.Weights > 0 && held > 0 && (want == "" || want == fmt.Sprint(held))
}

func (s *Server) finish(adapter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[adapter]--
	s.adoptAdapter(adapter)
	s.adoptWeights()
}

// EventText returns an event of a stream as servers send it: its data names the
// request, the number of the event and the version of the server's software.
func EventText(requestID string, number int, software string) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d %s\n\n", number, requestID, number, software)
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
		fmt.Fprint(w, EventText(r.Header.Get("X-Fescuecourse-Request-Id"), i, s.cfg.software()))
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.cfg.EventGap):
		}
	}
}
