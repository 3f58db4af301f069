// Command standin runs the cases of the review. Each case starts the project's own programs
// as processes, with stand-ins for the store, the model servers and the clients around them,
// and writes what was sent, answered and run to a record.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// Figures of the site adwenpa-steam, as its sheet gives them.
const (
	hostName     = "h.example"
	modelName    = "m0"
	modelService = "steam-lm"
	weightsMB    = 75000.0
	modelMB      = 72700.0
	adapterMB    = 66.0
	maxAdapters  = 9
	adapterLoad  = 250 * time.Millisecond
	storeLoad    = 2100 * time.Millisecond // of the model, from the weight store
	diskLoad     = 840 * time.Millisecond  // of the model, from the server's own disk
	heartbeat    = 1200 * time.Millisecond
	restartDelay = 300 * time.Millisecond
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// bed is one run of a case.
type bed struct {
	dir     string
	program string
	trouble bool
	began   time.Time
	store   *platform.Store
	port    int // of the processes beside the model servers

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

func newBed(program, record string, trouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	return &bed{dir: dir, program: program, trouble: trouble, began: time.Now(), record: f, store: platform.NewStore()}, nil
}

// note writes one line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	b.mu.Lock()
	procs := b.procs
	b.mu.Unlock()
	for _, p := range procs {
		p.stop()
	}
	b.store.Close()
	if os.Getenv("KEEP") != "" {
		b.note("logs are kept in a temporary folder")
		fmt.Println(b.dir)
	} else {
		os.RemoveAll(b.dir)
	}
	b.record.Close()
}

// process is one process of the system. It is started again after it has ended, like on the
// platform.
type process struct {
	b    *bed
	name string
	args []string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	pause   time.Duration // until the next start
}

// start starts a role with the given settings.
func (b *bed) start(name, role string, settings ...string) (*process, error) {
	path := filepath.Join(b.dir, name+".ini")
	if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	p := &process{b: b, name: name, args: []string{role, "-config", path}, pause: restartDelay}
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	return p, p.run()
}

// rewrite replaces a setting of the process from its next start on.
func (p *process) rewrite(old, now string) {
	path := p.args[2]
	text, err := os.ReadFile(path)
	if err == nil {
		err = os.WriteFile(path, []byte(strings.Replace(string(text), old, now, 1)), 0o600)
	}
	if err != nil {
		p.b.note("settings of %s: %v", p.name, err)
	}
}

func (p *process) run() error {
	log, err := os.OpenFile(filepath.Join(p.b.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.b.program, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	p.b.note("process %s started", p.name)
	go func() {
		err := cmd.Wait()
		log.Close()
		p.mu.Lock()
		stopped, pause := p.stopped, p.pause
		p.mu.Unlock()
		close(exited)
		if stopped {
			return
		}
		p.b.note("process %s ended (%v), starts again in %v", p.name, err, pause)
		time.Sleep(pause)
		p.mu.Lock()
		stopped = p.stopped
		p.mu.Unlock()
		if !stopped {
			_ = p.run()
		}
	}()
	return nil
}

// kill sends SIGKILL. The process starts again after the given time.
func (p *process) kill(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = pause
	_ = p.cmd.Process.Kill()
}

func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	exited := p.exited
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	if exited != nil {
		select {
		case <-exited:
		case <-time.After(5 * time.Second):
		}
	}
}

// freePort returns a port that is free on all hosts.
func freePort(hosts ...string) (int, error) {
next:
	for range 50 {
		lis, err := net.Listen("tcp", hosts[0]+":0")
		if err != nil {
			return 0, err
		}
		port := lis.Addr().(*net.TCPAddr).Port
		lis.Close()
		for _, h := range hosts {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, port))
			if err != nil {
				continue next
			}
			l.Close()
		}
		return port, nil
	}
	return 0, errors.New("no free port")
}

// entry is an entry process and its addresses.
type entry struct {
	*process
	listen, ready string
}

// addEntry starts an entry with settings as deploy/entry.ini renders them for the site.
func (b *bed) addEntry(name, host, kv string) (*entry, error) {
	listen, err := freePort(host)
	if err != nil {
		return nil, err
	}
	ready, err := freePort(host)
	if err != nil {
		return nil, err
	}
	e := &entry{listen: fmt.Sprintf("%s:%d", host, listen), ready: fmt.Sprintf("%s:%d", host, ready)}
	e.process, err = b.start(name, "routed-entry",
		"id = "+name, "zone = accra-a", "listen = "+e.listen, "ready-listen = "+e.ready, "kv = "+kv,
		fmt.Sprintf("residency-port = %d", b.port), "grace = 8s", "retry-ratio = 0.2", "retry-slack = 56",
		"memory-mb = 284", "config-limit = 2000ms", "drain-limit = 2000ms", "first-start = true")
	return e, err
}

// addSidecar starts the process beside a model server.
func (b *bed) addSidecar(name, host, server string) (*process, error) {
	return b.start(name, "routed-endpoint",
		"id = "+name, fmt.Sprintf("listen = %s:%d", host, b.port), "kv = "+b.store.Address(),
		"server = "+server, "service = "+modelService, "memory-mb = 216")
}

// awaitReady waits until an entry is ready for clients.
func (e *entry) awaitReady(within time.Duration) error {
	for began := time.Now(); time.Since(began) < within; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.ready + "/api/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			e.rewrite("first-start = true", "first-start = false") // for later starts
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}

// writeConfig stores the operator's configuration: one route of resumable streams to the
// model service.
func (b *bed) writeConfig() {
	c := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "chat", "host": hostName, "prefix": "/chat/", "kind": "streaming", "timeoutMs": 15000,
			"targetLatencyMs": 800, "gapTargetMs": 400, "priority": 0, "service": modelService,
			"maxAttempts": 2, "resumable": true,
		}},
		"services": []any{map[string]any{
			"name": modelService, "healthPath": "/health", "maxConnections": 370,
			"engine": map[string]any{
				"slots": 64, "kvCacheTokens": 251944, "weightsMb": weightsMB, "maxAdapters": maxAdapters, "loadsPerS": 2.1,
				"models": []any{map[string]any{"name": modelName, "weightsMb": modelMB, "loadTimeS": 2.1, "adapters": 3000, "adapterSizeMb": adapterMB}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	text, err := json.Marshal(c)
	if err != nil {
		panic(err) // these types cannot fail
	}
	b.store.Put("op/config", string(text))
	b.note("operator: configuration 1 written")
}

// gate is a proxy between one machine and the store. While it is shut, the store turns the
// machine away: every call gets 503.
type gate struct {
	lis    net.Listener
	target string
	mu     sync.Mutex
	shut   bool
	conns  map[net.Conn]struct{}
}

func newGate(target string) (*gate, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{lis: lis, target: target, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go g.serve(c)
		}
	}()
	return g, nil
}

func (g *gate) address() string { return g.lis.Addr().String() }

// set shuts or opens the gate. Open connections are closed.
func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	for c := range g.conns {
		c.Close()
	}
}

func (g *gate) serve(c net.Conn) {
	g.mu.Lock()
	shut := g.shut
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	defer func() {
		c.Close()
		g.mu.Lock()
		delete(g.conns, c)
		g.mu.Unlock()
	}()
	if shut {
		buf := make([]byte, 8<<10)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		if _, err := c.Read(buf); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		}
		return
	}
	t, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer t.Close()
	go func() { _, _ = io.Copy(t, c); t.Close() }()
	_, _ = io.Copy(c, t)
}
