package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
	"github.com/fescuecourse/fescuecourse/pkg/sidecar"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// silentServer is a model server that does not answer its sidecar.
type silentServer struct{}

var errSilent = errors.New("silent")

func (silentServer) Report(context.Context) (residency.Report, error) {
	return residency.Report{}, errSilent
}
func (silentServer) Order(context.Context, fleet.ID, residency.Order) error { return errSilent }
func (silentServer) Instance(context.Context, string) (fleet.ID, error)     { return "", errSilent }

// startSidecar runs a sidecar and returns its port.
func startSidecar(t *testing.T) int {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := lis.Addr().String()
	assert.NilError(t, lis.Close())
	s := sidecar.New(sidecar.Settings{ID: "side", Listen: address}, kvstore.NewMemory(time.Now), plainCatalog{}, silentServer{}, logging.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	_, port, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	n, err := strconv.Atoi(port)
	assert.NilError(t, err)
	return n
}

// Guards against origins that do not survive their way from one entry over a sidecar to
// another entry.
func TestOriginPassesThroughASidecar(t *testing.T) {
	port := startSidecar(t)
	var entries []*testGateway
	for range 2 {
		w := newTestGateway(t, streamRoute)
		w.gateway.control.set.ResidencyPort = port
		w.gateway.control.ctx = t.Context()
		w.gateway.control.openLink(w.serveVersion("v1", eventAfter("v1")))
		t.Cleanup(func() {
			for _, l := range w.gateway.control.links {
				l.cancel()
			}
		})
		w.serveVersion("v2", eventAfter("v2"))
		entries = append(entries, w)
	}
	for _, e := range entries[0].gateway.control.snapshot.Load().Services[modelService] {
		if e.SoftwareVersion == "v2" {
			e.Runtime.RecordFailure(time.Now())
		}
	}
	assert.Equal(t, entries[0].do(http.MethodPost, "/s/x", forAdapter).body, "id: 1\ndata: v1\n\n")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp := entries[1].do(http.MethodPost, "/s/x", resumption)
		if resp.status == http.StatusOK && resp.body == "id: 2\ndata: v1\n\n" {
			return poll.Success()
		}
		return poll.Continue("%d %s", resp.status, resp.body)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

// trackingListener keeps the connections that it has accepted.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, err //nolint:wrapcheck // passed through
}

// reset closes all connections and returns their number.
func (l *trackingListener) reset() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close() // may be closed already
	}
	return len(l.conns)
}

// answeringServer is a sidecar that has seen no stream.
type answeringServer struct{ discardServer }

func (answeringServer) FindOrigin(context.Context, *fescuev1.FindOriginRequest) (*fescuev1.FindOriginResponse, error) {
	return &fescuev1.FindOriginResponse{SoftwareKnown: origin.EncodePeriod(time.Now(), lastMinute(time.Now()))}, nil
}

// runLink runs a link to the sidecar of a server at the given address until the test ends.
func (w *testGateway) runLink(e *fleet.Endpoint, target string) {
	ctx, cancel := context.WithCancel(w.t.Context())
	l := &link{endpoint: e, target: target, demand: newDemand(), prefixes: w.gateway.prefixes, origins: newOriginLink(), software: &w.gateway.control.software, softwareKnown: nothingKnown, relay: w.gateway.control.relay, reloads: &w.gateway.control.reloads, log: logging.Nop()}
	l.loads.total = w.gateway.control.serviceLoads(modelService)
	w.gateway.control.originLinks.Store(e.Runtime, l.origins)
	done := make(chan struct{})
	go func() {
		l.run(ctx)
		close(done)
	}()
	w.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against refusing streams whose connection broke together with the entry's
// connections to the holders, in the pause before these are opened again. Found with
// deploy/days/resumed-streams.toml, --seed 1 to 3, when connections are reset.
func TestHoldersAnswerAfterAReset(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	lis := &trackingListener{Listener: inner}
	srv := grpc.NewServer()
	fescuev1.RegisterResidencyServer(srv, answeringServer{})
	go func() { _ = srv.Serve(lis) }() // ends with Stop
	t.Cleanup(srv.Stop)
	w := newTestGateway(t, streamRoute)
	e := w.serveVersion("v1", eventAfter("v1"))
	w.runLink(e, inner.Addr().String())
	assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).status, http.StatusOK)
	for range 5 {
		assert.Assert(t, lis.reset() > 0)
		time.Sleep(linkBackoff / 10) // the link has noticed, and pauses
		assert.Equal(t, w.do(http.MethodPost, "/s/x", resumption).status, http.StatusOK)
		time.Sleep(2 * linkBackoff)
	}
}
