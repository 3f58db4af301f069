package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// Guards against entries that do not learn after a restart that a server names a limit, or
// that it has ended.
func TestStateTellsOfALimit(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	state := func() *fescuev1.ServerState {
		h.publish(&fescuev1.ServerState{InstanceId: "i"})
		return h.current().compact
	}
	assert.Assert(t, !state().GetLimited())
	_, err := h.TakePermit(t.Context(), &fescuev1.TakePermitRequest{InstanceId: "i", LimitPerSecond: 2})
	assert.NilError(t, err)
	assert.Assert(t, state().GetLimited())
	assert.Equal(t, state().GetLimitPerSecond(), 2.0)
	_, err = h.TakePermit(t.Context(), &fescuev1.TakePermitRequest{InstanceId: "i", Ended: true})
	assert.NilError(t, err)
	assert.Assert(t, !state().GetLimited())
}

// Guards against a number of entries that stays outdated while nothing else changes at the
// server: entries divide the slack of retries by it.
func TestStateTellsOfNewEntries(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	h.publish(&fescuev1.ServerState{InstanceId: "i"})
	h.entries[&peer{}] = struct{}{}
	h.publish(&fescuev1.ServerState{InstanceId: "i"})
	assert.Equal(t, h.current().compact.GetEntries(), uint32(1))
}
