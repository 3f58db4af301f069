package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// Faults of an answer. After any of them the endpoint is asked for the result.
var (
	errOtherAttempt = errors.New("frame of another attempt")
	errWrongAdapter = errors.New("answer of another adapter")
	errNoHeader     = errors.New("answer without header")
	errGap          = errors.New("gap in the answer")
	errShort        = errors.New("answer is incomplete")
)

// relay passes the frames of one attempt to the caller.
type relay struct {
	e      *Entry
	x      *Exchange
	ref    *fescuev1.AttemptRef
	next   uint64
	header bool
	start  time.Time
	queued time.Duration
	result attemptResult
}

// newRelay starts the answer of an attempt, after the events that are already
// held.
func newRelay(e *Entry, x *Exchange, ref *fescuev1.AttemptRef) *relay {
	x.answer.begin()
	return &relay{e: e, x: x, ref: ref, next: x.answer.received(), start: time.Now()}
}

// lost describes the loss of the stream.
func (r *relay) lost(cause, err error) attemptResult {
	detail := err.Error()
	if errors.Is(cause, errSilent) {
		detail = cause.Error()
	}
	return attemptResult{end: retry.Unknown, detail: detail, timeout: !time.Now().Before(r.x.deadline)}
}

// frame handles one frame. It reports true at the end of the attempt and an
// error if the answer cannot be used.
func (r *relay) frame(fr *fescuev1.RunFrame) (bool, error) {
	ref := fr.GetRef()
	own := ref.GetRequestId() == r.ref.GetRequestId() && ref.GetAttempt() == r.ref.GetAttempt()
	if !own {
		// Only a violation pays for the arguments of the message.
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
	if r.header {
		return nil
	}
	r.header = true
	r.queued = time.Duration(h.GetQueueUs()) * time.Microsecond
	r.e.metrics.header(h)
	r.x.answer.header(h)
	return nil
}

// onData drops data that is already held, as after a duplicate frame.
func (r *relay) onData(d *fescuev1.Data) (bool, error) {
	switch {
	case !r.header:
		return false, errNoHeader
	case d.GetOffset() < r.next:
		return false, nil
	case d.GetOffset() > r.next:
		return false, errGap
	}
	r.x.firstData(r.e)
	err := r.x.answer.data(d.GetPayload())
	if errors.Is(err, errCallerGone) {
		r.result = attemptResult{end: retry.CallerGone, detail: err.Error()}
		return true, nil
	}
	r.next = r.x.answer.received()
	return false, err
}

func (r *relay) onEnd(e *fescuev1.End) error {
	if !r.header {
		return errNoHeader
	}
	if e.GetTotal() != r.next {
		return errShort
	}
	r.x.answer.end()
	if r.x.group != nil {
		r.x.group.ServiceTime.Observe(max(time.Since(r.start)-r.queued, 0))
	}
	r.result = attemptResult{end: retry.Answered, detail: ident.Answered.String()}
	return nil
}

// onNotRun accepts the proof unless the attempt has already sent an answer.
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
