package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
	"github.com/fescuecourse/fescuecourse/standin/weightstore"
)

// Guards against a report that omits a changed field, which leaves an entry's directory
// of endpoints outdated. It compares a directory fed with complete reports to one fed
// with deltas.
func TestDeltaReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, parts := membership.New(), membership.New()
		adapters := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a/1@1", "a/2@1", "b/1@2"}), 0, 3, rapid.ID[string])
		var last *fescuev1.Report
		for step := range rapid.IntRange(1, 20).Draw(t, "reports") {
			next := &fescuev1.Report{
				EndpointId: "e", Incarnation: 7, Zone: "z", Kind: fescuev1.EndpointKind_ENDPOINT_KIND_MODEL, Backend: "base",
				State:            fescuev1.EndpointState(rapid.IntRange(1, 3).Draw(t, "state")),
				BundleVersion:    rapid.Uint64Range(1, 3).Draw(t, "version"),
				ClockMs:          uint64(step),
				PositionsTotal:   rapid.Uint32Range(0, 9).Draw(t, "total"),
				PositionsUsed:    rapid.Uint32Range(0, 9).Draw(t, "used"),
				Queued:           rapid.Uint32Range(0, 9).Draw(t, "queued"),
				SlotsTotal:       rapid.Uint32Range(0, 9).Draw(t, "slots"),
				ConnectedEntries: rapid.Uint32Range(1, 3).Draw(t, "entries"),
				CanLoad:          rapid.Bool().Draw(t, "canLoad"),
				EngineVersion:    &fescuev1.EngineVersion{Software: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "software"), Weights: rapid.SampledFrom([]string{"", "3"}).Draw(t, "weights")},
				ResidentsChanged: true,
				Residents:        adapters.Draw(t, "residents"),
				Loading:          adapters.Draw(t, "loading"),
			}
			sent := next
			if last != nil && rapid.IntRange(0, 9).Draw(t, "newStream") > 0 {
				sent = delta(last, next)
			}
			now := time.Unix(int64(step), 0)
			whole.Apply(now, next)
			parts.Apply(now, proto.Clone(sent).(*fescuev1.Report))
			want, got := *whole.Snapshot().Endpoints[0], *parts.Snapshot().Endpoints[0]
			want.Attempts, got.Attempts = nil, nil
			if fmt.Sprintf("%+v", want) != fmt.Sprintf("%+v", got) {
				t.Fatalf("report %d: directory has\n%+v, want\n%+v", step, got, want)
			}
			last = next
		}
	})
}

// testEndpoint is an endpoint with a fake engine and one connected entry.
type testEndpoint struct {
	e       *Endpoint
	engine  *fakeengine.Server
	client  fescuev1.EndpointClient
	control grpc.BidiStreamingClient[fescuev1.ControlRequest, fescuev1.ControlResponse]
	stop    context.CancelFunc
	ended   chan error
}

func startEndpoint(t *testing.T) *testEndpoint {
	t.Helper()
	return startEndpointBehind(t, func(h http.Handler) http.Handler { return h })
}

