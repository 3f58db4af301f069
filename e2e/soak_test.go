package e2e

import (
	"fmt"
	"io"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/soak"
)

// Guards against broken guarantees of the routed roles when seeded faults, releases and
// new versions overlap, with separate processes and the wire formats of the platform:
// among them streams with events of two software versions, runs on prompt memory of
// other versions, and cut streams that look complete. Seeds that have failed
// before stay in the list, each with a line on the cause.
func TestSoak(t *testing.T) {
	bin, err := binaries()
	assert.NilError(t, err)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			r, err := soak.Run(t.Context(), soak.Options{
				Seed: seed, Duration: 8 * time.Second, Entries: 4, Servers: 6,
				Binary: filepath.Join(bin, "fescued"), Dir: t.TempDir(), Out: io.Discard,
			})
			assert.NilError(t, err)
			assert.Assert(t, r.Requests > 100 && r.Answered > 0, "%+v", r)
			assert.Equal(t, len(r.Violations), 0, "%q", r.Violations)
		})
	}
}
