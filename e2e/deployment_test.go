package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/statuscmd"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
	fakeservice "github.com/fescuecourse/fescuecourse/standin/service"
	fakevmlist "github.com/fescuecourse/fescuecourse/standin/vmlist"
	"github.com/fescuecourse/fescuecourse/standin/weightstore"
)

const (
	teamKey = "e2e-key"
	// otherTeamKey is the key of a team without adapters.
	otherTeamKey = "other-key"
	baseModel    = "kuma-7b"
	// startLimit bounds waits for other processes and is long enough for a slow host.
	// No test asserts how long the processes take.
	startLimit = 60 * time.Second
)

// binaries builds the programs once for all tests and returns their directory.
var binaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "fescue-e2e")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "github.com/fescuecourse/fescuecourse/cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := binaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// deployment is a set of fescued processes that use fake external systems.
type deployment struct {
	t             *testing.T
	dir           string
	kv            *kvstore.Server
	vms           *fakevmlist.Server
	vmListAddress string
	engines       []*fakeengine.Server
	service       *fakeservice.Server
	entries       []*daemon
	endpoints     []*daemon
	// metricsAddress is the metrics address of the endpoint started last.
	metricsAddress string
}

// daemon is a fescued process.
type daemon struct {
	cmd     *exec.Cmd
	address string
	log     *lockedBuffer
	exited  chan struct{}
}

// lockedBuffer holds the log of a process. It is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Ports of processes are below those that the kernel gives to outgoing connections, one of
// which could otherwise take a port between its choice and the start of the process.
const (
	firstPort = 20000
	portCount = 10000
)

// nextPort begins at another port in each process of the tests.
var nextPort = func() *atomic.Int64 {
	n := &atomic.Int64{}
	n.Store(int64(os.Getpid()) * 31)
	return n
}()

func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		assert.NilError(t, lis.Close())
		return address
	}
	t.Fatal("no free port")
	return ""
}

// newSystems starts the fake systems that all processes share, and rolls out a bundle with
// fescuectl.
func newSystems(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), vms: fakevmlist.New()}
	kv, err := kvstore.New("127.0.0.1:0")
	assert.NilError(t, err)
	d.kv = kv
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- kv.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-stopped })
	d.vmListAddress = d.serve(d.vms.Handler())
	d.rollout("")
	return d
}

// newDeployment starts the fake systems, two model endpoints, one service endpoint and two
// entries.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newSystems(t)
	weights := weightstore.New(100, nil)
	for i := range 2 {
		e := fakeengine.New(fakeengine.Options{
			BaseModel: baseModel, Slots: 2, Positions: 8, Weights: weights,
			Timing: fakeengine.Timing{Prefill: time.Millisecond, Decode: 5 * time.Millisecond},
		})
		d.engines = append(d.engines, e)
		d.startEndpoint(fmt.Sprintf("model-%d", i+1), "model", baseModel, d.serve(e.Handler()))
	}
	d.service = fakeservice.New(time.Millisecond, nil)
	d.startEndpoint("desk-1", "service", "desk", d.serve(d.service.Handler()))
	for i := range 2 {
		d.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	d.awaitStatus()
	return d
}

// awaitStatus waits until both entries report all endpoints as ready and the status
// command finds no problem, such as nodes with different bundles.
func (d *deployment) awaitStatus() {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		var out, problems strings.Builder
		args := []string{"-entry", d.entries[0].address + "," + d.entries[1].address}
		if statuscmd.Run(d.t.Context(), args, &out, &problems) != 0 || strings.Count(out.String(), " ready ") < 2*(len(d.endpoints)+1) {
			return poll.Continue("status: %s%s", out.String(), problems.String())
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit))
}

func (d *deployment) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	d.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// start starts fescued with a settings file.
func (d *deployment) start(role, id, listen string, settings ...string) *daemon {
	d.t.Helper()
	path := filepath.Join(d.dir, id+".ini")
	lines := append([]string{
		"id = " + id, "zone = a", "listen = " + listen,
		"kv = " + d.kv.Addr(), "reviewers = " + d.file("reviewers.ini"), "drain-timeout = 15m",
	}, settings...)
	assert.NilError(d.t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	p := &daemon{cmd: exec.Command(filepath.Join(d.bin(), "fescued"), role, "-config", path), address: listen, log: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	assert.NilError(d.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // tests read the exit code from ProcessState
		close(p.exited)
	}()
	d.t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // the process may have exited already
		<-p.exited
		if d.t.Failed() {
			d.t.Logf("%s:\n%s", id, p.log.String())
		}
	})
	return p
}

