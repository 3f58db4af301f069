package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// Errors in a response. After any of them, the entry asks the endpoint for the result
// of the attempt.
var (
	errOtherAttempt = errors.New("frame of another attempt")
	errWrongAdapter = errors.New("answer of another adapter")
	errWrongVersion = errors.New("answer of an engine of another version")
	errNoHeader     = errors.New("answer without header")
	errGap          = errors.New("gap in the answer")
	errIncomplete   = errors.New("answer is incomplete")
	errNoStatus     = errors.New("answer without a status that a caller can get")
)

// relay checks the frames of one attempt and passes their content to the caller.
type relay struct {
	e          *Entry
	x          *Exchange
	ref        *fescuev1.AttemptRef
	nextOffset uint64
	header     bool
	start      time.Time
	queueTime  time.Duration
	result     attemptResult
}

// newRelay returns the relay of an attempt. It continues after the events that
// earlier attempts have delivered.
func newRelay(e *Entry, x *Exchange, ref *fescuev1.AttemptRef) *relay {
	x.response.beginAttempt()
	return &relay{e: e, x: x, ref: ref, nextOffset: x.response.received(), start: time.Now()}
}

// lostResult returns the result of an attempt whose stream ended with err. cause is
// why its context ended, if it did.
func (r *relay) lostResult(cause endcause.Cause, err error) attemptResult {
	detail := err.Error()
	if cause == endcause.ServerLost {
		detail = "no frame from the endpoint"
	}
	return attemptResult{end: retry.Unknown, cause: cause, detail: detail, timeout: !time.Now().Before(r.x.deadline)}
}

// handleFrame handles one frame. It returns true at the end of the attempt, and an
// error if the response cannot be used.
func (r *relay) handleFrame(fr *fescuev1.RunFrame) (bool, error) {
	ref := fr.GetRef()
	own := ref.GetRequestId() == r.ref.GetRequestId() && ref.GetAttempt() == r.ref.GetAttempt()
	if !own {
		// The arguments of the message are evaluated only after a violation, because
		// they cost time.
		invariant.Check(false, invariant.ContiguousFrames, "frame of attempt %v in %s", ref, r.x.ID)
		return false, errOtherAttempt
	}
	switch b := fr.GetBody().(type) {
	case *fescuev1.RunFrame_Header:
		return false, r.onHeader(b.Header)
	case *fescuev1.RunFrame_Data:
		return r.onData(b.Data)
	case *fescuev1.RunFrame_End:
		return true, r.onEnd(b.End)
	case *fescuev1.RunFrame_NotRun:
		return true, r.onNotRun(b.NotRun)
	case *fescuev1.RunFrame_Failed:
		r.onFailed(b.Failed)
		return true, nil
	}
	return false, nil
}

func (r *relay) onHeader(h *fescuev1.Header) error {
	want := ""
	if !r.x.adapter.IsZero() {
		want = r.x.adapter.String()
	}
	if !invariant.Check(h.GetServedAdapter() == want, invariant.RightAdapter, "served %q, request names %q", h.GetServedAdapter(), want) {
		return errWrongAdapter
	}
	if err := r.checkVersion(membership.EngineVersion(h.GetEngineVersion())); err != nil {
		return err
	}
	if !upstream.IsFinalStatus(int(h.GetStatus())) {
		return errNoStatus
	}
	if r.header {
		return nil
	}
	r.header = true
	r.queueTime = time.Duration(h.GetQueueUs()) * time.Microsecond
	r.e.metrics.header(h)
	r.x.response.header(h)
	return nil
}

// checkVersion returns an error if the engine has another version than the one whose
// events the attempt continues. It stores the version of an attempt that begins the
// response.
func (r *relay) checkVersion(v ident.EngineVersion) error {
	want := r.x.resumeVersion()
	if want == nil {
		r.x.engineVersion = v
		return nil
	}
	if v == *want {
		return nil
	}
	r.e.log.For(logging.ComponentRoute).Warn().Str("request", string(r.x.ID)).Int("attempt", int(r.ref.GetAttempt())).Str("engine_version", v.String()).Str("began_with", want.String()).Msg("answer refused, engine of another version")
	return errWrongVersion
}

// onData passes on new data and ignores data that has already arrived, such as that
// of a duplicate frame. It returns true if the caller has disconnected.
func (r *relay) onData(d *fescuev1.Data) (bool, error) {
	switch {
	case !r.header:
		return false, errNoHeader
	case d.GetOffset() < r.nextOffset:
		return false, nil
	case d.GetOffset() > r.nextOffset:
		return false, errGap
	}
	r.x.recordFirstData(r.e)
	err := r.x.response.data(d.GetPayload())
	if errors.Is(err, errCallerGone) {
		r.result = callerGone()
		return true, nil
	}
	r.nextOffset = r.x.response.received()
	return false, err
}

func (r *relay) onEnd(e *fescuev1.End) error {
	if !r.header {
		return errNoHeader
	}
	if e.GetTotal() != r.nextOffset {
		return errIncomplete
	}
	r.x.endResponse()
	if r.x.group != nil {
		r.x.group.ServiceTime.Observe(max(time.Since(r.start)-r.queueTime, 0))
	}
	r.result = attemptResult{end: retry.Answered, detail: ident.Answered.String()}
	return nil
}

// onNotRun handles the proof that the attempt did not run. It returns an error if the
// attempt has already sent a part of the response.
func (r *relay) onNotRun(n *fescuev1.NotRun) error {
	if !invariant.Check(!r.header, invariant.AtMostOneRun, "not-run after the header in %s", r.x.ID) {
		return errOtherAttempt
	}
	r.result = attemptResult{
		end:           retry.NotRun,
		reason:        n.GetReason(),
		detail:        n.GetDetail(),
		timeout:       n.GetReason() == fescuev1.NotRunReason_NOT_RUN_REASON_DEADLINE && !time.Now().Before(r.x.deadline),
		retryAfter:    time.Duration(n.GetRetryAfterMs()) * time.Millisecond,
		bundleVersion: ident.BundleVersion(n.GetBundleVersion()),
	}
	return nil
}

func (r *relay) onFailed(f *fescuev1.Failed) {
	timeout := f.GetReason() == fescuev1.FailedReason_FAILED_REASON_DEADLINE
	r.result = attemptResult{end: retry.Unknown, detail: f.GetDetail(), timeout: timeout}
}
