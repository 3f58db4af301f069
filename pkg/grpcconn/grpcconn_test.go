package grpcconn_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/grpcconn"
)

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

type countingListener struct {
	net.Listener
	writes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, writes: l.writes}, err
}

// echo answers each update with a state.
type echo struct {
	fescuev1.UnimplementedResidencyServer
}

func (echo) Sync(s grpc.BidiStreamingServer[fescuev1.DemandUpdate, fescuev1.ServerState]) error {
	for {
		if _, err := s.Recv(); err != nil {
			return err
		}
		if err := s.Send(&fescuev1.ServerState{InstanceId: "i"}); err != nil {
			return err
		}
	}
}

// Guards against connections that send a ping and its reply for each message: entries that
// are connected to many sidecars spent most of their processor time on these.
func TestOneWriteForEachMessage(t *testing.T) {
	const messages = 50
	var fromServer, fromClient atomic.Int64
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := grpc.NewServer(grpcconn.ServerOptions()...)
	fescuev1.RegisterResidencyServer(srv, echo{})
	go func() { _ = srv.Serve(countingListener{Listener: lis, writes: &fromServer}) }()
	defer srv.Stop()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{Conn: c, writes: &fromClient}, err
	}
	options := append(grpcconn.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
	conn, err := grpc.NewClient("passthrough:///"+lis.Addr().String(), options...)
	assert.NilError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	stream, err := fescuev1.NewResidencyClient(conn).Sync(ctx)
	assert.NilError(t, err)
	exchange := func() {
		assert.NilError(t, stream.Send(&fescuev1.DemandUpdate{EntryId: "e"}))
		_, err := stream.Recv()
		assert.NilError(t, err)
		time.Sleep(2 * time.Millisecond) // messages are apart, as those of an idle entry
	}
	exchange()
	clientBefore, serverBefore := fromClient.Load(), fromServer.Load()
	for range messages {
		exchange()
	}
	const most = messages + messages/10
	assert.Assert(t, fromClient.Load()-clientBefore <= most, "%d writes of the client for %d messages", fromClient.Load()-clientBefore, messages)
	assert.Assert(t, fromServer.Load()-serverBefore <= most, "%d writes of the server for %d messages", fromServer.Load()-serverBefore, messages)
}
