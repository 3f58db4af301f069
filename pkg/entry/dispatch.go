package entry

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// dispatch is the filter that sends an attempt to its endpoint and relays the
// response.
type dispatch struct{ e *Entry }

func (dispatch) Name() string { return "dispatch" }

func (f dispatch) Do(_ context.Context, x *Exchange, _ Handler) *Failure {
	l := f.e.connector.link(x.endpoint.ID)
	if l == nil {
		x.result = notSent("no connection")
		return nil
	}
	x.endpoint.Attempts.Add(1)
	defer x.endpoint.Attempts.Add(-1)
	x.result = f.attempt(x, l)
	return nil
}

// notSent returns the result of an attempt whose request was never passed to the
// connection.
func notSent(detail string) attemptResult {
	return attemptResult{end: retry.NotRun, reason: fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY, detail: detail}
}

// attempt performs one attempt and returns its result. If the stream is lost, it
// asks the endpoint for the result.
func (f dispatch) attempt(x *Exchange, l *link) attemptResult {
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline.Add(f.e.timing.deadlineGrace), endcause.Deadline)
	defer cancel()
	r := newRelay(f.e, x, x.ref())
	res, settled := f.run(ctx, r, l)
	cancel()
	if settled {
		return res
	}
	return f.queryLostAttempt(r, l, res)
}

// callerGone returns the result of an attempt that ended because its caller is gone.
func callerGone() attemptResult {
	return attemptResult{end: retry.CallerGone, cause: endcause.CallerGone, detail: errCallerGone.Error()}
}

// run sends the request of an attempt and handles the frames of the response. It
// returns false if the result of the attempt is not known.
func (f dispatch) run(ctx context.Context, r *relay, l *link) (attemptResult, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(f.e.timing.progressTimeout, func() { cancel(endcause.ServerLost) })
	defer watchdog.Stop()
	suspicion := time.AfterFunc(f.e.timing.suspicion, func() { l.suspected.Store(true) })
	defer suspicion.Stop()
	conn := l.acquire()
	defer l.release(conn)
	stream, err := conn.NewStream(ctx, &fescuev1.Endpoint_ServiceDesc.Streams[runStreamIndex], fescuev1.Endpoint_Run_FullMethodName)
	if err != nil {
		// The endpoint cannot have run the attempt, because the request has not been
		// sent.
		f.replaceFailedConn(l, conn, ctx, err)
		if endcause.Of(ctx) == endcause.CallerGone {
			return callerGone(), true
		}
		return notSent(err.Error()), true
	}
	r.x.markSent()
	err = f.sendAndReceive(stream, r, timers{watchdog, suspicion}, l)
	if err == nil {
		return r.result, true
	}
	f.replaceFailedConn(l, conn, ctx, err)
	cause := endcause.Of(ctx)
	if cause == endcause.CallerGone {
		return callerGone(), true
	}
	return r.lostResult(cause, err), false
}

// runStreamIndex is the index of Run in the stream descriptors of the gRPC service.
const runStreamIndex = 0

// timers are the timers that each received frame resets.
type timers struct{ watchdog, suspicion *time.Timer }

// sendAndReceive sends the request and handles frames until the attempt ends. An
// error means that the result of the attempt is not known.
func (f dispatch) sendAndReceive(stream grpc.ClientStream, r *relay, idle timers, l *link) error {
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
		idle.watchdog.Reset(f.e.timing.progressTimeout)
		idle.suspicion.Reset(f.e.timing.suspicion)
		l.suspected.Store(false)
		done, err := r.handleFrame(fr)
		if err != nil || done {
			return err
		}
	}
}

// replaceFailedConn replaces the shared connection after silence or a transport
// failure. After silence, it also cancels the control stream if no reports arrive on
// it either.
func (f dispatch) replaceFailedConn(l *link, conn *sharedConn, ctx context.Context, err error) { //nolint:revive // ctx is only inspected for its cause
	silent := endcause.Of(ctx) == endcause.ServerLost
	if !silent && status.Code(err) != codes.Unavailable {
		return
	}
	if err := l.replaceConn(conn); err != nil {
		f.e.log.For(logging.ComponentRoute).Warn().Err(err).Msg("could not replace the connection")
	}
	if silent {
		l.cancelSilentControl(conn, f.e.timing.progressTimeout)
	}
}
