package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/mirror"
)

func operatorChange(key string, revision int64, era kv.Era, size int) mirror.Change {
	return mirror.Change{Pair: kv.Pair{Key: key, Value: make([]byte, size), ModRevision: revision}, Era: era}
}

// Guards against a revision that is reported before all items up to it are known, against
// items that an entry skips because a later one comes in an earlier message, and against
// revisions of an era that has ended.
func TestOperatorItemsForEntries(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	h.operator.apply([]mirror.Change{operatorChange("b", 7, 1, maxItemBytes), operatorChange("a", 5, 1, maxItemBytes)})
	assert.Equal(t, h.operator.latest(), int64(0))
	h.operator.apply(nil)
	assert.Equal(t, h.operator.latest(), int64(7))

	read := func(after int64) (keys string, era uint64) {
		resp, err := h.ReadOperatorItems(t.Context(), &fescuev1.ReadOperatorItemsRequest{AfterRevision: after})
		assert.NilError(t, err)
		for _, i := range resp.GetItems() {
			keys += i.GetKey()
		}
		return keys, resp.GetEra()
	}
	keys, era := read(0)
	assert.Equal(t, keys, "a")
	assert.Equal(t, era, uint64(1))
	keys, _ = read(5)
	assert.Equal(t, keys, "b")

	h.operator.apply([]mirror.Change{operatorChange("a", 3, 2, 1)})
	assert.Equal(t, h.operator.latest(), int64(3))
	keys, era = read(0)
	assert.Equal(t, keys, "a")
	assert.Equal(t, era, uint64(2))
}

// Guards against entries that never learn of new items because the rest of the state stays
// the same, and against a message to each entry for each of them.
func TestHubReportsOperatorRevision(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	h.operator.apply(nil)
	h.publish(&fescuev1.ServerState{InstanceId: "i"})
	first := h.current()
	h.operator.apply([]mirror.Change{operatorChange("a", 5, 0, 1)})
	h.publish(&fescuev1.ServerState{InstanceId: "i"})
	next := h.current()
	assert.Equal(t, next.message.GetOperatorRevision(), int64(5))
	assert.Equal(t, next.compact.GetOperatorRevision(), int64(5))
	assert.Assert(t, !due(&next, &first, utilizationInterval))
	assert.Assert(t, due(&next, &first, heartbeatInterval))
}
