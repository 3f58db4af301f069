package e2e

import (
	"io"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/soak"
)

// Guards against broken guarantees of the routed roles when seeded faults occur, with
// separate processes and the wire formats of the platform. Seeds that have failed
// before stay in the list, each with a line on the cause.
func TestSoak(t *testing.T) {
	bin, err := binaries()
	assert.NilError(t, err)
	for _, seed := range []uint64{1, 2} {
		r, err := soak.Run(t.Context(), soak.Options{
			Seed: seed, Duration: 6 * time.Second, Entries: 3, Servers: 4,
			Binary: filepath.Join(bin, "fescued"), Dir: t.TempDir(), Out: io.Discard,
		})
		assert.NilError(t, err)
		assert.Assert(t, r.Requests > 100 && r.Answered > 0, "%+v", r)
		assert.Equal(t, len(r.Violations), 0, "seed %d: %q", seed, r.Violations)
	}
}
