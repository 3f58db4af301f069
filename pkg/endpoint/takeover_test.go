package endpoint

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

const (
	stateStarting = fescuev1.EndpointState_ENDPOINT_STATE_STARTING
	stateReady    = fescuev1.EndpointState_ENDPOINT_STATE_READY
	notReady      = fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY
)

func adapterX() ident.Adapter { return ident.Adapter{Team: "a", Name: "x", Version: "1"} }

// lateUnload sends an unload command for adapter x, as an earlier lease holder could.
func (h *harness) lateUnload(t *testing.T, token uint64) error {
	t.Helper()
	return engine.New(h.e.set.Address, http.DefaultClient).Unload(t.Context(), engine.Command{Adapter: adapterX(), Token: token, Deadline: time.Now().Add(time.Minute)})
}

// finishRun lets the run of an attempt finish and checks that its answer is complete.
func (h *harness) finishRun(t *testing.T, eng *sharedEngine, id string, st grpc.ServerStreamingClient[fescuev1.RunFrame]) {
	t.Helper()
	f := firstDecision(t, st)
	assert.Assert(t, f.GetData() != nil, "%s: %v", id, f)
	eng.end(id)
	assert.Equal(t, last(t, st).GetEnd().GetTotal(), uint64(2), id)
}

// stopAndCheck stops the endpoint and checks that no adapter was evicted while a run
// used it.
func (h *harness) stopAndCheck(t *testing.T, eng *sharedEngine) {
	t.Helper()
	h.stop()
	assert.NilError(t, <-h.ended)
	eng.withLock(func() { assert.DeepEqual(t, eng.violations, []string(nil)) })
}

// The engine still runs requests that an earlier process started. Guards against the
// eviction of the adapter they use, and against new runs in the positions they occupy.
func TestPredecessorRunKeepsAdapter(t *testing.T) {
	eng := newSharedEngine("a/x@1")
	for _, id := range []string{"old1", "old2", "old3"} {
		eng.running[id] = "a/x@1"
	}
	h := startHarness(t, eng, newFakeAuthority(1, true), nil)
	h.awaitState(stateReady)
	y, base := h.startModelRun(t, "new", "y"), h.startModelRun(t, "base1", "")
	assert.Assert(t, firstDecision(t, base).GetData() != nil)
	assert.Equal(t, <-h.permitRequests, "a/y@1")
	queued := h.startModelRun(t, "base2", "")
	eng.awaitStatusReads(5)
	eng.withLock(func() {
		assert.Equal(t, len(eng.running), 4)
		assert.Assert(t, eng.residents["a/x@1"])
	})
	for _, id := range []string{"old1", "old2", "old3", "base1"} {
		eng.end(id)
	}
	h.finishRun(t, eng, "new", y)
	h.finishRun(t, eng, "base2", queued)
	h.stopAndCheck(t, eng)
}

// On an engine that ignores fencing tokens, a late command of the previous lease
// holder can evict an adapter. Guards against starting a run on that adapter before
// such commands can no longer take effect.
func TestLateUnloadOfPredecessor(t *testing.T) {
	eng := newSharedEngine("a/x@1")
	l := newFakeAuthority(0, false)
	h := startHarness(t, eng, l, nil)
	h.awaitState(stateStarting)
	eng.awaitStatusReads(2)
	h.finishRun(t, eng, "base", h.startModelRun(t, "base", ""))
	early := firstDecision(t, h.startModelRun(t, "early", "x"))
	assert.NilError(t, h.lateUnload(t, 1))
	assert.Equal(t, early.GetNotRun().GetReason(), notReady)
	l.token.Store(2)
	l.exclusive.Store(true)
	h.awaitState(stateReady)
	h.finishRun(t, eng, "late", h.startModelRun(t, "late", "x"))
	h.stopAndCheck(t, eng)
}

// Guards against runs that use adapters before the engine rejects the token of the
// previous lease holder, also after a lost fence command and after a restart of the
// engine, and against such runs after the engine has rejected this process's own
// token.
func TestFenceBeforeUse(t *testing.T) {
	eng := newSharedEngine("a/x@1")
	eng.checksTokens, eng.dropBefore = true, 1
	h := startHarness(t, eng, newFakeAuthority(6, true), nil)
	h.awaitState(stateReady)
	eng.withLock(func() { assert.DeepEqual(t, eng.commands, []string{"absent /fence 6"}) })
	st := h.startModelRun(t, "first", "x")
	assert.Assert(t, errors.Is(h.lateUnload(t, 5), engine.ErrFenced))
	h.finishRun(t, eng, "first", st)

	eng.restart(true)
	h.awaitState(stateStarting)
	h.awaitState(stateReady)
	eng.withLock(func() { assert.Equal(t, eng.token, uint64(6)) })
	h.finishRun(t, eng, "second", h.startModelRun(t, "second", "x"))

	eng.withLock(func() { eng.token = 7 })
	assert.Assert(t, firstDecision(t, h.startModelRun(t, "third", "y")).GetNotRun() != nil)
	h.awaitState(stateStarting)
	assert.Equal(t, firstDecision(t, h.startModelRun(t, "fourth", "x")).GetNotRun().GetReason(), notReady)
	h.stopAndCheck(t, eng)
}

