package endpoint

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

// countedConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// controlSource sends one message for each message it receives.
type replyServer struct {
	fescuev1.UnimplementedEndpointServer
	next *fescuev1.ControlResponse
}

func (s *replyServer) Control(stream grpc.BidiStreamingServer[fescuev1.ControlRequest, fescuev1.ControlResponse]) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return nil
		}
		if err := stream.Send(s.next); err != nil {
			return nil
		}
	}
}

func benchEndpoint() *Endpoint {
	set := Settings{ID: "endpoint-0042", Zone: "zone-1", Kind: KindModel, Backend: "kuma-7b", MaxQueued: 256}
	e := New(set, &rollout.Holder{}, StaticAuthority{}, logging.Nop())
	s := *e.control.snapshot.Load()
	s.limits = scheduler.Config{Positions: 32, Slots: 8}
	s.stats.Running, s.stats.Queued = 21, 3
	for i := range 8 {
		s.stats.Residents = append(s.stats.Residents, ident.Adapter{Team: ident.Team(fmt.Sprintf("team-%d", i)), Name: fmt.Sprintf("adapter-%d", 9000+i), Version: "3"})
	}
	e.control.snapshot.Store(&s)
	return e
}

// benchMessages are the messages of a control stream by name.
func benchMessages() map[string]*fescuev1.ControlResponse {
	full := benchEndpoint().report()
	full.BundleVersion, full.ClockMs, full.ConnectedEntries = 6100, 86_400_000, 26
	load := proto.CloneOf(full)
	load.PositionsUsed++
	moved := proto.CloneOf(load)
	moved.Residents[3] = "team-3/adapter-77@1"
	report := func(r *fescuev1.Report) *fescuev1.ControlResponse {
		return &fescuev1.ControlResponse{Body: &fescuev1.ControlResponse_Report{Report: r}}
	}
	return map[string]*fescuev1.ControlResponse{
		"full":      report(full),
		"load":      report(delta(full, load)),
		"residents": report(delta(full, moved)),
		"heartbeat": report(delta(full, full)),
		"permit-request": {Body: &fescuev1.ControlResponse_PermitRequest{PermitRequest: &fescuev1.PermitRequest{
			Adapter: "team-3/adapter-77@1", Team: "team-3", WaitingRequests: 3, WaitedMs: 120, Priority: 2, WeightStore: "doto"}}},
		"permit-release": {Body: &fescuev1.ControlResponse_PermitRelease{PermitRelease: &fescuev1.PermitRelease{Adapter: "team-3/adapter-77@1", Loaded: true}}},
	}
}

// BenchmarkControlMessage measures a message of a control stream over loopback,
// caused by a permit grant in the other direction: its protobuf size and the
// bytes of both messages on the wire, acknowledgements of gRPC included.
func BenchmarkControlMessage(b *testing.B) {
	for name, m := range benchMessages() {
		b.Run(name, func(b *testing.B) { benchMessage(b, m) })
	}
}

func benchMessage(b *testing.B, m *fescuev1.ControlResponse) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := grpc.NewServer()
	fescuev1.RegisterEndpointServer(srv, &replyServer{next: m})
	go func() { _ = srv.Serve(lis) }()
	defer srv.Stop()
	var n atomic.Int64
	dial := func(ctx context.Context, a string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a)
		return countingConn{Conn: c, n: &n}, err
	}
	conn, err := grpc.NewClient("passthrough:///"+lis.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	stream, err := fescuev1.NewEndpointClient(conn).Control(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	grant := &fescuev1.ControlRequest{Body: &fescuev1.ControlRequest_PermitGrant{PermitGrant: &fescuev1.PermitGrant{Adapter: "team-3/adapter-77@1", ValidMs: 10000}}}
	exchange := func() {
		if err := stream.Send(grant); err != nil {
			b.Fatal(err)
		}
		if _, err := stream.Recv(); err != nil {
			b.Fatal(err)
		}
	}
	exchange()
	n.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		exchange()
	}
	b.ReportMetric(float64(proto.Size(m)), "proto_bytes/op")
	b.ReportMetric(float64(proto.Size(grant)), "grant_proto_bytes/op")
	b.ReportMetric(float64(n.Load())/float64(b.N), "wire_bytes/op")
}

// BenchmarkReportBuilt measures a look of one control stream at the state.
func BenchmarkReportBuilt(b *testing.B) {
	e := benchEndpoint()
	last := e.report()
	b.ReportAllocs()
	for b.Loop() {
		next := e.report()
		if reportDue(last, next, 0) {
			b.Fatal("report without a change")
		}
		delta(last, next)
	}
}
