package main

import (
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

const pre = "X-Fescuecourse-"

// serverConfig describes a server. The machine of a model server has its address.
type serverConfig struct {
	id, service, host, zone, software string
	slots                             int
	// model is the base model of a model server, or empty. startsWithModel is true where it
	// holds the model from its start on, as servers do that start with the platform.
	model           string
	startsWithModel bool
	maxAdapters     int
	modelLoad       time.Duration
	adapterLoad     time.Duration
	events          int
	eventGap        time.Duration
	work            time.Duration
	// firstEvent is the time that the server takes to read a prompt.
	firstEvent time.Duration
	// limit is what the server names in Server-Limit, in requests a second, or 0.
	limit float64
}

// server is one server of the platform. restart begins a new lifetime at the same address.
type server struct {
	cfg serverConfig
	st  *store
	rec *recorder
	add string

	mu       sync.Mutex
	life     *lifetime
	sequence int64 // of the item in the store
}

// lifetime is one start of a server.
type lifetime struct {
	s        *server
	number   int
	software string
	born     int64
	lis      net.Listener
	srv      *http.Server

	mu       sync.Mutex
	hasModel bool
	busy     bool
	resident map[string]bool
	coming   map[string]bool
	running  map[string]int
	sequence int64
	draining bool
	ended    bool
}

type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int    `json:"version"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     *int64 `json:"fencingToken"`
	instance  string
}

func (o *order) name() string {
	expected := "-"
	if o.Expected != nil {
		expected = strconv.FormatInt(*o.Expected, 10)
	}
	return fmt.Sprintf("%s %s/%s expected %s", o.Operation, o.Model, o.Adapter, expected)
}

func startServer(st *store, rec *recorder, cfg serverConfig) *server {
	port := freePort(cfg.host)
	s := &server{cfg: cfg, st: st, rec: rec, add: fmt.Sprintf("%s:%d", cfg.host, port)}
	s.begin(cfg.software, cfg.startsWithModel)
	return s
}

// begin starts a lifetime and registers the server.
func (s *server) begin(software string, hasModel bool) {
	var lis net.Listener
	var err error
	for range 100 {
		if lis, err = net.Listen("tcp", s.add); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	s.mu.Lock()
	number := 1
	if s.life != nil {
		number = s.life.number + 1
	}
	l := &lifetime{s: s, number: number, software: software, born: time.Now().UnixMilli(), lis: lis, hasModel: hasModel,
		resident: map[string]bool{}, coming: map[string]bool{}, running: map[string]int{}}
	s.life = l
	s.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", l.health)
	mux.HandleFunc("GET /api/report", l.report)
	mux.HandleFunc("POST /api/order", l.order)
	mux.HandleFunc("/", l.request)
	l.srv = &http.Server{Handler: mux}
	go l.srv.Serve(lis)
	s.rec.log("server %s starts, lifetime %d, software %s, born %d", s.cfg.id, number, software, l.born)
	s.register()
}

func (s *server) current() *lifetime {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

// register writes the item of the server to the store.
func (s *server) register() {
	l := s.current()
	l.mu.Lock()
	state := "ready"
	if l.draining {
		state = "draining"
	}
	l.mu.Unlock()
	s.mu.Lock()
	s.sequence++
	n := s.sequence
	s.mu.Unlock()
	s.st.put("servers/"+s.cfg.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		s.cfg.service, s.add, s.cfg.zone, l.software, s.cfg.slots, state, n, l.born))
	s.rec.log("server %s writes its item: %s, software %s, born %d", s.cfg.id, state, l.software, l.born)
}

// drain reports that the server is about to leave or to stop.
func (s *server) drain() {
	l := s.current()
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	s.register()
}

// end ends the lifetime: its connections close at once.
func (s *server) end() {
	l := s.current()
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.srv.Close()
	s.rec.log("server %s ends, lifetime %d", s.cfg.id, l.number)
}

func (l *lifetime) head(w http.ResponseWriter) {
	if l.draining {
		w.Header().Set("Server-Leaving", "1")
	}
}

func (l *lifetime) health(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.head(w)
	w.Header().Set(pre+"Instance-Id", l.s.cfg.id)
	if l.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (l *lifetime) report(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.head(w)
	models := []map[string]any{}
	if l.hasModel {
		adapters := []string{}
		for a := range l.resident {
			adapters = append(adapters, a+"@1")
		}
		models = append(models, map[string]any{"name": l.s.cfg.model, "version": 1, "adapters": adapters})
	}
	coming := []string{}
	for a := range l.coming {
		coming = append(coming, l.s.cfg.model+"/"+a+"@1")
	}
	inFlight := 0
	for _, n := range l.running {
		inFlight += n
	}
	state := "ready"
	if l.draining {
		state = "draining"
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"born": l.born, "stage": "prefill_decode", "models": models, "busy": l.busy, "sequence": l.sequence,
		"queued": 0, "inFlight": inFlight, "kvUsed": 0, "kvTotal": 250000, "handles": 0, "state": state, "coming": coming})
}

func (l *lifetime) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.instance = r.Header.Get(pre + "Expect-Instance")
	status := l.execute(&o)
	w.WriteHeader(status)
}

// execute carries out an order and returns the status of the answer.
func (l *lifetime) execute(o *order) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &l.s.cfg
	switch {
	case l.ended:
		return 0
	case o.instance != "" && o.instance != c.id:
		return http.StatusMisdirectedRequest
	case l.busy, o.Expected != nil && *o.Expected != l.sequence:
		return http.StatusConflict
	case o.Model != c.model:
		return http.StatusBadRequest
	}
	switch {
	case o.Adapter == "" && o.Operation == "load":
		if l.hasModel {
			return http.StatusOK
		}
		l.sequence++
		l.busy = true
		time.AfterFunc(c.modelLoad, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.hasModel, l.busy = true, false
		})
	case o.Adapter == "":
		l.sequence++
		l.hasModel = false
		clear(l.resident)
	case o.Operation == "unload":
		if !l.resident[o.Adapter] {
			return http.StatusOK
		}
		l.sequence++
		delete(l.resident, o.Adapter)
	default:
		if l.resident[o.Adapter] || l.coming[o.Adapter] {
			return http.StatusOK
		}
		if !l.hasModel {
			return http.StatusBadRequest
		}
		if len(l.resident)+len(l.coming) >= c.maxAdapters {
			l.s.rec.broken("LIMIT: server %s, lifetime %d, is ordered to load %s while it holds %d adapters of %d at most (order %s, holder %s, token %d); it crashes",
				c.id, l.number, o.Adapter, len(l.resident)+len(l.coming), c.maxAdapters, o.name(), o.Holder, *o.Token)
			l.sequence++
			go l.s.end()
			return http.StatusAccepted
		}
		l.sequence++
		l.coming[o.Adapter] = true
		time.AfterFunc(c.adapterLoad, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.coming, o.Adapter)
			l.resident[o.Adapter] = true
		})
	}
	l.s.rec.log("server %s, lifetime %d: order %s accepted, sequence %d, adapters %d", c.id, l.number, o.name(), l.sequence, len(l.resident)+len(l.coming))
	return http.StatusAccepted
}

func (l *lifetime) request(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	c := &l.s.cfg
	id := r.Header.Get(pre + "Request-Id")
	l.mu.Lock()
	l.head(w)
	draining := l.draining
	l.mu.Unlock()
	w.Header().Set(pre+"Request-Id", id)
	if c.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(c.limit, 'f', -1, 64))
	}
	refuse := func(status int) {
		w.Header().Set(pre+"Instance-Id", c.id)
		w.Header().Set(pre+"Not-Run", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get(pre + "Expect-Instance"); want != "" && want != c.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	l.s.rec.arrived(l, id, draining)
	adapter := ""
	if c.model != "" {
		model, name, _ := strings.Cut(r.Header.Get(pre+"Model"), "/")
		adapter = name
		l.mu.Lock()
		held := model == c.model && l.hasModel && (name == "" || l.resident[name])
		want := r.Header.Get(pre + "Expect-Version")
		if held && (want == "" || want == "1") {
			l.running[adapter]++
			l.mu.Unlock()
			defer func() {
				l.mu.Lock()
				l.running[adapter]--
				l.mu.Unlock()
			}()
		} else {
			l.mu.Unlock()
			refuse(http.StatusMisdirectedRequest)
			return
		}
	}
	w.Header().Set(pre+"Server-Stamp", fmt.Sprintf("%s.%d.stamp", c.id, l.number))
	if c.events == 0 {
		l.s.rec.log("run: %s at %s, lifetime %d", id, c.id, l.number)
		time.Sleep(c.work)
		fmt.Fprintf(w, "%s %s answered by %s", r.Method, r.RequestURI, c.id)
		return
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			refuse(http.StatusBadRequest)
			return
		}
		first = n + 1
	}
	l.s.rec.log("run: %s at %s, lifetime %d, software %s, adapter %s, from event %d, resumes %q", id, c.id, l.number, l.software, adapter, first, r.Header.Get("Resumes"))
	select {
	case <-r.Context().Done():
		return
	case <-time.After(c.firstEvent):
	}
	w.Header().Set(pre+"Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := first; i <= c.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of software %s\n\n", i, i, l.software)
		if rc.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(c.eventGap):
		}
	}
}