// drainPolls waits for requested status polls, so that only the periodic ones, which
// are an hour apart in the test, remain.
func (h *harness) drainPolls(eng *sharedEngine) {
	h.e.control.pollNow()
	eng.awaitStatusReads(1)
	select {
	case <-h.e.control.poll:
	default:
	}
}

// The engine restarts with no adapters while a run is in progress. Guards against
// runs that never end, against late results of the earlier boot, and against adapters
// that still count as resident.
func TestColdRestart(t *testing.T) {
	eng := newSharedEngine("a/x@1")
	h := startHarness(t, eng, newFakeAuthority(1, true), func(e *Endpoint) { e.timing.enginePoll = time.Hour })
	h.awaitState(stateReady)
	st := h.startModelRun(t, "first", "x")
	assert.Assert(t, firstDecision(t, st).GetData() != nil)
	h.drainPolls(eng)
	eng.restart(false)
	refused := firstDecision(t, h.startModelRun(t, "second", "x"))
	assert.Equal(t, refused.GetNotRun().GetReason(), fescuev1.NotRunReason_NOT_RUN_REASON_ENGINE_REFUSED)
	assert.Equal(t, last(t, st).GetFailed().GetReason(), fescuev1.FailedReason_FAILED_REASON_BACKEND_LOST)
	eng.end("first")
	h.finishRun(t, eng, "third", h.startModelRun(t, "third", "x"))
	req := &fescuev1.RevokeRequest{Ref: &fescuev1.AttemptRef{RequestId: "first", Attempt: 1}, Incarnation: uint64(h.e.Incarnation()), EndpointClockMs: h.e.clockMS()}
	reply, err := h.client.Revoke(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, reply.GetState(), fescuev1.RevokeReply_STATE_FAILED)
	h.stopAndCheck(t, eng)
}

// Another process takes over the engine lease. Guards against starting work with
// adapters afterwards, and against aborting runs in progress.
func TestSupersededHolder(t *testing.T) {
	eng := newSharedEngine("a/x@1")
	l := newFakeAuthority(1, true)
	h := startHarness(t, eng, l, nil)
	h.withholdPermits.Store(true)
	h.awaitState(stateReady)
	running, waiting := h.startModelRun(t, "running", "x"), h.startModelRun(t, "waiting", "y")
	assert.Assert(t, firstDecision(t, running).GetData() != nil)
	assert.Equal(t, <-h.permitRequests, "a/y@1")
	l.exclusive.Store(false)
	l.token.Store(0)
	assert.Equal(t, firstDecision(t, waiting).GetNotRun().GetReason(), notReady)
	assert.Equal(t, firstDecision(t, h.startModelRun(t, "new", "x")).GetNotRun().GetReason(), notReady)
	eng.end("running")
	assert.Equal(t, last(t, running).GetEnd().GetTotal(), uint64(2))
	eng.withLock(func() { assert.Equal(t, len(eng.commands), 0) })
	h.stopAndCheck(t, eng)
}

// Guards against an adapter slot that stays unusable after the reply to an unload
// command was lost.
func TestLostUnloadReply(t *testing.T) {
	eng := newSharedEngine("a/x@1")
	eng.dropAfter = 1
	h := startHarness(t, eng, newFakeAuthority(1, true), func(e *Endpoint) { e.timing.commandDeadline = 500 * time.Millisecond })
	h.awaitState(stateReady)
	h.finishRun(t, eng, "new", h.startModelRun(t, "new", "y"))
	eng.withLock(func() { assert.Assert(t, slices.Contains(eng.commands, "load=true a/y@1 1")) })
	h.stopAndCheck(t, eng)
}

// Guards against a stop that aborts a run but reports no error, and against deadlines
// and settings with which a run can outlast the drain timeout.
func TestDrainTimeout(t *testing.T) {
	eng := newSharedEngine("a/x@1")
	h := startHarness(t, eng, newFakeAuthority(1, true), func(e *Endpoint) {
		e.set.DrainTimeout = 50 * time.Millisecond
		e.set.MaxDeadline = time.Minute
	})
	h.awaitState(stateReady)
	assert.Assert(t, firstDecision(t, h.startModelRun(t, "long", "x")).GetData() != nil)
	h.e.set.MaxDeadline = time.Minute - time.Millisecond
	refused := firstDecision(t, h.startModelRun(t, "longer", "x")).GetNotRun().GetReason()
	assert.Equal(t, refused, fescuev1.NotRunReason_NOT_RUN_REASON_DEADLINE)
	h.stop()
	assert.Assert(t, errors.Is(<-h.ended, ErrDrainTimeout))

	var s Settings
	set := config.NewSet("endpoint", io.Discard)
	s.Register(set)
	args := []string{"-id=e", "-zone=z", "-backend=b", "-backend-address=h:1", "-kv=h:2"}
	assert.NilError(t, set.Parse(args))
	s.Check(set)
	assert.NilError(t, set.Err())
	s.DrainTimeout = s.MaxDeadline
	s.Check(set)
	assert.Assert(t, strings.Contains(set.Err().Error(), "drain-timeout"), set.Err().Error())
}
