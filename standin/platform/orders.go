package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

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
	s.sayLeaving(w)
	r := reportBody{Born: s.cfg.Born, Busy: s.busy, Sequence: s.sequence, KVTotal: 1 << 18, State: s.state(), Coming: []string{}}
	if s.weights > 0 {
		m := loadedModel{Name: s.cfg.Model, Version: s.weights, Adapters: []string{}}
		for name, version := range s.adapters {
			m.Adapters = append(m.Adapters, fmt.Sprintf("%s@%d", name, version))
		}
		r.Models = []loadedModel{m}
	}
	for name, version := range s.loading {
		r.Coming = append(r.Coming, fmt.Sprintf("%s/%s@%d", s.cfg.Model, name, version))
	}
	r.InFlight = s.runningRequests()
	reply(w, http.StatusOK, r)
}

// runningRequests returns the number of running requests. The caller holds mu.
func (s *Server) runningRequests() int {
	sum := 0
	for _, n := range s.running {
		sum += n
	}
	return sum
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
	case s.busy, o.Expected != nil && *o.Expected != s.sequence:
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

// executeOrder executes an order and returns the response status. The caller holds mu.
func (s *Server) executeOrder(o *orderBody) int {
	switch {
	case o.Adapter == "" && o.Operation == "unload":
		return s.unloadModel()
	case o.Adapter == "":
		return s.loadModel()
	case o.Operation == "unload":
		return s.unloadAdapter(o.Adapter)
	default:
		return s.loadAdapter(o)
	}
}

// loadModel starts a load of the newest weights of the base model. The caller holds mu.
func (s *Server) loadModel() int {
	version := max(s.latestWeights, 1)
	if s.weights == version {
		return http.StatusOK
	}
	s.sequence++
	s.busy = true
	time.AfterFunc(s.cfg.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.loadedWeights = version
		s.adoptWeights()
	})
	return http.StatusAccepted
}

// adoptWeights replaces the weights once they are loaded and no request runs on the
// old ones. What the server keeps of prompts stays. The caller holds mu.
func (s *Server) adoptWeights() {
	if s.loadedWeights == 0 || s.runningRequests() > 0 {
		return
	}
	s.weights, s.loadedWeights, s.busy = s.loadedWeights, 0, false
}

// unloadModel drops the base model, its adapters and all prompt memory. The caller
// holds mu.
func (s *Server) unloadModel() int {
	if s.runningRequests() > 0 {
		return http.StatusConflict
	}
	s.weights = 0
	clear(s.adapters)
	s.memory.dropAll()
	s.sequence++
	return http.StatusOK
}

// unloadAdapter drops an adapter and what is kept of its prompts. The caller holds mu.
func (s *Server) unloadAdapter(adapter string) int {
	if s.running[adapter] > 0 {
		return http.StatusConflict
	}
	delete(s.adapters, adapter)
	s.memory.dropAdapter(adapter)
	s.sequence++
	return http.StatusOK
}

// loadAdapter starts a load of an adapter. The caller holds mu.
func (s *Server) loadAdapter(o *orderBody) int {
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
		s.loadedAdapters[o.Adapter] = version
		s.adoptAdapter(o.Adapter)
	})
	return http.StatusAccepted
}

// adoptAdapter makes a loaded adapter resident once no request runs on the version
// that it replaces. What the server keeps of prompts stays. The caller holds mu.
func (s *Server) adoptAdapter(adapter string) {
	version, loaded := s.loadedAdapters[adapter]
	if !loaded || s.running[adapter] > 0 {
		return
	}
	delete(s.loadedAdapters, adapter)
	delete(s.loading, adapter)
	s.adapters[adapter] = version
}
