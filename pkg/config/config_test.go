package config_test

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/findings"
)

func newSet() (*config.Set, *string, *time.Duration) {
	s := config.NewSet("test", io.Discard)
	return s, s.String("listen", "", ""), s.Duration("drain-timeout", time.Second, "")
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a process that reports only the first invalid setting, so that
// operators need one restart per mistake.
func TestAllFindingsTogether(t *testing.T) {
	s, _, _ := newSet()
	path := write(t, "listen = 127.0.0.1:1\nlissen = x\ndrain-timeout = soon\n")
	err := s.Parse([]string{"-config", path})
	var list findings.List
	assert.Assert(t, errors.As(err, &list))
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Line, 2)
	assert.Equal(t, list[1].Line, 3)
}

// Guards against a settings file that overrides the command line or the environment.
func TestPrecedence(t *testing.T) {
	t.Setenv("FESCUE_DRAIN_TIMEOUT", "3s")
	s, listen, drain := newSet()
	path := write(t, "listen = file\ndrain-timeout = 9s\n")
	assert.NilError(t, s.Parse([]string{"-config", path, "-listen", "flag"}))
	assert.Equal(t, *listen, "flag")
	assert.Equal(t, *drain, 3*time.Second)
}

// Guards against an invalid flag and an unreadable file being confused, because their
// exit codes differ.
func TestWrongFlagIsUsageError(t *testing.T) {
	s, _, _ := newSet()
	assert.Assert(t, errors.Is(s.Parse([]string{"-nonsense"}), config.ErrUsage))
	s, _, _ = newSet()
	err := s.Parse([]string{"-config", "/nonexistent.ini"})
	assert.Assert(t, err != nil && !errors.Is(err, config.ErrUsage))
}
