package gateway

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
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
	// benchPause is the time between two streams, about that of an entry of the target
	// size.
	benchPause = time.Second / 39
	// sidecarEnv has the address at which BenchmarkSidecarEnd listens.
	sidecarEnv = "FESCUE_BENCH_SIDECAR"
)

// BenchmarkSidecarEnd is the process in which BenchmarkOriginMessages runs the receiving
// end. It does nothing if it is run directly.
func BenchmarkSidecarEnd(b *testing.B) {
	address := os.Getenv(sidecarEnv)
	if address == "" {
		return
	}
	lis, err := net.Listen("unix", address)
	assert.NilError(b, err)
	srv := grpc.NewServer()
	fescuev1.RegisterResidencyServer(srv, discardServer{})
	_ = srv.Serve(lis) // ends with the process
}

// startSidecarEnd starts the receiving end and returns its process and its address.
func startSidecarEnd(b *testing.B) (*exec.Cmd, string) {
	b.Helper()
	address := filepath.Join(b.TempDir(), "s")
	cmd := exec.CommandContext(b.Context(), os.Args[0], "-test.run", "^$", "-test.bench", "^BenchmarkSidecarEnd$", "-test.benchtime", "1x")
	cmd.Env = append(os.Environ(), sidecarEnv+"="+address)
	assert.NilError(b, cmd.Start())
	for range 500 {
		if _, err := os.Stat(address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return cmd, "unix://" + address
}

// countingStream counts the updates that are sent.
type countingStream struct {
	grpc.BidiStreamingClient[fescuev1.DemandUpdate, fescuev1.ServerState]
	sent *atomic.Int64
}

func (s countingStream) Send(m *fescuev1.DemandUpdate) error {
	s.sent.Add(1)
	return s.BidiStreamingClient.Send(m) //nolint:wrapcheck // passed through
}

// BenchmarkOriginMessages measures the processor time of the updates of the demand at both
// ends, without streams and with origins at the rate of an entry of the target size. The
// difference is the cost of one origin.
func BenchmarkOriginMessages(b *testing.B) {
	b.Run("streams=0", func(b *testing.B) { measureUpdates(b, false) })
	b.Run("streams=39", func(b *testing.B) { measureUpdates(b, true) })
}

func measureUpdates(b *testing.B, streams bool) {
	b.Helper()
	if b.N == 1 {
		return // the first round of any benchmark; its start would count
	}
	sidecar, address := startSidecarEnd(b)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var sent atomic.Int64
	links := make([]*originLink, benchLinks)
	for i := range links {
		conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		assert.NilError(b, err)
		defer conn.Close()
		stream, err := fescuev1.NewResidencyClient(conn).Sync(ctx)
		assert.NilError(b, err)
		l := &link{endpoint: &fleet.Endpoint{Runtime: fleet.NewRuntime()}, demand: newDemand(), origins: newOriginLink(), software: &atomic.Pointer[softwareList]{}, softwareKnown: nothingKnown, reloads: noReloads(), log: logging.Nop()}
		l.loads.total = &atomic.Int64{}
		links[i] = l.origins
		go l.send(ctx, cancel, countingStream{BidiStreamingClient: stream, sent: &sent})
	}
	sent.Store(0)
	before := processorTime(b)
	for i := range b.N {
		for n := 0; streams && n < 3; n++ {
			links[(i+n)%benchLinks].add(origin.Record{Stream: origin.StreamID(i), Origin: origin.Origin{Service: "pool", SoftwareVersion: "v1.2"}, At: time.Now()}, n == 0)
		}
		time.Sleep(benchPause)
	}
	own, messages := processorTime(b)-before, float64(sent.Load())
	assert.NilError(b, sidecar.Process.Kill())
	_ = sidecar.Wait() // reports that it was killed
	other := sidecar.ProcessState.UserTime() + sidecar.ProcessState.SystemTime()
	b.ReportMetric(messages/float64(b.N), "messages/op")
	b.ReportMetric(float64(own.Microseconds())/float64(b.N), "entry-us/op")
	b.ReportMetric(float64(other.Microseconds())/float64(b.N), "sidecar-us/op")
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

// nothingKnown is the period of which an entry that has just started knows the software
// versions.
func nothingKnown() origin.Period { return origin.Period{} }
