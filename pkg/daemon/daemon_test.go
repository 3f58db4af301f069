package daemon

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const bundleText = "[bundle]\nversion = 1\n[deployment]\nname = test\n"

// Guards against wrong settings that start the daemon, that are reported one at
// a time, or that end with the wrong exit status.
func TestSettingsErrors(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer busy.Close()
	dir := t.TempDir()
	bundle := write(t, dir, "bundle.ini", bundleText)
	badBundle := write(t, dir, "bad-bundle.ini", "[bundle]\nversion = 0\n")
	full := "id = entry-1\nzone = a\nvm-list = 127.0.0.1:1\n"
	for _, c := range []struct {
		name string
		args []string
		file string
		exit int
		want []string
	}{
		{"no role", nil, "", exitUsage, []string{"usage: fescued"}},
		{"unknown role", []string{"router"}, "", exitUsage, []string{"usage: fescued"}},
		{"wrong flag", []string{"entry", "--nonsense"}, "", exitUsage, []string{"nonsense"}},
		{"extra argument", []string{"entry", "extra"}, "", exitUsage, []string{`unexpected argument "extra"`}},
		{"missing file", []string{"entry", "--config", "absent.ini"}, "", exitFailure, []string{"absent.ini"}},
		{"unknown key", []string{"entry"}, full + "colour = red\n", exitFailure, []string{`:4: unknown setting "colour"`}},
		{"all findings", []string{"entry"}, "zone = a\ncolour = red\ndrain-timeout = 0s\ndefault-deadline = soon\n", exitFailure, []string{
			`:2: unknown setting "colour"`, `:3: setting "drain-timeout"`, `:4: setting "default-deadline"`, `setting "id"`, `setting "vm-list"`,
		}},
		{"log level", []string{"entry", "--log-level", "loud"}, full, exitFailure, []string{`setting "log-level"`}},
		{"bad bundle", []string{"entry", "--bundle-file", badBundle}, full, exitFailure, []string{"bad-bundle.ini:2:"}},
		{"port in use", []string{"entry", "--bundle-file", bundle, "--listen", busy.Addr().String()}, full, exitFailure, []string{"address already in use"}},
		{"endpoint kind", []string{"endpoint", "--kind", "printer"}, "", exitFailure, []string{`setting "kind"`, `setting "backend"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			args := c.args
			if c.file != "" {
				args = append(args, "--config", write(t, t.TempDir(), "settings.ini", c.file))
			}
			var stderr bytes.Buffer
			assert.Equal(t, Run(context.Background(), args, &stderr), c.exit, stderr.String())
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(stderr.String(), want), "%q not in:\n%s", want, stderr.String())
			}
		})
	}
}

// Guards against a wrong environment variable that is reported as a wrong flag.
func TestEnvironment(t *testing.T) {
	t.Setenv("FESCUE_DRAIN_TIMEOUT", "soon")
	var stderr bytes.Buffer
	assert.Equal(t, Run(context.Background(), []string{"entry"}, &stderr), exitFailure)
	assert.Assert(t, strings.Contains(stderr.String(), "FESCUE_DRAIN_TIMEOUT"), stderr.String())
}

// Guards against a daemon that does not end with status 0 after a drain.
func TestDrainEndsWithZero(t *testing.T) {
	bundle := write(t, t.TempDir(), "bundle.ini", bundleText)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	args := []string{"entry", "--id", "e", "--zone", "a", "--vm-list", "127.0.0.1:1", "--listen", "127.0.0.1:0", "--unready-delay", "0s", "--bundle-file", bundle}
	var stderr syncBuffer
	assert.Equal(t, Run(ctx, args, &stderr), exitOK)
}
