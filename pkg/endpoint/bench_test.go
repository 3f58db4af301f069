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

// countingConn counts the bytes read from and written to a connection.
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

// replyServer is an Endpoint server that sends the message next for each message
// it receives on a control stream.
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

// benchMessages returns one example of each kind of message that an endpoint sends
// on a control stream, by name.
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

// BenchmarkControlMessage measures one exchange on a control stream over loopback:
// the entry sends a permit grant and the endpoint replies with the message under
// test. It reports the protobuf size of both messages and the bytes of the exchange
// on the wire in both directions, including the acknowledgements of gRPC.
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

// BenchmarkReportBuilt measures what a control stream does each time it wakes up:
// build a report, decide whether to send it and compute the changed fields.
func BenchmarkReportBuilt(b *testing.B) {
	e := benchEndpoint()
	last := e.report()
	b.ReportAllocs()
	for b.Loop() {
		next := e.report()
		if reportDue(last, next, 0) {
			b.Fatal("a report is due although nothing has changed")
		}
		delta(last, next)
	}
}
