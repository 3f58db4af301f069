package bench

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// clockTicks is the number of clock ticks per second in /proc/PID/stat on Linux.
const clockTicks = 100

// daemon is a running fescued process.
type daemon struct {
	cmd *exec.Cmd
	log bytes.Buffer
}

// buildDir is the directory of the built program. It is empty if no benchmark built it.
var buildDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir) // at worst, temporary files remain
	}
	os.Exit(code)
}

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "fescue-bench")
	if err != nil {
		return "", err
	}
	buildDir = dir
	path := filepath.Join(dir, "fescued")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/fescued").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// startDaemon starts fescued, which is built on first use, and kills it when the
// benchmark ends.
func startDaemon(b *testing.B, args ...string) *daemon {
	b.Helper()
	path, err := buildOnce()
	if err != nil {
		b.Fatal(err)
	}
	d := &daemon{cmd: exec.Command(path, args...)}
	d.cmd.Stderr = &d.log
	if err := d.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
	})
	return d
}

// rss returns the resident memory of the process in bytes.
func (d *daemon) rss(b *testing.B) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		b.Fatalf("%v: %s", err, d.log.String())
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kib, _ := strconv.Atoi(f[1])
			return float64(kib << 10)
		}
	}
	b.Fatal("VmRSS is missing in /proc/PID/status")
	return 0
}

// cpu returns the CPU time that the process has used.
func (d *daemon) cpu(b *testing.B) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	if err != nil {
		b.Fatalf("%v: %s", err, d.log.String())
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

// traffic counts the bytes of connections, both directions together.
type traffic struct{ bytes atomic.Int64 }

type countedConn struct {
	net.Conn
	t *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.bytes.Add(int64(n))
	return n, err
}

// countedListener counts the traffic of the connections that it accepts.
type countedListener struct {
	net.Listener
	t *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, t: l.t}, nil
}

func listen(b *testing.B, t *traffic) net.Listener {
	b.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return countedListener{Listener: lis, t: t}
}

// serveHTTP serves h until the benchmark ends. It returns the address (host:port) and
// counts the traffic in t.
func serveHTTP(b *testing.B, h http.Handler, t *traffic) string {
	b.Helper()
	lis := listen(b, t)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(lis) }()
	b.Cleanup(func() { _ = srv.Close() })
	return lis.Addr().String()
}

func reviewerKey(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

var reviewerNames = []string{"alice", "bob"}

func reviewersText() string {
	var b strings.Builder
	for _, n := range reviewerNames {
		public, _ := reviewerKey(n).Public().(ed25519.PublicKey)
		fmt.Fprintf(&b, "[reviewer %q]\npublic_key = %s\n", n, base64.StdEncoding.EncodeToString(public))
	}
	return b.String()
}

// bundleText returns the text of a bundle with 20 teams and 6 base models. All adapters
// have the given current version.
func bundleText(version, adapters, currentVersion int) string {
	var b strings.Builder
	b.WriteString(reviewersText())
	fmt.Fprintf(&b, "[bundle]\nversion = %d\n[deployment]\nname = target\n", version)
	for i := range 20 {
		fmt.Fprintf(&b, "[team \"team-%d\"]\nweight = 1\n", i)
	}
	for i := range adapters {
		fmt.Fprintf(&b, "[adapter \"team-%d/adapter-%d\"]\nbase_model = model-%d\nversions = 1, 2\ncurrent = %d\n", i%20, i, i%6, currentVersion)
	}
	return b.String()
}

// fakePlatform is the fake key-value service with one accepted bundle.
type fakePlatform struct {
	kv        *kvstore.Server
	reviewers string
	root      *bundle.Root
	adapters  int
}

func startFakePlatform(b *testing.B, adapters int) *fakePlatform {
	b.Helper()
	server, err := kvstore.New("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	path := filepath.Join(b.TempDir(), "reviewers.ini")
	if err := os.WriteFile(path, []byte(reviewersText()), 0o600); err != nil {
		b.Fatal(err)
	}
	p := &fakePlatform{kv: server, reviewers: path, adapters: adapters}
	p.rollout(b)
	return p
}

// rollout rolls out the next version of the bundle, in which one adapter has changed.
func (p *fakePlatform) rollout(b *testing.B) {
	b.Helper()
	version := 1
	if p.root != nil {
		version = int(p.root.Version) + 1
	}
	text := bundleText(version, p.adapters, 1)
	text = strings.Replace(text, "current = 1", fmt.Sprintf("current = %d", 1+version%2), 1)
	reviewerSet, found := bundle.ParseReviewers("bench", reviewersText())
	if found != nil {
		b.Fatal(found)
	}
	proposal, err := bundle.Propose("bench", text, "bench", p.root)
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range reviewerNames {
		if err := proposal.Approve(n, reviewerKey(n)); err != nil {
			b.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(b.Context(), 2*time.Minute)
	defer cancel()
	if p.root, err = rollout.Rollout(ctx, etcd.New(p.kv.Addr(), etcd.Options{}), proposal, reviewerSet); err != nil {
		b.Fatal(err)
	}
}
