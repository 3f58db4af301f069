package entry

import (
	"context"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// queryLostAttempt asks the endpoint for the result of an attempt whose stream was
// lost. If the attempt of a non-idempotent request is still running, it asks again
// at pollInterval until the attempt ends or the deadline has passed. It returns lost
// if the result stays unknown.
func (f dispatch) queryLostAttempt(r *relay, l *link, lost attemptResult) attemptResult {
	for {
		limit := f.e.timing.revoke
		if r.x.idempotent {
			limit = f.e.timing.revokeIdempotent
		}
		if lost.timeout {
			// The deadline has passed, so the caller will not wait much longer.
			limit = f.e.timing.deadlineGrace
		}
		reply := f.e.revoke(r.x, l, r.x.revokeRequest(r.ref), limit)
		switch reply.GetState() {
		case fescuev1.RevokeReply_STATE_NOT_RUN:
			if r.header {
				return lost
			}
			return attemptResult{end: retry.NotRun, reason: fescuev1.NotRunReason_NOT_RUN_REASON_REVOKED, detail: lost.detail, timeout: lost.timeout}
		case fescuev1.RevokeReply_STATE_DONE:
			return replay(newRelay(f.e, r.x, r.ref), reply.GetAnswer(), lost)
		case fescuev1.RevokeReply_STATE_RUNNING:
		default:
			return lost
		}
		if r.x.idempotent || lost.timeout {
			return lost
		}
		if end, ok := f.waitForPoll(r.x, lost); !ok {
			return end
		}
		lost.timeout = !time.Now().Before(r.x.deadline)
	}
}

// waitForPoll waits until the next Revoke call is due, at most until the deadline. It
// returns lost and true, or the result CallerGone and false if the caller has
// disconnected.
func (f dispatch) waitForPoll(x *Exchange, lost attemptResult) (attemptResult, bool) {
	wait := time.NewTimer(min(f.e.timing.pollInterval, max(time.Until(x.deadline), 0)))
	defer wait.Stop()
	select {
	case <-x.r.Context().Done():
		return callerGone(), false
	case <-wait.C:
		return lost, true
	}
}

// revokeRequest returns the Revoke request for an attempt at the current endpoint.
func (x *Exchange) revokeRequest(ref *fescuev1.AttemptRef) *fescuev1.RevokeRequest {
	return &fescuev1.RevokeRequest{Ref: ref, Incarnation: uint64(x.endpoint.Incarnation), EndpointClockMs: x.endpoint.ClockMS}
}

// revoke keeps an attempt that has not started from running and returns the
// endpoint's reply with the state of the attempt, or nil if there is no reply. It
// uses a new connection, because the shared one may no longer respond.
func (e *Entry) revoke(x *Exchange, l *link, sent *fescuev1.RevokeRequest, limit time.Duration) *fescuev1.RevokeReply {
	ctx, cancel := context.WithTimeout(x.r.Context(), limit)
	defer cancel()
	line := e.log.For(logging.ComponentRoute).Info().Str("request", string(x.ID)).Str("endpoint", string(l.id))
	client, closeConn, err := l.newClient()
	if err != nil {
		line.Err(err).Msg("Revoke call failed")
		return nil
	}
	defer closeConn()
	reply, err := client.Revoke(ctx, sent)
	if err != nil {
		line.Err(err).Msg("Revoke call failed")
		return nil
	}
	line.Str("state", reply.GetState().String()).Msg("attempt state received")
	return reply
}

// replay sends the stored frames of a response to the caller, without the part that
// the caller already has. If the response is incomplete or cannot be used, it
// returns lost.
func replay(r *relay, frames []*fescuev1.RunFrame, lost attemptResult) attemptResult {
	for _, fr := range frames {
		done, err := r.handleFrame(fr)
		if err != nil {
			lost.detail = err.Error()
			return lost
		}
		if done {
			return r.result
		}
	}
	return lost
}
