package daemon

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const reviewersText = "[reviewer \"alice\"]\npublic_key = AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n"

// Guards against a daemon that starts with invalid settings, reports them one at a
// time, or exits with the wrong status.
func TestSettingsErrors(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer busy.Close()
	dir := t.TempDir()
	reviewers := write(t, dir, "reviewers.ini", reviewersText)
	badReviewers := write(t, dir, "bad-reviewers.ini", "[reviewer \"alice\"]\npublic_key = short\n")
	full := "id = entry-1\nzone = a\nvm-list = 127.0.0.1:1\nkv = 127.0.0.1:1\n"
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
		{"unknown key", []string{"entry"}, full + "colour = red\n", exitFailure, []string{`:5: unknown setting "colour"`}},
		{"all findings", []string{"entry"}, "zone = a\ncolour = red\ndrain-timeout = 0s\ndefault-deadline = soon\n", exitFailure, []string{
			`:2: unknown setting "colour"`, `:3: setting "drain-timeout"`, `:4: setting "default-deadline"`, `setting "id"`, `setting "vm-list"`, `setting "kv"`, `setting "reviewers"`,
		}},
		{"log level", []string{"entry", "--log-level", "loud"}, full, exitFailure, []string{`setting "log-level"`}},
		{"bad reviewers", []string{"entry", "--reviewers", badReviewers}, full, exitFailure, []string{"bad-reviewers.ini:2:"}},
		{"port in use", []string{"entry", "--reviewers", reviewers, "--listen", busy.Addr().String()}, full, exitFailure, []string{"address already in use"}},
		{"endpoint kind", []string{"endpoint", "--kind", "printer"}, "", exitFailure, []string{`setting "kind"`, `setting "backend"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			args := c.args
			if c.file != "" {
				args = append(args, "--config", write(t, t.TempDir(), "settings.ini", c.file))
			}
			var stderr bytes.Buffer
			assert.Equal(t, Run(context.Background(), args, io.Discard, &stderr), c.exit, stderr.String())
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(stderr.String(), want), "%q not in:\n%s", want, stderr.String())
			}
		})
	}
}

// Guards against an invalid environment variable that is reported as an invalid flag.
func TestEnvironment(t *testing.T) {
	t.Setenv("FESCUE_DRAIN_TIMEOUT", "soon")
	var stderr bytes.Buffer
	assert.Equal(t, Run(context.Background(), []string{"entry"}, io.Discard, &stderr), exitFailure)
	assert.Assert(t, strings.Contains(stderr.String(), "FESCUE_DRAIN_TIMEOUT"), stderr.String())
}

// Guards against a daemon that exits with a status other than 0 after a drain.
func TestDrainEndsWithZero(t *testing.T) {
	reviewers := write(t, t.TempDir(), "reviewers.ini", reviewersText)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	args := []string{"entry", "--id", "e", "--zone", "a", "--vm-list", "127.0.0.1:1", "--kv", "127.0.0.1:1", "--listen", "127.0.0.1:0", "--unready-delay", "0s", "--reviewers", reviewers}
	var stderr syncBuffer
	assert.Equal(t, Run(ctx, args, io.Discard, &stderr), exitOK)
}
