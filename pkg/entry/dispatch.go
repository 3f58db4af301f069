package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
)

// Limits of one attempt.
const (
	// progressTimeout is the longest silence of a run. Endpoints send a frame
	// every second.
	progressTimeout = 3 * time.Second
	// revokeTimeout bounds the question whether an attempt ran.
	revokeTimeout = 3 * time.Second
	// retryAfterCapacity is the advice to callers refused for lack of capacity.
	retryAfterCapacity = time.Second
	maxAttempts        = 4
)

// attemptEnd is the end of one attempt.
type attemptEnd uint8

const (
	// endAnswered: the answer is complete.
	endAnswered attemptEnd = iota + 1
	// endNotRun: the endpoint has proved that the attempt did not run.
	endNotRun
	// endUnknown: the attempt was sent and its result is not known.
	endUnknown
	// endCallerGone: the caller's connection has ended.
	endCallerGone
)

// attemptResult describes the end of one attempt.
type attemptResult struct {
	end    attemptEnd
	reason fescuev1.NotRunReason
	detail string
	// timeout is true if the deadline passed.
	timeout bool
}

// retry repeats attempts as far as the request may be repeated.
type retryFilter struct{ e *Entry }

func (retryFilter) Name() string { return "retry" }

func (f retryFilter) Do(ctx context.Context, x *Exchange, next Next) *Failure {
	var last attemptResult
	for x.attempt < maxAttempts {
		x.attempt++
		fail := next(ctx, x)
		if fail != nil {
			return f.placementFailure(x, fail, last)
		}
		last = x.result
		x.uncertain = x.uncertain || last.end == endUnknown
		if last.end == endAnswered || last.end == endCallerGone {
			return nil
		}
		x.excluded = append(x.excluded, x.endpoint.ID)
		if !f.mayRepeat(ctx, x, last) {
			break
		}
	}
	return f.failure(x, last)
}

// mayRepeat reports whether another attempt is allowed: after a proven not-run
// always, after an unknown result only for idempotent requests.
func (f retryFilter) mayRepeat(ctx context.Context, x *Exchange, last attemptResult) bool {
	if ctx.Err() != nil || last.timeout {
		return false
	}
	return last.end == endNotRun || x.idempotent
}

// placementFailure keeps the evidence of earlier attempts: a request with an
// unknown result does not become not-run because no endpoint is left.
func (f retryFilter) placementFailure(x *Exchange, fail *Failure, last attemptResult) *Failure {
	if x.uncertain {
		return f.failure(x, last)
	}
	return fail
}

// failure ends a request without an answer. It is not run only if every attempt
// is proved not to have run.
func (f retryFilter) failure(x *Exchange, last attemptResult) *Failure {
	if x.uncertain {
		return unknownResult(unknownStatus(last), "result_unknown", "the request was sent and its result is not known: "+last.detail)
	}
	return unavailable("not_run", "the request was not run: "+last.reason.String(), retryAfterCapacity)
}

func unknownStatus(last attemptResult) int {
	if last.timeout {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// place chooses the endpoint of the attempt.
type place struct{ e *Entry }

func (place) Name() string { return "place" }

func (f place) Do(ctx context.Context, x *Exchange, next Next) *Failure {
	now := time.Now()
	d, err := f.e.policy.Place(x.placementRequest(now, f.e.zone), f.e.directory.Load())
	log := f.e.log.For(logging.PartRoute).Info().Str("request", string(x.ID)).Int("attempt", int(x.attempt)).Str("adapter", x.adapter.String())
	if errors.Is(err, placement.ErrNoEndpoint) {
		log.Msg("no endpoint available")
		return unavailable("no_endpoint", "no endpoint can serve the request now", retryAfterCapacity)
	}
	x.endpoint = d.Endpoint
	log.Str("endpoint", string(d.Endpoint.ID)).Str("reason", d.Reason).Msg("endpoint chosen")
	return next(ctx, x)
}

// dispatch sends the attempt and relays the answer.
type dispatch struct{ e *Entry }

func (dispatch) Name() string { return "dispatch" }

func (f dispatch) Do(ctx context.Context, x *Exchange, _ Next) *Failure {
	link := f.e.connector.link(x.endpoint.ID)
	if link == nil {
		x.result = attemptResult{end: endNotRun, detail: "no connection"}
		return nil
	}
	x.endpoint.Load.Add(1)
	defer x.endpoint.Load.Add(-1)
	x.result = f.attempt(ctx, x, link)
	return nil
}

// attempt runs one attempt to its end.
func (f dispatch) attempt(ctx context.Context, x *Exchange, l *link) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.settlement.MarkSent()
	r := &relay{x: x}
	res, settled := r.run(ctx, l)
	if settled {
		return res
	}
	if ctx.Err() != nil && x.r.Context().Err() != nil {
		return attemptResult{end: endCallerGone}
	}
	return f.revoke(x, l, res)
}

// revoke asks the endpoint on a new connection whether the attempt ran.
func (f dispatch) revoke(x *Exchange, l *link, lost attemptResult) attemptResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), revokeTimeout)
	defer cancel()
	client, closeConn, err := l.freshClient()
	if err != nil {
		return lost
	}
	defer closeConn()
	reply, err := client.Revoke(ctx, &fescuev1.RevokeRequest{Ref: x.ref(), Incarnation: uint64(x.endpoint.Incarnation), EndpointClockMs: x.endpoint.ClockMS})
	if err != nil {
		return lost
	}
	f.e.log.For(logging.PartRoute).Info().Str("request", string(x.ID)).Str("state", reply.GetState().String()).Msg("attempt revoked")
	switch reply.GetState() {
	case fescuev1.RevokeReply_STATE_NOT_RUN:
		return attemptResult{end: endNotRun, reason: fescuev1.NotRunReason_NOT_RUN_REASON_REVOKED, timeout: lost.timeout}
	case fescuev1.RevokeReply_STATE_DONE:
		return replay(x, reply.GetAnswer(), lost)
	default:
		return lost
	}
}

