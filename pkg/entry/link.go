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
	"github.com/fescuecourse/fescuecourse/pkg/grpcconn"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// link is the connection to one endpoint with its control stream.
type link struct {
	c       *connector
	id      ident.EndpointID
	entry   ident.EntryID
	address string
	stop    context.CancelFunc
	grants  chan *fescuev1.PermitGrant
	// connected is true while the endpoint sends reports on the control stream.
	connected atomic.Bool
	// suspected is true while the next frame of an attempt at the endpoint is overdue.
	suspected atomic.Bool

	mu   sync.Mutex
	conn *sharedConn
}

// sharedConn is a connection with a count of its users. The mutex of the link guards
// it. A retired connection is closed by its last user, so that calls that still make
// progress on it are not cut off.
type sharedConn struct {
	*grpc.ClientConn
	users   int
	retired bool
	// cancelControl cancels the control stream on this connection; it is nil if
	// there is none. lastReport is the time of the last report on this stream.
	cancelControl context.CancelFunc
	lastReport    time.Time
}

func newConn(address string) (*grpc.ClientConn, error) {
	options := append(grpcconn.DialOptions(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}))
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	return conn, errors.Wrap(err, "create connection")
}

// acquire returns the shared connection and counts the caller as its user. The
// caller must release it.
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

// replaceConn replaces a connection that no longer responds by a new one, unless
// another call has already done so.
func (l *link) replaceConn(used *sharedConn) error {
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

// cancelSilentControl cancels the control stream on a connection on which an attempt
// has received no frames, unless a report has arrived on it within the given time.
// The endpoint is then not a candidate for placement until it reports again.
func (l *link) cancelSilentControl(used *sharedConn, silence time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if used.cancelControl != nil && time.Since(used.lastReport) >= silence {
		used.cancelControl()
	}
}

// setControlStream records the control stream that runs on a connection.
func (l *link) setControlStream(c *sharedConn, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.cancelControl = cancel
	c.lastReport = time.Now()
}

// recordReport records that a report has arrived on a connection.
func (l *link) recordReport(c *sharedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.lastReport = time.Now()
}

// retire closes a connection as soon as it has no users. The caller must hold the
// mutex.
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

// newClient returns a client on a new connection and a function that closes it,
// because the shared connection may no longer respond.
func (l *link) newClient() (fescuev1.EndpointClient, func(), error) {
	conn, err := newConn(l.address)
	if err != nil {
		return nil, nil, err
	}
	return fescuev1.NewEndpointClient(conn), func() { conn.Close() }, nil
}

// run keeps a control stream to the endpoint open until ctx ends. A stream that ends
// or goes silent is replaced by one on a new connection.
func (l *link) run(ctx context.Context) {
	defer l.close()
	for ctx.Err() == nil {
		conn := l.acquire()
		id := streamID{endpoint: l.id, sequence: l.c.sequence.Add(1)}
		err := l.receiveReports(ctx, id, conn)
		l.c.e.events.streamEnded(id)
		l.release(conn)
		if ctx.Err() != nil {
			return
		}
		l.c.log.Info().Err(err).Str("endpoint", string(l.id)).Msg("control stream ended")
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
		if err := l.replaceConn(conn); err != nil {
			l.c.log.Warn().Err(err).Msg("invalid endpoint address")
		}
	}
}

// receiveReports opens a control stream and handles its messages until it ends or
// goes silent.
func (l *link) receiveReports(ctx context.Context, id streamID, conn *sharedConn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.setControlStream(conn, cancel)
	defer l.connected.Store(false)
	watchdog := time.AfterFunc(reportTimeout, cancel)
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
		watchdog.Reset(reportTimeout)
		l.recordReport(conn)
		l.connected.Store(true)
		l.suspected.Store(false)
		l.c.e.events.received(id, m)
		l.c.e.bundleSyncer.recordVersion(l.id, m, conn.ClientConn)
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

// queueGrant queues a permit grant for the endpoint. The grant is dropped if the
// queue is full; the endpoint then repeats its request.
func (l *link) queueGrant(g *fescuev1.PermitGrant) {
	select {
	case l.grants <- g:
	default:
	}
}