// startEndpointBehind starts an endpoint whose calls of the engine pass through a handler.
func startEndpointBehind(t *testing.T, wrap func(http.Handler) http.Handler, adjust ...func(*timing)) *testEndpoint {
	t.Helper()
	eng := fakeengine.New(fakeengine.Options{
		BaseModel: "base", Slots: 1, Positions: 4,
		Timing: fakeengine.Timing{Decode: 20 * time.Millisecond}, Weights: weightstore.New(1000, nil),
	})
	backend := httptest.NewServer(wrap(eng.Handler()))
	t.Cleanup(backend.Close)
	b, found := bundle.Parse("test", "[bundle]\nversion = 1\n\n[deployment]\nname = test\nstall_weight = 0.5\nbatch_weight = 0.5\n")
	assert.NilError(t, found.Err())
	h := &rollout.Holder{}
	h.Adopt(b)
	set := Settings{
		ID: "e", Zone: "z", Listen: "127.0.0.1:0", Kind: KindModel, Backend: "base", Address: backend.Listener.Addr().String(),
		MaxQueued: 16, Positions: 4, DrainTimeout: time.Minute, ShareInterval: time.Second,
	}
	s := &testEndpoint{e: New(set, h, StaticAuthority{}, logging.Nop()), engine: eng, ended: make(chan error, 1)}
	s.e.timing.enginePoll = time.Minute // tests do not wait for periodic polls
	for _, f := range adjust {
		f(&s.e.timing)
	}
	ctx, stop := context.WithCancel(t.Context())
	s.stop = stop
	go func() { s.ended <- s.e.Run(ctx) }()
	<-s.e.Ready()
	conn, err := grpc.NewClient(s.e.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	s.client = fescuev1.NewEndpointClient(conn)
	s.control, err = s.client.Control(t.Context())
	assert.NilError(t, err)
	hello := &fescuev1.ControlRequest{Body: &fescuev1.ControlRequest_Hello{Hello: &fescuev1.Hello{EntryId: "entry"}}}
	assert.NilError(t, s.control.Send(hello))
	s.await(t, fescuev1.EndpointState_ENDPOINT_STATE_READY)
	return s
}

// await reads control messages until a report has the given state.
func (s *testEndpoint) await(t *testing.T, state fescuev1.EndpointState) {
	t.Helper()
	for {
		m, err := s.control.Recv()
		assert.NilError(t, err)
		if m.GetReport().GetState() == state {
			return
		}
	}
}

func (s *testEndpoint) run(ctx context.Context, t *testing.T, id string, idempotent bool) grpc.ServerStreamingClient[fescuev1.RunFrame] {
	t.Helper()
	st, err := s.client.Run(ctx, &fescuev1.RunRequest{
		Ref: &fescuev1.AttemptRef{RequestId: id, Attempt: 1}, EndpointId: "e", Incarnation: uint64(s.e.Incarnation()),
		BundleVersion: 1, Team: "a", Idempotent: idempotent, Priority: fescuev1.Priority(ident.PriorityNormal),
		DeadlineMs: 60000, EndpointClockMs: s.e.clockMS(),
		Work: &fescuev1.RunRequest_Model{Model: &fescuev1.ModelCall{
			Path: "/v1/completions", BaseModel: "base", Body: []byte(`{"prompt":"` + id + `","max_tokens":30}`),
		}},
	})
	assert.NilError(t, err)
	return st
}

// last reads the stream to its end and returns the last frame.
func last(t *testing.T, st grpc.ServerStreamingClient[fescuev1.RunFrame]) *fescuev1.RunFrame {
	t.Helper()
	var f *fescuev1.RunFrame
	for {
		next, err := st.Recv()
		if err != nil {
			return f
		}
		f = next
	}
}

// awaitData reads frames until one contains data.
func awaitData(t *testing.T, st grpc.ServerStreamingClient[fescuev1.RunFrame]) {
	t.Helper()
	for {
		f, err := st.Recv()
		assert.NilError(t, err)
		if f.GetData() != nil {
			return
		}
	}
}

// Guards against a graceful stop that interrupts a run or loses its last frames,
// against accepting new work during the stop, against entries that are not told of
// the stop, and against an exit before the last run has ended.
func TestDrain(t *testing.T) {
	s := startEndpoint(t)
	st := s.run(t.Context(), t, "r1", false)
	awaitData(t, st)
	s.stop()
	s.await(t, fescuev1.EndpointState_ENDPOINT_STATE_LEAVING)
	late := last(t, s.run(t.Context(), t, "r2", true))
	assert.Equal(t, late.GetNotRun().GetReason(), fescuev1.NotRunReason_NOT_RUN_REASON_LEAVING)
	assert.Equal(t, last(t, st).GetEnd().GetTotal(), uint64(30))
	assert.NilError(t, <-s.ended)
	assert.Equal(t, len(s.engine.Starts(`"r2"`)), 0)
}

// Guards against a non-idempotent run that is cancelled when its stream ends, which
// would leave its result unknown, and against an idempotent run that continues after
// its stream has ended.
func TestStreamEnds(t *testing.T) {
	s := startEndpoint(t)
	for _, c := range []struct {
		id         string
		idempotent bool
		want       fescuev1.RevokeReply_State
	}{
		{"keep", false, fescuev1.RevokeReply_STATE_DONE},
		{"cancel", true, fescuev1.RevokeReply_STATE_FAILED},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		awaitData(t, s.run(ctx, t, c.id, c.idempotent))
		cancel()
		req := &fescuev1.RevokeRequest{Ref: &fescuev1.AttemptRef{RequestId: c.id, Attempt: 1}, Incarnation: uint64(s.e.Incarnation()), EndpointClockMs: s.e.clockMS()}
		var reply *fescuev1.RevokeReply
		running := []fescuev1.RevokeReply_State{fescuev1.RevokeReply_STATE_UNSPECIFIED, fescuev1.RevokeReply_STATE_RUNNING}
		for slices.Contains(running, reply.GetState()) {
			var err error
			reply, err = s.client.Revoke(t.Context(), req)
			assert.NilError(t, err)
		}
		assert.Equal(t, reply.GetState(), c.want, c.id)
		assert.Equal(t, len(reply.GetAnswer()) > 0, !c.idempotent)
	}
	s.stop()
	assert.NilError(t, <-s.ended)
}

// Guards against an endpoint that notices a restart of the engine only at the next
// periodic poll. Until then it would evict adapters that no longer exist, which fails,
// and the requests that wait for these evictions would be refused.
func TestRefusalRevealsEngineRestart(t *testing.T) {
	s := startEndpoint(t)
	run := func(id string) grpc.ServerStreamingClient[fescuev1.RunFrame] {
		st, err := s.client.Run(t.Context(), &fescuev1.RunRequest{
			Ref: &fescuev1.AttemptRef{RequestId: id, Attempt: 1}, EndpointId: "e", Incarnation: uint64(s.e.Incarnation()),
			BundleVersion: 1, Team: "a", Idempotent: true, Priority: fescuev1.Priority(ident.PriorityNormal),
			DeadlineMs: 60000, EndpointClockMs: s.e.clockMS(),
			Work: &fescuev1.RunRequest_Model{Model: &fescuev1.ModelCall{
				Path: "/v1/completions", BaseModel: "base", Adapter: "x", Version: "1", Body: []byte(`{"prompt":"` + id + `","max_tokens":1}`),
			}},
		})
		assert.NilError(t, err)
		return st
	}
	grant := func() {
		for {
			m, err := s.control.Recv()
			assert.NilError(t, err)
			if m.GetPermitRequest() != nil {
				break
			}
		}
		assert.NilError(t, s.control.Send(&fescuev1.ControlRequest{Body: &fescuev1.ControlRequest_PermitGrant{PermitGrant: &fescuev1.PermitGrant{Adapter: "a/x@1", ValidMs: 10000}}}))
	}
	first := run("first")
	grant()
	assert.Equal(t, last(t, first).GetEnd().GetTotal(), uint64(1))
	s.engine.Restart()
	assert.Equal(t, last(t, run("refused")).GetNotRun().GetReason(), fescuev1.NotRunReason_NOT_RUN_REASON_ENGINE_REFUSED)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(s.e.control.snapshot.Load().stats.Residents) > 0 {
			return poll.Continue("the adapter still counts as resident")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	again := run("again")
	grant()
	assert.Equal(t, last(t, again).GetEnd().GetTotal(), uint64(1))
}