// replay delivers a stored answer.
func replay(x *Exchange, frames []*fescuev1.RunFrame, lost attemptResult) attemptResult {
	if len(frames) == 0 || x.answer.committed() {
		return lost
	}
	r := &relay{x: x}
	for _, fr := range frames {
		if res, done := r.frame(fr); done {
			return res
		}
	}
	return lost
}

// relay passes the frames of one attempt to the caller.
type relay struct {
	x      *Exchange
	next   uint64
	header bool
}

// run reads frames until the attempt ends. The second result is false if the
// end of the attempt is not known.
func (r *relay) run(ctx context.Context, l *link) (attemptResult, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.next = r.x.answer.received()
	stream, err := l.client().Run(ctx, r.x.runRequest(l.entry, time.Now()))
	if err != nil {
		return r.lost(ctx, err), false
	}
	watchdog := time.AfterFunc(progressTimeout, cancel)
	defer watchdog.Stop()
	for {
		fr, err := stream.Recv()
		if err != nil {
			return r.lost(ctx, err), false
		}
		watchdog.Reset(progressTimeout)
		if res, done := r.frame(fr); done {
			return res, true
		}
	}
}

func (r *relay) lost(ctx context.Context, err error) attemptResult {
	return attemptResult{
		end:     endUnknown,
		detail:  err.Error(),
		timeout: !time.Now().Before(r.x.deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded),
	}
}

// frame handles one frame. The second result is true at the end of the attempt.
func (r *relay) frame(fr *fescuev1.RunFrame) (attemptResult, bool) {
	ref := fr.GetRef()
	own := ref.GetRequestId() == string(r.x.ID) && ref.GetAttempt() == r.x.attempt
	if !invariant.Check(own, invariant.ContiguousFrames, "frame of attempt %v in %s", ref, r.x.ID) {
		return attemptResult{end: endUnknown, detail: "frame of another attempt"}, true
	}
	switch b := fr.GetBody().(type) {
	case *fescuev1.RunFrame_Header:
		return r.onHeader(b.Header)
	case *fescuev1.RunFrame_Data:
		return r.onData(b.Data)
	case *fescuev1.RunFrame_End:
		return r.onEnd(b.End)
	case *fescuev1.RunFrame_NotRun:
		return attemptResult{end: endNotRun, reason: b.NotRun.GetReason(), detail: b.NotRun.GetDetail()}, true
	case *fescuev1.RunFrame_Failed:
		timeout := b.Failed.GetReason() == fescuev1.FailedReason_FAILED_REASON_DEADLINE
		return attemptResult{end: endUnknown, detail: b.Failed.GetDetail(), timeout: timeout}, true
	}
	return attemptResult{}, false
}

func (r *relay) onHeader(h *fescuev1.Header) (attemptResult, bool) {
	want := ""
	if !r.x.adapter.IsZero() {
		want = r.x.adapter.String()
	}
	if !invariant.Check(h.GetServedAdapter() == want, invariant.RightAdapter, "served %q, request names %q", h.GetServedAdapter(), want) {
		return attemptResult{end: endUnknown, detail: "answer of another adapter"}, true
	}
	r.header = true
	r.x.answer.header(h)
	return attemptResult{}, false
}

func (r *relay) onData(d *fescuev1.Data) (attemptResult, bool) {
	if d.GetOffset() != r.next {
		return attemptResult{end: endUnknown, detail: "gap in the answer"}, true
	}
	if err := r.x.answer.data(d.GetPayload()); err != nil {
		return attemptResult{end: endCallerGone, detail: err.Error()}, true
	}
	r.next = r.x.answer.received()
	return attemptResult{}, false
}

func (r *relay) onEnd(e *fescuev1.End) (attemptResult, bool) {
	if e.GetTotal() != r.next {
		return attemptResult{end: endUnknown, detail: "answer is incomplete"}, true
	}
	r.x.answer.end()
	return attemptResult{end: endAnswered, detail: ident.Answered.String()}, true
}
