package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// sharedEngine is a fake engine that accepts commands from several processes. Its runs
// end when the test calls end.
type sharedEngine struct {
	mu           sync.Mutex
	checksTokens bool
	token        uint64
	boot         int
	slots        int
	residents    map[string]bool
	running      map[string]string
	finish       map[string]chan struct{}
	// dropBefore and dropAfter count the next commands that get no reply: the engine
	// closes their connection before or after they take effect.
	dropBefore, dropAfter int
	commands              []string
	statusReads           int
	violations            []string
	// staleStatus, if set, is returned to status polls until a generation is refused.
	staleStatus *engine.Status
	// software is the version of the engine's software. statusSoftware is the one in its
	// status, which may be late.
	software, statusSoftware string
	// baseModel is the base model that the status names.
	baseModel string
	// started counts the generations that began.
	started int
}

func newSharedEngine(residents ...string) *sharedEngine {
	s := &sharedEngine{boot: 1, slots: 1, residents: map[string]bool{}, running: map[string]string{}, finish: map[string]chan struct{}{}}
	for _, a := range residents {
		s.residents[a] = true
	}
	return s
}

func (s *sharedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/status":
		s.status(w)
	case "/v1/completions":
		s.generate(w, r)
	default:
		s.command(w, r)
	}
}

func (s *sharedEngine) status(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statusReads++
	st := s.current()
	if s.staleStatus != nil {
		st = *s.staleStatus
	}
	_ = json.NewEncoder(w).Encode(st) // the client sees a broken connection
}

func (s *sharedEngine) current() engine.Status {
	st := engine.Status{BootID: strconv.Itoa(s.boot), SlotsTotal: s.slots, PositionsTotal: 4, SoftwareVersion: s.statusSoftware, BaseModel: s.baseModel}
	for a := range s.residents {
		st.Residents = append(st.Residents, a)
	}
	for id, a := range s.running {
		st.Running = append(st.Running, engine.Run{RequestID: id, Adapter: a})
	}
	return st
}

func (s *sharedEngine) command(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Name string `json:"lora_name"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body) // an empty name is recorded as such
	token, _ := strconv.ParseUint(r.Header.Get(engine.HeaderFencingToken), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropBefore > 0 {
		s.dropBefore--
		panic(http.ErrAbortHandler)
	}
	load := strings.HasPrefix(r.URL.Path, "/v1/load")
	status := s.accept(body.Name, token, load)
	if s.dropAfter > 0 {
		s.dropAfter--
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (s *sharedEngine) accept(name string, token uint64, load bool) int {
	switch {
	case s.checksTokens && token < s.token:
		return http.StatusPreconditionFailed
	case !load && !s.residents[name]:
		s.token = max(s.token, token)
		s.commands = append(s.commands, fmt.Sprintf("absent %s %d", name, token))
		return http.StatusNotFound
	case load && len(s.residents) >= s.slots:
		return http.StatusConflict
	}
	s.token = max(s.token, token)
	s.commands = append(s.commands, fmt.Sprintf("load=%t %s %d", load, name, token))
	for id, a := range s.running {
		if !load && a == name {
			s.violations = append(s.violations, name+" evicted under "+id)
		}
	}
	if load {
		s.residents[name] = true
	} else {
		delete(s.residents, name)
	}
	return http.StatusOK
}

func (s *sharedEngine) generate(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model string `json:"model"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body) // an empty model is not resident
	id := r.Header.Get(engine.HeaderRequestID)
	done := s.begin(id, body.Model)
	if done == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.withLock(func() { w.Header().Set(engine.HeaderSoftware, s.software) })
	event := fmt.Sprintf("data: {\"model\":%q}\n\n", body.Model)
	fmt.Fprint(w, event)
	w.(http.Flusher).Flush()
	<-done
	fmt.Fprint(w, event+"data: [DONE]\n\n")
}

// begin adds a run and returns the channel that ends it, or nil if the adapter is not
// resident.
func (s *sharedEngine) begin(id, model string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if model != "base" && !s.residents[model] {
		s.staleStatus = nil
		return nil
	}
	if s.checksTokens && s.token == 0 && model != "base" {
		s.violations = append(s.violations, id+" started before the fence")
	}
	s.started++
	done := make(chan struct{})
	s.running[id], s.finish[id] = model, done
	return done
}

// end lets a run finish.
func (s *sharedEngine) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
	if done := s.finish[id]; done != nil {
		close(done)
		delete(s.finish, id)
	}
}

// restart simulates a restart: it removes all adapters and runs, but leaves the
// streams of earlier runs open. Status polls show the restart at once if visible is
// set, and otherwise only after a generation was refused.
func (s *sharedEngine) restart(visible bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if staleStatus := s.current(); !visible {
		s.staleStatus = &staleStatus
	}
	s.boot++
	s.token = 0
	s.residents, s.running = map[string]bool{}, map[string]string{}
}

