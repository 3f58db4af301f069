package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Guards against long prompts that the other entries hear of late, and against an
// update for each short one.
func TestLongPromptsAreAnnouncedAtOnce(t *testing.T) {
	k := fleet.AdapterKey{Model: "m", Name: "a1"}
	d := newDemand()
	d.start(k, urgentPrompt-1)
	assert.Equal(t, len(d.urgent), 0)
	d.start(k, urgentPrompt)
	assert.Equal(t, len(d.urgent), 1)
	d.start(k, urgentPrompt) // must not block
}
