package gateway

import (
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/standin/fault"
)

// Guards against losing the versions of the weights between a sidecar and an entry, or
// taking one from a sidecar that reports none. Cached parts would then fit everywhere or
// nowhere.
func TestStatusHasTheVersionsOfTheWeights(t *testing.T) {
	m := &fescuev1.ServerState{Models: []string{"m", "n"}, ModelVersions: []uint32{3, 1}}
	assert.DeepEqual(t, status(time.Now(), m).Models, map[string]int{"m": 3, "n": 1})
	m.ModelVersions = nil
	assert.DeepEqual(t, status(time.Now(), m).Models, map[string]int{"m": 0, "n": 0})
}

// reportingServer is a sidecar that reports one state on each stream.
type reportingServer struct {
	discardServer
	instance string
	opened   chan time.Time
}

func (s *reportingServer) Sync(stream grpc.BidiStreamingServer[fescuev1.DemandUpdate, fescuev1.ServerState]) error {
	s.opened <- time.Now()
	if err := stream.Send(&fescuev1.ServerState{InstanceId: s.instance}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// Guards against a pause before a broken stream to a sidecar is opened again: an entry that
// is killed in it loses the origins of all streams that it has begun there (soak test, seed
// 255: an entry that had been suspended for longer than linkTimeout).
func TestBrokenLinkIsOpenedAgainAtOnce(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	lis := &trackingListener{Listener: inner}
	w := newTestGateway(t, streamRoute)
	e := w.serveVersion("v1", eventAfter("v1"))
	sidecar := &reportingServer{instance: string(e.ID), opened: make(chan time.Time, 10)}
	srv := grpc.NewServer()
	fescuev1.RegisterResidencyServer(srv, sidecar)
	go func() { _ = srv.Serve(lis) }() // ends with Stop
	t.Cleanup(srv.Stop)
	w.runLink(e, inner.Addr().String())
	first := <-sidecar.opened
	time.Sleep(2 * linkBackoff)
	reset := time.Now()
	assert.Assert(t, lis.reset() > 0)
	second := <-sidecar.opened
	assert.Assert(t, second.After(first))
	assert.Assert(t, second.Sub(reset) < linkBackoff, "opened after %v", second.Sub(reset))
}

// heartbeatServer is a sidecar that reports its state at each heartbeat.
type heartbeatServer struct {
	discardServer
	instance string
	opened   chan time.Time
}

func (s *heartbeatServer) Sync(stream grpc.BidiStreamingServer[fescuev1.DemandUpdate, fescuev1.ServerState]) error {
	s.opened <- time.Now()
	for stream.Send(&fescuev1.ServerState{InstanceId: s.instance}) == nil {
		time.Sleep(linkTimeout / 4)
	}
	return nil
}

// Guards against a connection to a sidecar that falls silent for good, without a reset, and
// keeps the entry from the state of a server that new connections would reach: in both
// directions, and in the direction to the entry only.
func TestSilentLinkIsReplaced(t *testing.T) {
	for name, silence := range map[string]func(*fault.Relay) int{
		"both directions": (*fault.Relay).Blackhole,
		"to the entry":    (*fault.Relay).BlackholeResponses,
	} {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			w := newTestGateway(t, streamRoute)
			e := w.serveVersion("v1", eventAfter("v1"))
			sidecar := &heartbeatServer{instance: string(e.ID), opened: make(chan time.Time, 10)}
			srv := grpc.NewServer()
			fescuev1.RegisterResidencyServer(srv, sidecar)
			go func() { _ = srv.Serve(lis) }() // ends with Stop
			t.Cleanup(srv.Stop)
			relay, err := fault.NewRelay(lis.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { assert.NilError(t, relay.Close()) })
			w.runLink(e, relay.Addr())
			<-sidecar.opened
			time.Sleep(linkTimeout) // reports keep a sound stream open
			assert.Equal(t, len(sidecar.opened), 0)
			silent := time.Now()
			assert.Assert(t, silence(relay) > 0)
			second := <-sidecar.opened
			assert.Assert(t, second.Sub(silent) < 2*linkTimeout, "replaced after %v", second.Sub(silent))
		})
	}
}
