package entry

import (
	"context"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// prove asks the endpoint on a new connection how an attempt ended whose stream
// is lost. A non-idempotent run that goes on is followed until its end.
func (f dispatch) prove(r *relay, l *link, lost attemptResult) attemptResult {
	for {
		limit := f.e.timing.revoke
		if r.x.idempotent {
			limit = f.e.timing.revokeIdempotent
		}
		if lost.timeout {
			// The deadline has passed, so the caller does not wait for long.
			limit = f.e.timing.grace
		}
		reply := f.e.revoke(r.x, l, r.x.sentAttempt(r.ref), limit)
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
		if end, ok := f.pause(r.x, lost); !ok {
			return end
		}
		lost.timeout = !time.Now().Before(r.x.deadline)
	}
}

// pause waits for the next question. It reports false if the caller is gone.
func (f dispatch) pause(x *Exchange, lost attemptResult) (attemptResult, bool) {
	wait := time.NewTimer(min(f.e.timing.poll, max(time.Until(x.deadline), 0)))
	defer wait.Stop()
	select {
	case <-x.r.Context().Done():
		return attemptResult{end: retry.CallerGone, detail: lost.detail}, false
	case <-wait.C:
		return lost, true
	}
}

// sentAttempt names an attempt of the exchange at its current endpoint.
func (x *Exchange) sentAttempt(ref *fescuev1.AttemptRef) *fescuev1.RevokeRequest {
	return &fescuev1.RevokeRequest{Ref: ref, Incarnation: uint64(x.endpoint.Incarnation), EndpointClockMs: x.endpoint.ClockMS}
}

// revoke asks an endpoint on a new connection whether an attempt ran. It
// returns nil if there is no reply.
func (e *Entry) revoke(x *Exchange, l *link, sent *fescuev1.RevokeRequest, limit time.Duration) *fescuev1.RevokeReply {
	ctx, cancel := context.WithTimeout(x.r.Context(), limit)
	defer cancel()
	line := e.log.For(logging.ComponentRoute).Info().Str("request", string(x.ID)).Str("endpoint", string(l.id))
	client, closeConn, err := l.freshClient()
	if err != nil {
		line.Err(err).Msg("attempt not revoked")
		return nil
	}
	defer closeConn()
	reply, err := client.Revoke(ctx, sent)
	if err != nil {
		line.Err(err).Msg("attempt not revoked")
		return nil
	}
	line.Str("state", reply.GetState().String()).Msg("attempt revoked")
	return reply
}

// replay delivers a stored answer after the part that the caller already has.
func replay(r *relay, frames []*fescuev1.RunFrame, lost attemptResult) attemptResult {
	for _, fr := range frames {
		done, err := r.frame(fr)
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
