package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// link is the connection to one endpoint.
type link struct {
	c       *connector
	id      ident.EndpointID
	entry   ident.EntryID
	address string
	stop    context.CancelFunc
	grants  chan *fescuev1.PermitGrant
	// connected is true while the endpoint reports on the control stream.
	connected atomic.Bool
	// doubtful is true while a run waits for a heartbeat that is overdue.
	doubtful atomic.Bool

	mu   sync.Mutex
	conn *sharedConn
}

// sharedConn is a connection with the number of its users. The mutex of the
// link guards it. A retired connection is closed by its last user, so that
// calls that still make progress on it are not cut off.
type sharedConn struct {
	*grpc.ClientConn
	users   int
	retired bool
	// endControl ends the control stream on this connection, if there is one.
	// heard is the time of its last report.
	endControl context.CancelFunc
	heard      time.Time
}

func newConn(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}))
	return conn, errors.Wrap(err, "create connection")
}

// acquire returns the shared connection. The caller releases it.
func (l *link) acquire() *sharedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.users++
	return l.conn
}

func (l *link) release(c *sharedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.users--
	c.closeIfUnused()
}

func (c *sharedConn) closeIfUnused() {
	if c.retired && c.users == 0 {
		c.Close()
	}
}

// replace puts a new connection in place of one that has gone silent, unless
// another call has done so already.
func (l *link) replace(used *sharedConn) error {
	conn, err := newConn(l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != used {
		conn.Close()
		return nil
	}
	l.conn = &sharedConn{ClientConn: conn}
	l.retire(used)
	return nil
}

// abandonControl ends the control stream on a connection that has gone silent
// for a run, unless reports have arrived on it since. The endpoint is then no
// candidate until it reports again.
func (l *link) abandonControl(used *sharedConn, silence time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if used.endControl != nil && time.Since(used.heard) >= silence {
		used.endControl()
	}
}

// controlled notes the control stream of a connection.
func (l *link) controlled(c *sharedConn, end context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.endControl = end
	c.heard = time.Now()
}

// hear notes a report.
func (l *link) hear(c *sharedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.heard = time.Now()
}

// retire closes a connection once nobody uses it. The caller holds the mutex.
func (l *link) retire(c *sharedConn) {
	if c != nil {
		c.retired = true
		c.closeIfUnused()
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retire(l.conn)
}

// freshClient returns a client on a new connection, because the shared one may
// have gone silent.
func (l *link) freshClient() (fescuev1.EndpointClient, func(), error) {
	conn, err := newConn(l.address)
	if err != nil {
		return nil, nil, err
	}
	return fescuev1.NewEndpointClient(conn), func() { conn.Close() }, nil
}

// run keeps the control stream open until ctx ends. A stream that ends or goes
// silent is replaced on a new connection.
func (l *link) run(ctx context.Context) {
	defer l.close()
	for ctx.Err() == nil {
		conn := l.acquire()
		id := streamID{endpoint: l.id, sequence: l.c.sequence.Add(1)}
		err := l.control(ctx, id, conn)
		l.c.e.events.gone(id)
		l.release(conn)
		if ctx.Err() != nil {
			return
		}
		l.c.log.Info().Err(err).Str("endpoint", string(l.id)).Msg("control stream ended")
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
		if err := l.replace(conn); err != nil {
			l.c.log.Warn().Err(err).Msg("address is not valid")
		}
	}
}

// control reads reports from one control stream.
func (l *link) control(ctx context.Context, id streamID, conn *sharedConn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.controlled(conn, cancel)
	defer l.connected.Store(false)
	watchdog := time.AfterFunc(reportSilence, cancel)
	defer watchdog.Stop()
	stream, err := fescuev1.NewEndpointClient(conn).Control(ctx)
	if err != nil {
		return err
	}
	hello := &fescuev1.Hello{EntryId: string(l.entry), BundleVersion: uint64(l.c.e.bundles.Version())}
	if err := stream.Send(&fescuev1.ControlRequest{Body: &fescuev1.ControlRequest_Hello{Hello: hello}}); err != nil {
		return err
	}
	go l.sendGrants(ctx, stream)
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(reportSilence)
		l.hear(conn)
		l.connected.Store(true)
		l.doubtful.Store(false)
		l.c.e.events.received(id, m)
		l.c.e.exchanger.reported(l.id, m, conn.ClientConn)
	}
}

func (l *link) sendGrants(ctx context.Context, stream grpc.BidiStreamingClient[fescuev1.ControlRequest, fescuev1.ControlResponse]) {
	for {
		select {
		case <-ctx.Done():
			return
		case g := <-l.grants:
			if stream.Send(&fescuev1.ControlRequest{Body: &fescuev1.ControlRequest_PermitGrant{PermitGrant: g}}) != nil {
				return
			}
		}
	}
}

// grant queues a permit for the endpoint. A permit that finds the queue full is
// dropped; the endpoint repeats its request.
func (l *link) grant(g *fescuev1.PermitGrant) {
	select {
	case l.grants <- g:
	default:
	}
}
