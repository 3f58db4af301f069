package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// restartDelay is the pause before a process that has exited starts again.
const restartDelay = 300 * time.Millisecond

// process is a fescued process that is restarted whenever it exits.
type process struct {
	disturbance

	o       *Options
	name    string
	args    []string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	// unexpectedExits counts exits that no injected fault caused.
	unexpectedExits int
	// exitExpected is set once a signal that ends the process was sent.
	exitExpected bool
}

// newProcess writes the settings file and starts the process.
func newProcess(o *Options, name, role string, settings ...string) (*process, error) {
	path := filepath.Join(o.Dir, name+".ini")
	if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if err := os.Remove(o.logPath(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errors.Wrap(err, "remove the log of an earlier run")
	}
	p := &process{o: o, name: name, args: []string{role, "-config", path}}
	return p, p.start()
}

func (p *process) start() error {
	log, err := os.OpenFile(p.o.logPath(p.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(p.o.Binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return errors.Wrap(err, "start process")
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.exitExpected = cmd, exited, false
	p.mu.Unlock()
	p.mark()
	go func() {
		_ = cmd.Wait() // exitExpected tells whether a fault caused the exit
		log.Close()
		close(exited)
		p.restart()
	}()
	return nil
}

func (p *process) restart() {
	p.mu.Lock()
	if !p.exitExpected {
		p.unexpectedExits++
	}
	stopped := p.stopped
	p.mu.Unlock()
	if stopped {
		return
	}
	time.Sleep(restartDelay)
	p.mu.Lock()
	stopped = p.stopped
	p.mu.Unlock()
	if !stopped {
		_ = p.start() // a failure shows as failed requests in the recovery phase
	}
}

// signal sends a signal. After SIGKILL or SIGTERM an exit counts as expected.
func (p *process) signal(sig syscall.Signal) {
	p.mark()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	_ = p.cmd.Process.Signal(sig) // the process may have ended
}

// stop kills the process and prevents its restart.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped, p.exitExpected = true, true
	exited := p.exited
	_ = p.cmd.Process.Kill() // may have ended already
	p.mu.Unlock()
	<-exited
}

func (p *process) unexpectedExitCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}
