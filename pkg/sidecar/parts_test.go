package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

func newPeer() *peer {
	return &peer{arrivals: map[fleet.AdapterKey]int{}, notify: make(chan struct{}, 1)}
}

// Guards against entries that know only of the prompt parts that they sent
// themselves. With 31 entries, each knew only a fifth of the parts that the servers
// had cached.
func TestEntriesLearnOfEachOthersParts(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	one, two := newPeer(), newPeer()
	h.entries[one], h.entries[two] = struct{}{}, struct{}{}
	h.publish(&fescuev1.ServerState{InstanceId: "i-1"})
	h.record(one, &fescuev1.DemandUpdate{InstanceId: "i-1", ReadParts: []uint64{7, 8}})
	h.record(one, &fescuev1.DemandUpdate{InstanceId: "i-0", ReadParts: []uint64{9}})
	assert.DeepEqual(t, h.compactUpdate(two, h.current()).GetReadParts(), []uint64{7, 8})
	assert.Equal(t, len(h.compactUpdate(two, h.current()).GetReadParts()), 0, "a part must be told once")
	assert.Equal(t, len(h.compactUpdate(one, h.current()).GetReadParts()), 0, "its reader knows already")
	late := newPeer()
	assert.DeepEqual(t, h.compactUpdate(late, h.current()).GetReadParts(), []uint64{7, 8})
}

// Guards against announcing the parts of an earlier lifetime of the server, whose
// cache was lost when it restarted.
func TestPartsBelongToOneLifetime(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	p := newPeer()
	h.entries[p] = struct{}{}
	h.publish(&fescuev1.ServerState{InstanceId: "i-1"})
	h.record(newPeer(), &fescuev1.DemandUpdate{InstanceId: "i-1", ReadParts: []uint64{7}})
	h.publish(&fescuev1.ServerState{InstanceId: "i-2"})
	assert.Equal(t, len(h.compactUpdate(p, h.current()).GetReadParts()), 0)
	h.record(newPeer(), &fescuev1.DemandUpdate{InstanceId: "i-2", ReadParts: []uint64{8}})
	assert.DeepEqual(t, h.compactUpdate(p, h.current()).GetReadParts(), []uint64{8})
}

// Guards against a part that is announced on each use, a part that is dropped
// although it is still in use, and a log that grows without limit.
func TestPartLogRenewsAndForgets(t *testing.T) {
	l := newPartLog()
	start := time.Unix(100, 0)
	l.add(start, nil, []uint64{1})
	l.add(start.Add(reannounceAfter/2), nil, []uint64{1})
	parts, position := l.since(0, newPeer())
	assert.DeepEqual(t, parts, []uint64{1})
	l.add(start.Add(reannounceAfter), nil, []uint64{1})
	parts, position = l.since(position, newPeer())
	assert.DeepEqual(t, parts, []uint64{1})
	later := start.Add(3 * fleet.PrefixCacheTTL)
	l.add(later, nil, nil)
	parts, _ = l.since(0, newPeer())
	assert.Equal(t, len(parts), 0)
	assert.Equal(t, len(l.addedAt), 0)
	for h := range uint64(3 * maxParts) {
		l.add(later, nil, []uint64{h})
	}
	assert.Assert(t, len(l.records) <= maxParts+1 && len(l.addedAt) <= maxParts+1)
	parts, _ = l.since(position, newPeer())
	assert.Equal(t, len(parts), len(l.records))
}