func (d *deployment) startEndpoint(id, kind, backend, address string) {
	d.t.Helper()
	d.metricsAddress = freeAddress(d.t)
	p := d.start("endpoint", id, freeAddress(d.t), "kind = "+kind, "backend = "+backend, "backend-address = "+address, "lease-ttl = 5s", "metrics-listen = "+d.metricsAddress)
	d.endpoints = append(d.endpoints, p)
	d.vms.Put(vmlist.VM{Endpoint: ident.EndpointID(id), Zone: "a", Address: p.address, State: vmlist.StateLive})
}

func (d *deployment) startEntry(id string) {
	d.t.Helper()
	p := d.start("entry", id, freeAddress(d.t), "vm-list = "+d.vmListAddress, "unready-delay = 200ms")
	d.entries = append(d.entries, p)
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + p.address + "/readyz")
		if err != nil {
			return poll.Continue("entry does not listen")
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("entry is not ready")
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit))
}

// stop sends SIGTERM, waits for the exit and returns the exit code.
func (p *daemon) stop(t *testing.T) int {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.exited:
	case <-time.After(startLimit):
		t.Fatal("process does not exit after SIGTERM")
	}
	return p.cmd.ProcessState.ExitCode()
}

func (d *deployment) bin() string {
	d.t.Helper()
	dir, err := binaries()
	assert.NilError(d.t, err)
	return dir
}

func (d *deployment) file(name string) string { return filepath.Join(d.dir, name) }

// fescuectl runs fescuectl and returns its standard output.
func (d *deployment) fescuectl(args ...string) string {
	d.t.Helper()
	cmd := exec.Command(filepath.Join(d.bin(), "fescuectl"), args...)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	assert.NilError(d.t, err, "fescuectl %v: %s%s", args, out, stderr.String())
	return string(out)
}

// rollout validates, proposes, approves twice and rolls out a bundle, with extra
// appended to its text. The version is 1 if extra is empty, otherwise 2.
func (d *deployment) rollout(extra string) {
	d.t.Helper()
	reviewers := d.file("reviewers.ini")
	if _, err := os.Stat(reviewers); err != nil {
		text := d.fescuectl("bundle", "keygen", "alice", d.file("alice.key")) + "\n" + d.fescuectl("bundle", "keygen", "bob", d.file("bob.key"))
		assert.NilError(d.t, os.WriteFile(reviewers, []byte(text), 0o600))
	}
	reviewersText, err := os.ReadFile(reviewers)
	assert.NilError(d.t, err)
	version := 1
	if extra != "" {
		version = 2
	}
	bundle, proposal := d.file("bundle.ini"), d.file(fmt.Sprintf("proposal-%d.json", version))
	assert.NilError(d.t, os.WriteFile(bundle, []byte(bundleText(version)+string(reviewersText)+extra), 0o600))
	d.fescuectl("bundle", "validate", bundle)
	d.fescuectl("bundle", "propose", "-kv", d.kv.Addr(), "-operator", "carol", bundle, proposal)
	d.fescuectl("bundle", "approve", "-reviewer", "alice", "-key", d.file("alice.key"), proposal)
	d.fescuectl("bundle", "approve", "-reviewer", "bob", "-key", d.file("bob.key"), proposal)
	d.fescuectl("bundle", "rollout", "-kv", d.kv.Addr(), "-reviewers", reviewers, proposal)
}

func bundleText(version int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[bundle]\nversion = %d\n\n[deployment]\nname = e2e\n\n", version)
	for _, team := range []struct{ name, key string }{{"tokachi", teamKey}, {"other", otherTeamKey}} {
		sum := sha256.Sum256([]byte(team.key))
		fmt.Fprintf(&b, "[team %q]\nkey_sha256 = %s\n\n", team.name, hex.EncodeToString(sum[:]))
	}
	for i := range 6 {
		fmt.Fprintf(&b, "[adapter \"tokachi/a%d\"]\nbase_model = %s\nversions = 1\ncurrent = 1\n\n", i, baseModel)
	}
	b.WriteString("[service \"desk\"]\n\n")
	return b.String()
}

// client returns an OpenAI client for the entry with this index.
func (d *deployment) client(entry int) *openai.Client {
	c := openai.NewClient(option.WithBaseURL("http://"+d.entries[entry].address+"/v1"), option.WithAPIKey(teamKey), option.WithMaxRetries(0))
	return &c
}
