package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// Guards against a slow server that only the entries know whose requests it delayed: each
// of many entries sees too few first events to notice it.
func TestSlowdownIsLearnedFromAllEntries(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	h.publish(&fescuev1.ServerState{InstanceId: "i"})
	assert.Equal(t, h.current().message.GetSlowdownPercent(), uint32(100))
	for range 6 {
		p := newPeer()
		h.entries[p] = struct{}{}
		h.record(p, &fescuev1.DemandUpdate{InstanceId: "i", ExpectedFirstEventsMs: 100, ActualFirstEventsMs: 400})
	}
	h.publish(&fescuev1.ServerState{InstanceId: "i"})
	state := h.current()
	assert.Assert(t, state.message.GetSlowdownPercent() > 250, "%d", state.message.GetSlowdownPercent())
	assert.Equal(t, state.compact.GetSlowdownPercent(), state.message.GetSlowdownPercent(), "without holdings")
	h.publish(&fescuev1.ServerState{InstanceId: "restarted"})
	assert.Equal(t, h.current().message.GetSlowdownPercent(), uint32(100), "after a restart of the server")
}