func (s *sharedEngine) withLock(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

// awaitStatusReads waits until the endpoint has polled the status n more times.
func (s *sharedEngine) awaitStatusReads(n int) {
	var from, now int
	s.withLock(func() { from = s.statusReads })
	for now < from+n {
		time.Sleep(time.Millisecond)
		s.withLock(func() { now = s.statusReads })
	}
}

// fakeAuthority is an Authority whose values the test sets.
type fakeAuthority struct {
	token     atomic.Uint64
	exclusive atomic.Bool
}

func newFakeAuthority(token uint64, exclusive bool) *fakeAuthority {
	l := &fakeAuthority{}
	l.token.Store(token)
	l.exclusive.Store(exclusive)
	return l
}

func (l *fakeAuthority) Token() (uint64, bool) { return l.token.Load(), l.token.Load() != 0 }

func (l *fakeAuthority) Exclusive() bool { return l.exclusive.Load() }

// harness is an endpoint with a shared engine and one entry that grants permits.
type harness struct {
	*testEndpoint
	states          chan fescuev1.EndpointState
	withholdPermits atomic.Bool
	permitRequests  chan string
}

func startHarness(t *testing.T, eng *sharedEngine, l Authority, change func(*Endpoint)) *harness {
	t.Helper()
	backend := httptest.NewServer(eng)
	t.Cleanup(func() {
		var left []string
		eng.withLock(func() { left = slices.Collect(maps.Keys(eng.finish)) })
		for _, id := range left {
			eng.end(id)
		}
		backend.Close()
	})
	b, found := bundle.Parse("test", "[bundle]\nversion = 1\n\n[deployment]\nname = test\nstall_weight = 0.5\nbatch_weight = 0.5\n")
	assert.NilError(t, found.Err())
	holder := &rollout.Holder{}
	holder.Adopt(b)
	set := Settings{
		ID: "e", Zone: "z", Listen: "127.0.0.1:0", Kind: KindModel, Backend: "base", Address: backend.Listener.Addr().String(),
		MaxQueued: 16, DrainTimeout: time.Minute, ShareInterval: time.Second, Fencing: FencingIgnored,
	}
	if eng.checksTokens {
		set.Fencing = FencingChecked
	}
	h := &harness{states: make(chan fescuev1.EndpointState, 1024), permitRequests: make(chan string, 1024)}
	h.testEndpoint = &testEndpoint{e: New(set, holder, l, logging.Nop()), ended: make(chan error, 1)}
	tick := 5 * time.Millisecond
	h.e.timing = timing{tick: tick, enginePoll: tick, fastPoll: tick, fenceRetry: tick, leaveGrace: tick, stopGrace: tick, commandDeadline: 5 * time.Second}
	if change != nil {
		change(h.e)
	}
	ctx, stop := context.WithCancel(t.Context())
	h.stop = stop
	go func() { h.ended <- h.e.Run(ctx) }()
	<-h.e.Ready()
	conn, err := grpc.NewClient(h.e.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	h.client = fescuev1.NewEndpointClient(conn)
	h.control, err = h.client.Control(t.Context())
	assert.NilError(t, err)
	hello := &fescuev1.ControlRequest{Body: &fescuev1.ControlRequest_Hello{Hello: &fescuev1.Hello{EntryId: "entry"}}}
	assert.NilError(t, h.control.Send(hello))
	go h.serveControl()
	return h
}

// serveControl records states and permit requests, and grants every request unless
// withholdPermits is set.
func (h *harness) serveControl() {
	for {
		m, err := h.control.Recv()
		if err != nil {
			return
		}
		if r := m.GetReport(); r != nil {
			h.states <- r.GetState()
		}
		if p := m.GetPermitRequest(); p != nil {
			h.permitRequests <- p.GetAdapter()
			if !h.withholdPermits.Load() {
				grant := &fescuev1.PermitGrant{Adapter: p.GetAdapter(), ValidMs: 10000}
				_ = h.control.Send(&fescuev1.ControlRequest{Body: &fescuev1.ControlRequest_PermitGrant{PermitGrant: grant}}) // the next Recv fails if the stream has ended
			}
		}
	}
}

func (h *harness) awaitState(want fescuev1.EndpointState) {
	for got := range h.states {
		if got == want {
			return
		}
	}
}

// startModelRun sends an attempt with an adapter of team a, or with the base model if
// adapter is empty.
func (h *harness) startModelRun(t *testing.T, id, adapter string) grpc.ServerStreamingClient[fescuev1.RunFrame] {
	t.Helper()
	return h.startResumedRun(t, id, adapter, 0, nil)
}

// startResumedRun sends an attempt that continues after a number of events of an engine
// with the given version.
func (h *harness) startResumedRun(t *testing.T, id, adapter string, events uint64, version *fescuev1.EngineVersion) grpc.ServerStreamingClient[fescuev1.RunFrame] {
	t.Helper()
	call := &fescuev1.ModelCall{Path: "/v1/completions", BaseModel: "base", Adapter: adapter, Body: []byte(`{"prompt":"x"}`), ResumeEvents: events, ResumeVersion: version}
	if adapter != "" {
		call.Version = "1"
	}
	st, err := h.client.Run(t.Context(), &fescuev1.RunRequest{
		Ref: &fescuev1.AttemptRef{RequestId: id, Attempt: 1}, EndpointId: "e", Incarnation: uint64(h.e.Incarnation()),
		BundleVersion: 1, Team: "a", Priority: fescuev1.Priority(ident.PriorityNormal),
		DeadlineMs: 60000, EndpointClockMs: h.e.clockMS(), Work: &fescuev1.RunRequest_Model{Model: call},
	})
	assert.NilError(t, err)
	return st
}

// firstDecision returns the first frame that is neither Accepted nor Header. It tells
// whether the attempt runs.
func firstDecision(t *testing.T, st grpc.ServerStreamingClient[fescuev1.RunFrame]) *fescuev1.RunFrame {
	t.Helper()
	for {
		f, err := st.Recv()
		assert.NilError(t, err)
		if f.GetAccepted() == nil && f.GetHeader() == nil {
			return f
		}
	}
}
