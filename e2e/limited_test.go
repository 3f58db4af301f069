package e2e

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// startLimited starts fescued with a settings file and a limit of open descriptors, none if it
// is 0. It runs on one core, as on the VMs.
func startLimited(t *testing.T, descriptors int, role, id string, settings ...string) *daemon {
	t.Helper()
	dir, err := binaries()
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), id+".ini")
	assert.NilError(t, os.WriteFile(path, []byte("id = "+id+"\n"+strings.Join(settings, "\n")+"\n"), 0o600))
	args := []string{filepath.Join(dir, "fescued"), role, "-config", path}
	if descriptors > 0 {
		args = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, descriptors), "sh"}, args...)
	}
	p := &daemon{cmd: exec.Command(args[0], args[1:]...), log: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // tests read the exit code from ProcessState
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // the process may have exited already
		<-p.exited
		if t.Failed() {
			t.Logf("%s:\n%s", id, lastLines(p.log.String(), 30))
		}
	})
	return p
}

func lastLines(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	port, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return port
}
