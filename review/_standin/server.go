package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelServer is a stand-in for one model server. A restart is a new lifetime at the same
// address, under the same id.
type modelServer struct {
	b        *bed
	id       string
	address  string
	zone     string
	software string
	// events is the number of events of a stream, and gap the time between them.
	events int
	gap    time.Duration
	// modelLoad is how long the model takes to load.
	modelLoad time.Duration

	mu       sync.Mutex
	up       bool
	born     int64
	sequence int64
	model    bool
	busy     bool
	adapters map[string]bool
	coming   map[string]bool
	running  map[string]int
	// unloading is the adapter whose unload waits for its runs, or empty.
	unloading string
	srv       *http.Server
	stop      context.CancelFunc // ends the runs and the heartbeat of the lifetime
	life      context.Context
	highest   uint64 // generation number
	orders    int
	// loseOrder says whether an order gets no response and is carried out lateBy later.
	loseOrder func(o *order) bool
	lateBy    time.Duration
	// overfull lists the loads beyond what the server holds, and cut the streams that a
	// crash has ended.
	overfull []string
	cut      []string
}

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int    `json:"version"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     uint64 `json:"fencingToken"`
}

func (o *order) String() string {
	expected := "none"
	if o.Expected != nil {
		expected = strconv.FormatInt(*o.Expected, 10)
	}
	return fmt.Sprintf("%s %s/%s expected %s, holder %s, generation %d", o.Operation, o.Model, o.Adapter, expected, o.Holder, o.Token)
}

func (b *bed) newServer(id, host, zone, software string) (*modelServer, error) {
	port, err := freePort(host)
	if err != nil {
		return nil, err
	}
	return &modelServer{b: b, id: id, address: fmt.Sprintf("%s:%d", host, port), zone: zone, software: software, events: 73, gap: 60 * time.Millisecond, modelLoad: diskLoad}, nil
}

// begin starts a lifetime. withModel is true for a server that the operator has placed the
// model on before the system starts.
func (s *modelServer) begin(withModel bool) error {
	lis, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	life, stop := context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", s.report)
	mux.HandleFunc("POST /api/order", s.order)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Fescuecourse-Instance-Id", s.id)
	})
	mux.HandleFunc("/", s.request)
	srv := &http.Server{Handler: mux}
	s.mu.Lock()
	s.up, s.born, s.sequence, s.model, s.busy, s.highest = true, time.Now().UnixMilli(), 0, withModel, false, 0
	s.adapters, s.coming, s.running = map[string]bool{}, map[string]bool{}, map[string]int{}
	s.unloading = ""
	s.srv, s.life, s.stop = srv, life, stop
	born := s.born
	s.mu.Unlock()
	s.b.note("server %s started, software %s, born %d, model held: %v", s.id, s.software, born, withModel)
	go func() { _ = srv.Serve(lis) }()
	go s.beat(life)
	return nil
}

// crash ends the lifetime at once.
func (s *modelServer) crash(why string) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	srv, stop := s.srv, s.stop
	n := 0
	for _, k := range s.running {
		n += k
	}
	s.mu.Unlock()
	s.b.note("server %s crashes (%s) with %d streams running", s.id, why, n)
	stop()
	srv.Close()
}

// beat writes the server's item in the store about every heartbeat interval.
func (s *modelServer) beat(life context.Context) {
	for n := 1; life.Err() == nil; n++ {
		s.mu.Lock()
		models := []any{}
		if s.model {
			models = append(models, map[string]any{"name": modelName, "version": 1, "adapters": s.names(s.adapters)})
		}
		text, _ := json.Marshal(map[string]any{
			"service": modelService, "address": s.address, "zone": s.zone, "version": s.software, "slots": 64,
			"state": "ready", "coldRemainingMs": 0, "sequence": n, "stage": "prefill_decode", "models": models, "born": s.born,
		})
		s.mu.Unlock()
		s.b.store.Put("servers/"+s.id, string(text))
		select {
		case <-life.Done():
		case <-time.After(heartbeat):
		}
	}
}

// names lists adapters as NAME@VERSION. The caller holds mu.
func (s *modelServer) names(of map[string]bool) []string {
	out := []string{}
	for a := range of {
		out = append(out, a+"@1")
	}
	return out
}

func (s *modelServer) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	models, coming, inFlight := []any{}, []string{}, 0
	if s.model {
		models = append(models, map[string]any{"name": modelName, "version": 1, "adapters": s.names(s.adapters)})
	}
	for _, a := range s.names(s.coming) {
		coming = append(coming, modelName+"/"+a)
	}
	for _, n := range s.running {
		inFlight += n
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "prefill_decode", "models": models, "busy": s.busy, "sequence": s.sequence, "queued": 0,
		"inFlight": inFlight, "kvUsed": 1000 * inFlight, "kvTotal": 251944, "handles": 0, "coming": coming,
		"state": "ready", "born": s.born,
	})
}

func (s *modelServer) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expect := r.Header.Get("X-Fescuecourse-Expect-Instance")
	s.mu.Lock()
	lose := s.loseOrder
	s.mu.Unlock()
	if lose != nil && lose(&o) {
		s.b.note("server %s: order %s, expect-instance %s: gets no response, is carried out %v later", s.id, &o, expect, s.lateBy)
		time.AfterFunc(s.lateBy, func() {
			status := s.execute(&o, expect)
			s.b.note("server %s: late order %s: %d", s.id, &o, status)
		})
		<-r.Context().Done()
		return
	}
	status := s.execute(&o, expect)
	s.b.note("server %s: order %s: %d", s.id, &o, status)
	w.WriteHeader(status)
}

// execute checks an order as it arrives and carries it out.
func (s *modelServer) execute(o *order, expect string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.up:
		return 0 // lost with the server
	case expect != "" && expect != s.id:
		return http.StatusMisdirectedRequest
	case o.Token < s.highest: // fencingEnforced
		return http.StatusPreconditionFailed
	case s.busy, o.Expected != nil && *o.Expected != s.sequence:
		return http.StatusConflict
	case o.Model != modelName, o.Adapter != "" && !s.model:
		return http.StatusBadRequest
	}
	s.highest = o.Token
	life := s.life
	switch {
	case o.Adapter == "" && o.Operation == "load":
		if s.model {
			return http.StatusOK
		}
		s.sequence++
		s.busy = true
		time.AfterFunc(s.modelLoad, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if life.Err() == nil {
				s.model, s.busy = true, false
			}
		})
		return http.StatusAccepted
	case o.Adapter == "":
		return http.StatusConflict // no case unloads the model
	case o.Operation == "unload":
		if !s.adapters[o.Adapter] {
			return http.StatusOK
		}
		s.sequence++
		if s.running[o.Adapter] > 0 {
			s.busy, s.unloading = true, o.Adapter // until its runs have ended
			return http.StatusAccepted
		}
		delete(s.adapters, o.Adapter)
		return http.StatusOK
	}
	if s.adapters[o.Adapter] || s.coming[o.Adapter] {
		return http.StatusOK
	}
	s.sequence++
	if len(s.adapters)+len(s.coming) >= maxAdapters {
		s.overfull = append(s.overfull, fmt.Sprintf("%s, at sequence %d with %d adapters held and %d coming of %d", o, s.sequence-1, len(s.adapters), len(s.coming), maxAdapters))
		go s.crash("ordered to load more than maxAdapters")
		return http.StatusAccepted
	}
	s.coming[o.Adapter] = true
	time.AfterFunc(adapterLoad, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if life.Err() == nil {
			delete(s.coming, o.Adapter)
			s.adapters[o.Adapter] = true
		}
	})
	return http.StatusAccepted
}

// request runs a stream. Its events name the run, the software and the server.
func (s *modelServer) request(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Fescuecourse-Request-Id")
	w.Header().Set("X-Fescuecourse-Request-Id", id)
	w.Header().Set("X-Fescuecourse-Instance-Id", s.id)
	model, adapter, _ := strings.Cut(r.Header.Get("X-Fescuecourse-Model"), "/")
	s.mu.Lock()
	life, software := s.life, s.software
	expect, version := r.Header.Get("X-Fescuecourse-Expect-Instance"), r.Header.Get("X-Fescuecourse-Expect-Version")
	if expect != "" && expect != s.id || model != modelName || !s.model || adapter != "" && !s.adapters[adapter] || version != "" && version != "1" {
		s.mu.Unlock()
		w.Header().Set("X-Fescuecourse-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if adapter != "" && adapter == s.unloading {
		s.mu.Unlock()
		w.Header().Set("X-Fescuecourse-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running[adapter]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if life.Err() != nil {
			return
		}
		s.running[adapter]--
		if s.running[adapter] == 0 && adapter != "" && adapter == s.unloading {
			delete(s.adapters, adapter)
			s.busy, s.unloading = false, ""
		}
	}()
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
	}
	s.b.note("server %s (%s): runs %s for %s, after event %d", s.id, software, id, adapter, from)
	w.Header().Set("X-Fescuecourse-Server-Stamp", s.id+".1")
	w.Header().Set("X-Fescuecourse-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := from + 1; i <= s.events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-life.Done():
			s.mu.Lock()
			s.cut = append(s.cut, id)
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-time.After(s.gap):
		}
		fmt.Fprintf(w, "id: %d\ndata: %d %s %s\n\n", i, i, software, s.id)
		w.(http.Flusher).Flush()
	}
}
