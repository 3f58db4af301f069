package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// errSilent reports that no frame has arrived for the progress time.
var errSilent = errors.New("no frame from the endpoint")

// dispatch sends the attempt and relays the answer.
type dispatch struct{ e *Entry }

func (dispatch) Name() string { return "dispatch" }

func (f dispatch) Do(_ context.Context, x *Exchange, _ Handler) *Failure {
	l := f.e.connector.link(x.endpoint.ID)
	if l == nil {
		x.result = notSent("no connection")
		return nil
	}
	x.endpoint.Load.Add(1)
	defer x.endpoint.Load.Add(-1)
	x.result = f.attempt(x, l)
	return nil
}

// notSent ends an attempt whose message was never handed to the connection.
func notSent(detail string) attemptResult {
	return attemptResult{end: retry.NotRun, reason: fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY, detail: detail}
}

// attempt runs one attempt to its end.
func (f dispatch) attempt(x *Exchange, l *link) attemptResult {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline.Add(f.e.timing.grace))
	defer cancel()
	r := newRelay(f.e, x, x.ref())
	res, settled := f.run(ctx, r, l)
	cancel()
	if settled {
		return res
	}
	if x.r.Context().Err() != nil {
		return attemptResult{end: retry.CallerGone, detail: "caller is gone"}
	}
	return f.prove(r, l, res)
}

// run sends the attempt and reads its frames. The second result is false if the
// end of the attempt is not known.
func (f dispatch) run(ctx context.Context, r *relay, l *link) (attemptResult, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(f.e.timing.progress, func() { cancel(errSilent) })
	defer watchdog.Stop()
	doubt := time.AfterFunc(f.e.timing.doubt, func() { l.doubtful.Store(true) })
	defer doubt.Stop()
	conn := l.acquire()
	defer l.release(conn)
	stream, err := conn.NewStream(ctx, &fescuev1.Endpoint_ServiceDesc.Streams[runStream], fescuev1.Endpoint_Run_FullMethodName)
	if err != nil {
		// The endpoint needs the message, which has not been handed over.
		f.repair(l, conn, ctx, err)
		if r.x.r.Context().Err() != nil {
			return attemptResult{end: retry.CallerGone, detail: "caller is gone"}, true
		}
		return notSent(err.Error()), true
	}
	r.x.markSent()
	err = f.exchange(stream, r, timers{watchdog, doubt}, l)
	if err == nil {
		return r.result, true
	}
	f.repair(l, conn, ctx, err)
	return r.lost(context.Cause(ctx), err), false
}

// runStream is the index of Run among the streams of the service.
const runStream = 0

// timers run while no frame arrives.
type timers struct{ watchdog, doubt *time.Timer }

// exchange sends the request and handles frames until the attempt ends. An
// error means that the end of the attempt is not known.
func (f dispatch) exchange(stream grpc.ClientStream, r *relay, waiting timers, l *link) error {
	if err := stream.SendMsg(r.x.runRequest(l.entry, time.Now())); err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	for {
		fr := &fescuev1.RunFrame{}
		if err := stream.RecvMsg(fr); err != nil {
			return err
		}
		waiting.watchdog.Reset(f.e.timing.progress)
		waiting.doubt.Reset(f.e.timing.doubt)
		l.doubtful.Store(false)
		done, err := r.frame(fr)
		if err != nil || done {
			return err
		}
	}
}

// repair replaces the shared connection after silence or a broken transport.
func (f dispatch) repair(l *link, conn *sharedConn, ctx context.Context, err error) { //nolint:revive // ctx is the subject here
	silent := errors.Is(context.Cause(ctx), errSilent)
	if !silent && status.Code(err) != codes.Unavailable {
		return
	}
	if err := l.replace(conn); err != nil {
		f.e.log.For(logging.ComponentRoute).Warn().Err(err).Msg("connection not replaced")
	}
	if silent {
		l.abandonControl(conn, f.e.timing.progress)
	}
}
