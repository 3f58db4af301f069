package credential

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a key that changes its owner without notice because two owners name it.
func TestKeyHasOneOwner(t *testing.T) {
	var x Index[string]
	assert.Assert(t, x.Add(DigestOf("k1"), "a"))
	assert.Assert(t, x.Add(DigestOf("k1"), "a"))
	assert.Assert(t, !x.Add(DigestOf("k1"), "b"))
	owner, ok := x.Find("k1")
	assert.Assert(t, ok && owner == "a")
	_, ok = x.Find("")
	assert.Assert(t, !ok)
}
