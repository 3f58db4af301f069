package locality

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against fetching parts from a server that still keeps some of the prompt from
// before its adapter was replaced. A replacement drops nothing and a fetch checks no
// versions, so the server hands out the old parts after the new ones. The case is a
// source that has processed the first part with both versions, the second one only with
// the old version.
func TestReplacedSourceWithOldPartsIsNotUsed(t *testing.T) {
	parts := []Part{{ID: "a", Tokens: 4000}, {ID: "b", Tokens: 3000}, {ID: "own", Tokens: 200}}
	now := time.Now()
	list := endpoints(2)
	busy, idle := list[0], list[1]
	setResident(busy, 2)
	setResident(idle, 2)
	busy.Runtime.Backlog[0].Store(40_000)
	prefixes := NewPrefixIndex()
	replaced := testScope
	replaced.Adapter = 2
	prefixes.RecordParts(now, busy.Runtime, SharedParts(testScope, parts))
	prefixes.RecordParts(now, busy.Runtime, SharedParts(replaced, []Part{parts[0], {ID: "other"}}))
	c, ok := New(DefaultWeights(), prefixes).Choose(&Request{Now: now, Key: testKey, Prefix: parts, PromptTokens: 7200}, list)
	assert.Assert(t, ok)
	assert.Equal(t, c.Endpoint, idle)
	assert.Assert(t, c.Source == nil, "fetches %d tokens from a server that keeps old parts", c.CachedTokens)
}
