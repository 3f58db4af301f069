package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
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

// operatorCatalog is the part of plainCatalog that sidecars use.
type operatorCatalog struct{ plainCatalog }

func (operatorCatalog) OperatorPrefix() string { return "config" }

// startSidecar runs a sidecar and returns its port.
func startSidecar(t *testing.T) int {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := lis.Addr().String()
	assert.NilError(t, lis.Close())
	s := sidecar.New(sidecar.Settings{ID: "side", Listen: address}, kvstore.NewMemory(time.Now), operatorCatalog{}, silentServer{}, logging.Nop())
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
