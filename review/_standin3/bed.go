// Command _standin3 plays the scripts of the third review: it starts the project's own programs as
// processes, beside stand-ins of the platform's store, of servers and of clients, all on loopback
// addresses, and checks what the clients and the servers have seen.
package main

import (
	"context"
	"encoding/json"
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

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	startLimit   = 20 * time.Second
	stopLimit    = 10 * time.Second
	siteHost     = "h.example"
	modelName    = "m0"
	modelService = "steam-lm"
	plainService = "till-app"
)

// bed has the processes and the stand-ins of one case.
type bed struct {
	program string // target/fescued
	dir     string // a temporary folder
	store   *platform.Store
	began   time.Time
	// strict is true if model servers refuse orders for adapters that do not exist.
	strict bool

	mu     sync.Mutex
	record io.Writer
	procs  []*process
}

// process is a program of the project under test.
type process struct {
	name string
	args []string
	logs *os.File
	cmd  *exec.Cmd
	done chan struct{}
	// stopped is set before the case ends the process itself.
	stopped bool
}

func newBed(record io.Writer) (*bed, error) {
	program, err := filepath.Abs("target/fescued")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	return &bed{program: program, dir: dir, store: platform.NewStore(), began: time.Now(), record: record}, nil
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f ", time.Since(b.began).Seconds())
	fmt.Fprintf(b.record, format+"\n", args...)
}

// start starts a role with the command of the deploy file and the given settings.
func (b *bed) start(name, role string, settings ...string) (*process, error) {
	path := filepath.Join(b.dir, name+".ini")
	if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, args: []string{role, "-config", path}}
	logs, err := os.Create(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p.logs = logs
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	return p, b.run(p)
}

func (b *bed) run(p *process) error {
	p.cmd = exec.Command(b.program, p.args...)
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // a machine of the platform shows one core
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	cmd, done := p.cmd, p.done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.stopped = true
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stop ends the process as the platform does.
func (p *process) stop() {
	p.stopped = true
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopLimit):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// peakMB stops a process and returns the most memory that it has used, in MiB.
func peakMB(p *process) int64 {
	p.stop()
	usage, ok := p.cmd.ProcessState.SysUsage().(*syscall.Rusage)
	if !ok {
		return 0
	}
	return usage.Maxrss >> 10
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	for _, p := range b.procs {
		if p.cmd != nil && p.cmd.Process != nil && p.running() {
			p.kill()
		}
		p.logs.Close()
	}
	b.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("kept", b.dir)
	}
}

// entrySettings are those of deploy/entry.ini for a front machine of adwenpa-steam.
func (b *bed) entrySettings(name, zone, listen, ready string, residencyPort int) []string {
	return []string{
		"id = " + name,
		"zone = " + zone,
		"listen = " + listen,
		"ready-listen = " + ready,
		"kv = " + b.store.Address(),
		fmt.Sprintf("residency-port = %d", residencyPort),
		"grace = 8s",
		"retry-ratio = 0.2",
		"retry-slack = 56",
		"memory-mb = 284",
		"max-descriptors = 4100",
		"config-limit = 2000ms",
		"drain-limit = 2000ms",
		"first-start = true",
	}
}

// sidecarSettings are those of deploy/endpoint.ini for a side machine of adwenpa-steam.
func (b *bed) sidecarSettings(name, listen, server string) []string {
	return []string{
		"id = " + name,
		"listen = " + listen,
		"kv = " + b.store.Address(),
		"server = " + server,
		"service = " + modelService,
		"memory-mb = 216",
	}
}

// route is a route of the operator's configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int    `json:"timeoutMs"`
	TargetMS    int    `json:"targetLatencyMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	GapTargetMS int    `json:"gapTargetMs"`
}

// siteRoutes are the routes of adwenpa-steam.
func siteRoutes() []route {
	return []route{
		{Name: "owner-brief", Host: siteHost, Prefix: "/brief/", Kind: "streaming", TimeoutMS: 5000, TargetMS: 1000, Priority: 1, Service: modelService, MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMS: 400},
		{Name: "guest-chat", Host: siteHost, Prefix: "/chat/", Kind: "streaming", TimeoutMS: 15000, TargetMS: 800, Service: modelService, MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMS: 400},
		{Name: "pass-sale", Host: siteHost, Prefix: "/sale/", Kind: "non_idempotent", TimeoutMS: 1000, TargetMS: 150, Priority: 2, Service: plainService, MaxAttempts: 1},
		{Name: "locker-code", Host: siteHost, Prefix: "/code/", Kind: "idempotent", TimeoutMS: 1000, TargetMS: 150, Priority: 2, Service: plainService, MaxAttempts: 2},
	}
}

// putConfig writes the operator's configuration with the limits of `fleetbench wire`.
func (b *bed) putConfig(version int, routes []route) {
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/health", "maxConnections": 370, "engine": map[string]any{
				"slots": 64, "kvCacheTokens": 251944,
				"models":    []any{map[string]any{"name": modelName, "weightsMb": 72700.0, "loadTimeS": 2.1, "adapters": 3000, "adapterSizeMb": 66.0}},
				"weightsMb": 74800.0, "maxAdapters": 9, "loadsPerS": 2.1,
			}},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 110},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // marshaling these types cannot fail
	}
	b.store.Put("op/config", string(text))
}

func listen(host string) (net.Listener, error) { return net.Listen("tcp", host+":0") }

// freeAddress returns an address with a port that is free now.
func freeAddress(host string) (string, error) {
	lis, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer lis.Close()
	return lis.Addr().String(), nil
}

// sharedPort returns a port that is free now on all hosts.
func sharedPort(hosts []string) (int, error) {
	for range 50 {
		lis, err := net.Listen("tcp", hosts[0]+":0")
		if err != nil {
			return 0, err
		}
		port := lis.Addr().(*net.TCPAddr).Port
		lis.Close()
		free := true
		for _, h := range hosts {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free on all hosts")
}

// awaitReady waits until the entry says that it is ready.
func awaitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	client := &http.Client{Timeout: time.Second}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the entry at %s did not become ready", address)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
