//go:build overload

package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
	fakeservice "github.com/fescuecourse/fescuecourse/standin/service"
)

// bundled is an entry that is configured by bundles, with one endpoint of a service.
type bundled struct {
	overloaded
	*deployment
	listen   string
	endpoint *overloaded
}

// newBundled starts the fake systems and an endpoint before a service that takes the given time
// for each request, and runs one at a time.
func newBundled(t *testing.T, serviceTime time.Duration) *bundled {
	t.Helper()
	d := newSystems(t)
	d.service = fakeservice.New(serviceTime, nil)
	address, metrics := freeAddress(t), freeAddress(t)
	b := &bundled{deployment: d, endpoint: &overloaded{ports: map[int]bool{portOf(t, address): true, portOf(t, metrics): true}}}
	b.endpoint.daemon = startLimited(t, 0, "endpoint", "desk-1", "zone = a", "listen = "+address, "kv = "+d.kv.Addr(), "reviewers = "+d.file("reviewers.ini"),
		"kind = service", "backend = desk", "backend-address = "+d.serve(d.service.Handler()), "drain-timeout = 15m", "lease-ttl = 5s", "metrics-listen = "+metrics, "positions = 2", fmt.Sprintf("memory-mb = %d", overloadMemoryMB), "body-memory-mb = 16")
	b.metricsAddress = metrics
	d.vms.Put(vmlist.VM{Endpoint: ident.EndpointID("desk-1"), Zone: "a", Address: address, State: vmlist.StateLive})
	return b
}

// startBundled starts an entry with an endpoint of a fast service.
func startBundled(t *testing.T, descriptors int) *bundled {
	t.Helper()
	b := newBundled(t, time.Millisecond)
	b.listen = freeAddress(t)
	b.daemon = b.entry(descriptors, "entry-1", b.listen)
	b.ports = map[int]bool{portOf(t, b.listen): true}
	b.ask = func(ctx context.Context) error {
		return b.call(ctx, b.listen, otherTeamKey, strings.NewReader("ordinary"))
	}
	return b
}

// entry starts an entry and waits until it is ready.
func (b *bundled) entry(descriptors int, id, listen string) *daemon {
	b.t.Helper()
	p := startLimited(b.t, descriptors, "entry", id, "zone = a", "listen = "+listen, "kv = "+b.kv.Addr(), "reviewers = "+b.file("reviewers.ini"),
		"vm-list = "+b.vmListAddress, "unready-delay = 200ms", "drain-timeout = 15m", fmt.Sprintf("memory-mb = %d", overloadMemoryMB), "body-memory-mb = 16", "max-body-bytes = "+strconv.Itoa(overloadBodyBytes))
	p.address = listen
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + listen + "/readyz")
		if err != nil {
			return poll.Continue("entry does not listen")
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("entry is not ready")
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit))
	return p
}

// call sends a request of the team with the key to the service, on a new connection, and returns an
// error unless it is answered. Ordinary callers are of another team than the crowd, whose team may
// be over its limits.
func (b *bundled) call(ctx context.Context, entry, key string, body io.Reader) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/services/desk/x", body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Fescue-Idempotent", "true")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.Header.Get("Fescue-Outcome") != "answered" {
		return fmt.Errorf("status %d, %q, %w", resp.StatusCode, text, err)
	}
	return nil
}

func (b *bundled) target() *target {
	head := "POST /v1/services/desk/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + teamKey + "\r\nFescue-Deadline-Ms: 15000\r\n"
	return &target{address: b.listen, head: head}
}

// Guards against an entry of bundles that runs out of memory or descriptors, or no longer
// answers ordinary callers, because of what other clients send or hold.
func TestOverloadBundleEntry(t *testing.T) {
	for _, f := range append(bodyForms, connectionForms...) {
		t.Run(f.name, func(t *testing.T) {
			b := startBundled(t, f.descriptors)
			b.endure(t, &f, b.target())
		})
	}
}

// Guards against an entry of bundles that ends, hangs or exceeds its memory because clients of all
// forms come at once, while its settings are read again and it stops.
func TestOverloadMixedCrowdAtBundleEntry(t *testing.T) {
	b := startBundled(t, 0)
	b.endureAll(t, b.target(), func() { time.Sleep(time.Second) })
}

// Guards against bodies that hold memory of an entry for as long as their callers like, so that
// ordinary large requests are refused. The crowd stays connected while the ordinary one is sent.
func TestOverloadEndlessBodies(t *testing.T) {
	b := startBundled(t, 0)
	f := form{name: "slow", members: 100, send: func(m *member) error {
		_ = m.announced(overloadBodyBytes)
		return m.fill(overloadBodyBytes-1, 0)
	}}
	b.ask = func(ctx context.Context) error {
		return b.call(ctx, b.listen, otherTeamKey, bytes.NewReader(bytes.Repeat(piece, overloadBodyBytes/pieceBytes)))
	}
	b.endure(t, &f, b.target())
}

// Guards against an endpoint that runs out of memory because the requests of a crowd wait there,
// with their bodies, for a service that is busy. Each request is within the limits.
func TestOverloadEndpoint(t *testing.T) {
	b := newBundled(t, 2*time.Second)
	b.listen = freeAddress(t)
	entries := []*daemon{b.entry(0, "entry-1", b.listen)}
	for i := range 7 {
		entries = append(entries, b.entry(0, fmt.Sprintf("entry-%d", i+2), freeAddress(t)))
	}
	var u usage
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { u.watch(ctx, b.endpoint.cmd.Process.Pid, b.endpoint.ports) })
	body := bytes.Repeat(piece, overloadBodyBytes/pieceBytes)
	var crowd sync.WaitGroup
	for i := range 160 {
		crowd.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 4*writeLimit)
			defer cancel()
			_ = b.call(ctx, entries[i%len(entries)].address, teamKey, bytes.NewReader(body)) // most are refused or wait too long
		})
	}
	time.Sleep(watchTime)
	b.endpoint.ask = func(ctx context.Context) error {
		return b.call(ctx, b.listen, otherTeamKey, strings.NewReader("ordinary"))
	}
	crowd.Wait()
	b.endpoint.awaitAnswer(t)
	cancel()
	wg.Wait()
	t.Logf("at most %d MiB, %d resident and %d unread", u.memory.Load()>>20, u.resident.Load()>>20, u.unread.Load()>>20)
	assert.Check(t, u.memory.Load() <= overloadMemoryMB<<20, "%d MiB used", u.memory.Load()>>20)
	assert.Equal(t, b.endpoint.stop(t), 0, "exit code")
}
