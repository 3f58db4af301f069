package suspend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a suspension that is missed or reported twice, and against
// reporting small differences between the clocks.
func TestDetector(t *testing.T) {
	total := time.Hour
	w := NewDetector(func() (time.Duration, error) { return total, nil })
	steps := []struct{ add, want time.Duration }{
		{0, 0},
		{threshold / 2, 0},
		{5 * time.Second, 5*time.Second + threshold/2},
		{0, 0},
	}
	for _, s := range steps {
		total += s.add
		got, err := w.Suspended()
		assert.NilError(t, err)
		assert.Equal(t, got, s.want)
	}
}

// Guards against clocks that cannot be read on the tested system.
func TestTotal(t *testing.T) {
	d, err := Total()
	assert.NilError(t, err)
	assert.Assert(t, d > -threshold, "%v", d)
}
