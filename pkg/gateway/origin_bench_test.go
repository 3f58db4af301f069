package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// discardServer reads updates and sends nothing.
type discardServer struct {
	fescuev1.UnimplementedResidencyServer
}

func (discardServer) Sync(stream grpc.BidiStreamingServer[fescuev1.DemandUpdate, fescuev1.ServerState]) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err //nolint:wrapcheck // a status of the stream
		}
	}
}

const (
	// benchLinks is the number of connections over which the messages are spread.
	benchLinks = 100
	// benchPause is the time between two messages, about that of an entry of the target
	// size.
	benchPause = time.Second / 118
)

// BenchmarkOriginMessages measures the processor time of an origin that is sent to a
// sidecar, at the rate of an entry of the target size, sending and receiving together.
func BenchmarkOriginMessages(b *testing.B) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	srv := grpc.NewServer()
	fescuev1.RegisterResidencyServer(srv, discardServer{})
	go func() { _ = srv.Serve(lis) }() // ends with Stop
	defer srv.Stop()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	links := make([]*originLink, benchLinks)
	for i := range links {
		conn, err := grpc.NewClient("passthrough:///"+lis.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		assert.NilError(b, err)
		defer conn.Close()
		stream, err := fescuev1.NewResidencyClient(conn).Sync(ctx)
		assert.NilError(b, err)
		l := &link{endpoint: &fleet.Endpoint{Runtime: fleet.NewRuntime()}, demand: newDemand(), origins: newOriginLink(), software: &atomic.Pointer[softwareList]{}, reloads: noReloads(), log: logging.Nop()}
		links[i] = l.origins
		go l.sendOrigins(ctx, stream, 0, nil)
	}
	before := processorTime(b)
	for i := range b.N {
		links[i%benchLinks].add(origin.Record{Stream: origin.StreamID(i), Origin: origin.Origin{Service: "pool", SoftwareVersion: "v1.2"}, At: time.Now()})
		time.Sleep(benchPause)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func noReloads() *atomic.Pointer[reloads] {
	p := &atomic.Pointer[reloads]{}
	p.Store(&reloads{})
	return p
}
