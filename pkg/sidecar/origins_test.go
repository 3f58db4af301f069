package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Guards against an update whose origins hide its demand, and against sidecars
// that cannot say where the streams of an entry that has gone began, or lose this with
// their server.
func TestHubKeepsStreamOrigins(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	p := &peer{arrivals: map[fleet.AdapterKey]int{}, notify: make(chan struct{}, 1)}
	h.entries[p] = struct{}{}
	m := demandOf("i-1", 2, 100)
	m.StreamOrigins = []*fescuev1.StreamOrigins{
		{Service: "pool", SoftwareVersion: "v1", Streams: []uint64{7, 8}},
		{Service: "pool", SoftwareVersion: "v2", Streams: []uint64{9}},
		{Service: "pool", SoftwareVersion: "v3"},
	}
	h.record(p, m)
	assert.Assert(t, h.hasWaitingRequests())
	assert.DeepEqual(t, h.sumBacklog(), []uint64{100, 0, 0, 0})
	h.leave(p)
	h.publish(&fescuev1.ServerState{InstanceId: "i-2"}) // the server has restarted under a new id
	for stream, version := range map[uint64]string{7: "v1", 8: "v1", 9: "v2", 10: ""} {
		m, err := h.FindOrigin(t.Context(), &fescuev1.FindOriginRequest{Stream: stream, Service: "pool"})
		assert.NilError(t, err)
		assert.Equal(t, m.GetFound(), version != "")
		assert.Equal(t, m.GetSoftwareVersion(), version)
		assert.DeepEqual(t, m.GetServiceVersions(), []string{"v1", "v2", "v3"})
	}
}
