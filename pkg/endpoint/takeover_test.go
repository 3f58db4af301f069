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

// lateUnload is a command of another process for adapter x.
func (h *harness) lateUnload(t *testing.T, token uint64) error {
	t.Helper()
	return engine.New(h.e.set.Address, http.DefaultClient).Unload(t.Context(), engine.Command{Adapter: adapterX(), Token: token, Deadline: time.Now().Add(time.Minute)})
}

// answered ends the run of an attempt and checks that its answer is complete.
func (h *harness) finishRun(t *testing.T, eng *sharedEngine, id string, st grpc.ServerStreamingClient[fescuev1.RunFrame]) {
	t.Helper()
	f := firstDecision(t, st)
	assert.Assert(t, f.GetData() != nil, "%s: %v", id, f)
	eng.end(id)
	assert.Equal(t, last(t, st).GetEnd().GetTotal(), uint64(2), id)
}

// finish stops the endpoint and checks that no adapter was evicted under a run.
func (h *harness) stopAndCheck(t *testing.T, eng *sharedEngine) {
	t.Helper()
	h.stop()
	assert.NilError(t, <-h.ended)
	eng.withLock(func() { assert.DeepEqual(t, eng.violations, []string(nil)) })
}

// Guards against the eviction of an adapter that a request of the predecessor
// still uses, and against one whose positions are given away.
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

// Guards against a run whose adapter is evicted by a late command of the
// predecessor, on an engine that ignores fencing tokens.
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

// Guards against adapter work before the engine rejects the predecessor's token,
// also after a lost fence command and after a restart of the engine, and against
// work of a process whose own token is rejected.
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

// endReadings leaves no reading pending but those at the long interval.
func (h *harness) drainPolls(eng *sharedEngine) {
	h.e.control.pollNow()
	eng.awaitStatusReads(1)
	select {
	case <-h.e.control.poll:
	default:
	}
}

// Guards against runs that wait for ever on an engine that has restarted, against
// late results of the old engine, and against adapters that are believed resident.
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

// Guards against a holder that goes on to start adapter work after another process
// has taken the lease, and against one that breaks off what runs.
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

// Guards against a slot that is lost with the reply of an unload command.
func TestLostUnloadReply(t *testing.T) {
	eng := newSharedEngine("a/x@1")
	eng.dropAfter = 1
	h := startHarness(t, eng, newFakeAuthority(1, true), func(e *Endpoint) { e.timing.commandDeadline = 500 * time.Millisecond })
	h.awaitState(stateReady)
	h.finishRun(t, eng, "new", h.startModelRun(t, "new", "y"))
	eng.withLock(func() { assert.Assert(t, slices.Contains(eng.commands, "load=true a/y@1 1")) })
	h.stopAndCheck(t, eng)
}

// Guards against a stop that cuts off a run and looks like a graceful one, and
// against deadlines and settings that make such stops possible.
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
