package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// Guards against losing the versions of the weights between a sidecar and an entry, or
// taking one from a sidecar that reports none. Cached parts would then fit everywhere or
// nowhere.
func TestStatusHasTheVersionsOfTheWeights(t *testing.T) {
	m := &fescuev1.ServerState{Models: []string{"m", "n"}, ModelVersions: []uint32{3, 1}}
	assert.DeepEqual(t, status(time.Now(), m).Models, map[string]int{"m": 3, "n": 1})
	m.ModelVersions = nil
	assert.DeepEqual(t, status(time.Now(), m).Models, map[string]int{"m": 0, "n": 0})
}
