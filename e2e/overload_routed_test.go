//go:build overload

package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// routed is a routed entry with its deployment that a crowd attacks.
type routed struct {
	overloaded
	*routedDeployment
}

func startRouted(t *testing.T, descriptors int) *routed {
	t.Helper()
	return startRoutedWith(t, descriptors, 0)
}

// startRoutedWith starts a routed entry whose plain server sends responses of the given size.
func startRoutedWith(t *testing.T, descriptors, responseBytes int) *routed {
	t.Helper()
	d := newRoutedDeployment(t, routedOptions{descriptors: descriptors, memoryMB: overloadMemoryMB, responseBytes: responseBytes})
	r := &routed{routedDeployment: d}
	r.daemon = d.entry
	r.ports = map[int]bool{portOf(t, d.listen): true, portOf(t, d.ready): true}
	r.ask = func(ctx context.Context) error { return r.post(ctx, "/plain/x", bytes.NewReader([]byte("ordinary"))) }
	return r
}

func (r *routed) target() *target {
	head := "POST /plain/x HTTP/1.1\r\nHost: " + routedHost + "\r\nX-Fescuecourse-Request-Id: crowd\r\nX-Fescuecourse-Deadline-Ms: 15000\r\n"
	return &target{address: r.listen, head: head}
}

// Guards against a routed entry that runs out of memory or descriptors, or no longer answers
// ordinary callers, because of what other clients send or hold.
func TestOverloadRoutedEntry(t *testing.T) {
	for _, f := range append(bodyForms, connectionForms...) {
		t.Run(f.name, func(t *testing.T) {
			r := startRouted(t, f.descriptors)
			r.endure(t, &f, r.target())
		})
	}
}

// Guards against endless heads at the address of readiness checks, which counts for the memory
// of the same process.
func TestOverloadReadinessAddress(t *testing.T) {
	for _, f := range connectionForms {
		t.Run(f.name, func(t *testing.T) {
			r := startRouted(t, f.descriptors)
			r.endure(t, &f, &target{address: r.ready, head: "GET /api/ready HTTP/1.1\r\nHost: h\r\n"})
		})
	}
}

// Guards against a routed entry that ends, hangs or exceeds its memory because clients of all
// forms come at once, while its settings are read again, its store is away and it stops.
func TestOverloadMixedCrowdAtRoutedEntry(t *testing.T) {
	r := startRouted(t, 0)
	r.endureAll(t, r.target(), func() {
		r.store.SetFaults(platform.StoreFaults{FailStatus: http.StatusServiceUnavailable})
		time.Sleep(time.Second)
		r.store.SetFaults(platform.StoreFaults{})
	})
}

// Guards against responses that their clients do not read: they hold memory of the entry,
// connections to servers and, in a stop, the process.
func TestOverloadUnreadResponses(t *testing.T) {
	r := startRoutedWith(t, 0, 2*overloadBodyBytes)
	f := form{name: "unread-responses", members: 300, send: func(m *member) error {
		_ = m.announced(1)
		return m.fill(1, 0)
	}}
	r.endure(t, &f, r.target())
}

// slowReader returns its bytes in pieces with pauses between them.
type slowReader struct {
	left  int
	pause time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	n := copy(p[:min(len(p), s.left)], piece)
	s.left -= n
	return n, nil
}

// Guards against a refusal of the only request to an entry because its body arrives slowly,
// although each part of it comes in time.
func TestOverloadSlowBodyInCalm(t *testing.T) {
	r := startRouted(t, 0)
	for _, path := range []string{"/plain/x", "/stream/x"} {
		assert.Check(t, r.post(t.Context(), path, &slowReader{left: overloadBodyBytes, pause: 80 * time.Millisecond}), path)
	}
}

// Guards against an entry, or a sidecar, that keeps what clients name in their requests: adapters
// and parts of prompts that do not exist, with names as long as heads may be.
func TestOverloadUnknownNames(t *testing.T) {
	r := startRouted(t, 0)
	var number atomic.Int64
	f := form{name: "unknown-names", members: 100, send: func(m *member) error {
		responses := bufio.NewReader(m)
		for {
			n := number.Add(1)
			name := strings.Repeat("n", 6<<10) + strconv.FormatInt(n, 10)
			head := fmt.Sprintf("POST /stream/x HTTP/1.1\r\nHost: %s\r\nX-Fescuecourse-Request-Id: crowd-%d\r\nX-Fescuecourse-Deadline-Ms: 1000\r\n"+
				"X-Fescuecourse-Model: base/%s\r\nX-Fescuecourse-Token-Count: 10,10\r\nX-Fescuecourse-Prompt-Prefix: %s:5,%x:5\r\nContent-Length: 0\r\n\r\n",
				routedHost, n, name, strings.Repeat("a", 6<<10)+strconv.FormatInt(n, 16), n)
			if _, err := io.WriteString(m, head); err != nil {
				return err
			}
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
		}
	}}
	var u usage
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { u.watch(ctx, r.sidecar.cmd.Process.Pid, nil) })
	r.endure(t, &f, r.target())
	cancel()
	wg.Wait()
	t.Logf("%d requests; sidecar: at most %d MiB", number.Load(), u.memory.Load()>>20)
	assert.Check(t, u.memory.Load() <= overloadMemoryMB<<20, "sidecar: %d MiB used", u.memory.Load()>>20)
	assert.Equal(t, r.sidecar.stop(t), 0, "exit code of the sidecar")
}
