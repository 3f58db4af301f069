package daemon

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// Guards against changed settings that are ignored after SIGHUP, and against an
// invalid settings file that stops a running process or is applied in part.
func TestReload(t *testing.T) {
	level := zerolog.GlobalLevel()
	defer zerolog.SetGlobalLevel(level)
	path := filepath.Join(t.TempDir(), "entry.ini")
	write := func(lines ...string) {
		text := strings.Join(append(lines, "id = e1", "zone = z", "kv = 127.0.0.1:1", "residency-port = 7"), "\n")
		assert.NilError(t, os.WriteFile(path, []byte(text+"\n"), 0o600))
	}
	write("log-level = info")
	args := []string{"routed-entry", "-config", path}
	name, role, ok := selectRole(args)
	assert.Assert(t, ok)
	set, err := parseSettings(name, role, args[1:], io.Discard)
	assert.NilError(t, err)
	var out strings.Builder
	r := newReloader(args, set, logging.New(&out, zerolog.TraceLevel))
	write("log-level = warn", "grace = 9s")
	r.reload("signal")
	assert.Equal(t, zerolog.GlobalLevel(), zerolog.WarnLevel)
	assert.Assert(t, strings.Contains(out.String(), `"at_next_start":"grace"`), out.String())
	write("log-level = loud")
	r.reload("signal")
	assert.Equal(t, zerolog.GlobalLevel(), zerolog.WarnLevel)
	assert.Assert(t, strings.Contains(out.String(), "log-level"), out.String())
}
