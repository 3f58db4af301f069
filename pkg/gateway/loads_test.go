package gateway

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against loads that stay counted after the link to their server has ended, and
// against counting a server's own loads as those of others.
func TestLoadCount(t *testing.T) {
	var total atomic.Int64
	one, two := loadCount{total: &total}, loadCount{total: &total}
	one.set(3)
	two.set(2)
	assert.Equal(t, one.elsewhere(), 2)
	assert.Equal(t, two.elsewhere(), 3)
	one.set(1)
	assert.Equal(t, two.elsewhere(), 1)
	one.set(0)
	assert.Equal(t, two.elsewhere(), 0)
	assert.Equal(t, one.elsewhere(), 2)
}
