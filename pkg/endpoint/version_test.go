package endpoint

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// Runs that continue after events of an engine with some version, at an engine whose
// status and whose responses name versions. Guards against a stream with events of two
// versions, against a not-run result of a generation that the engine has begun, and
// against the refusal of a run that the engine can continue.
func TestResumeNeedsEngineVersion(t *testing.T) {
	versions := []string{"", "v1", "v2"}
	for _, began := range versions {
		for _, status := range versions {
			for _, actual := range versions {
				checkResume(t, began, status, actual)
			}
		}
	}
}

// checkResume sends a run that continues after an event of version began. The engine's
// status and its response name the versions status and actual.
func checkResume(t *testing.T, began, status, actual string) {
	t.Helper()
	name := fmt.Sprintf("began=%q status=%q actual=%q", began, status, actual)
	eng := newSharedEngine("a/x@1")
	eng.software, eng.statusSoftware = actual, status
	h := startHarness(t, eng, newFakeAuthority(1, true), nil)
	h.awaitState(stateReady)
	st := h.startResumedRun(t, "r", "x", 1, &fescuev1.EngineVersion{Software: began})
	f := firstDecision(t, st)
	switch {
	case status != began:
		assert.Equal(t, f.GetNotRun().GetReason(), fescuev1.NotRunReason_NOT_RUN_REASON_ENGINE_VERSION, name)
		eng.withLock(func() { assert.Equal(t, eng.started, 0, name) })
	case actual != "" && actual != began:
		assert.Equal(t, f.GetFailed().GetReason(), fescuev1.FailedReason_FAILED_REASON_ENGINE_VERSION, name)
	default:
		assert.Equal(t, f.GetData().GetOffset(), uint64(1), name)
		eng.end("r")
		assert.Equal(t, last(t, st).GetEnd().GetTotal(), uint64(3), name)
	}
	eng.end("r")
	h.stopAndCheck(t, eng)
}

// Guards against the refusal of a run whose entry does not name the version that it
// continues, such as one of an earlier release.
func TestResumeWithoutVersion(t *testing.T) {
	eng := newSharedEngine("a/x@1")
	eng.software, eng.statusSoftware = "v2", "v2"
	h := startHarness(t, eng, newFakeAuthority(1, true), nil)
	h.awaitState(stateReady)
	st := h.startResumedRun(t, "r", "x", 1, nil)
	assert.Equal(t, firstDecision(t, st).GetData().GetOffset(), uint64(1))
	eng.end("r")
	assert.Equal(t, last(t, st).GetEnd().GetTotal(), uint64(3))
	h.stopAndCheck(t, eng)
}

// The engine restarts with another base model than the endpoint is configured for, and
// later with the right one. Guards against adapters that are loaded or run on a base
// model that they were not made for, and against an endpoint that stays unready.
func TestOtherBaseModel(t *testing.T) {
	eng := newSharedEngine("a/x@1")
	h := startHarness(t, eng, newFakeAuthority(1, true), nil)
	for _, model := range []string{"", "other", "base"} {
		eng.withLock(func() {
			eng.boot++
			eng.baseModel, eng.started = model, 0
		})
		eng.awaitStatusReads(3) // the last of them begins after the second was applied
		if model != "other" {
			h.finishRun(t, eng, "run-"+model, h.startModelRun(t, "run-"+model, "x"))
			continue
		}
		for _, adapter := range []string{"x", "y"} {
			f := firstDecision(t, h.startModelRun(t, "refused-"+adapter, adapter))
			assert.Equal(t, f.GetNotRun().GetReason(), notReady, adapter)
		}
		eng.withLock(func() {
			assert.Equal(t, eng.started, 0)
			assert.Equal(t, len(eng.commands), 0)
		})
	}
	h.stopAndCheck(t, eng)
}
