// Package retry decides whether a request may be sent again. A rule prevents
// non-idempotent requests from running twice, and a budget prevents retries from
// amplifying an overload.
package retry

import "github.com/fescuecourse/fescuecourse/pkg/ident"

// Result is the result of one attempt.
type Result uint8

// Results of attempts.
const (
	// Answered means that a complete response has arrived.
	Answered Result = iota + 1
	// NotRun means that the attempt provably did not run and never will.
	NotRun
	// Unknown means that the attempt was sent and that its result is not known.
	Unknown
	// CallerGone means that the client has disconnected.
	CallerGone
)

// History is the state of the attempts of one request.
type History struct {
	Idempotent bool
	Attempts   int
	// Uncertain is true if the result of any attempt is Unknown.
	Uncertain bool
	// Expired is true if the deadline has passed.
	Expired bool
	Last    Result
}

// Record adds the result of an attempt.
func (h *History) Record(r Result) {
	h.Attempts++
	h.Last = r
	h.Uncertain = h.Uncertain || r == Unknown
}

// MayRepeat reports whether another attempt is allowed. An idempotent request may be
// repeated after the results NotRun and Unknown, any other request only if every
// attempt provably did not run.
func MayRepeat(h History, maxAttempts int) bool {
	if h.Expired || h.Attempts >= maxAttempts {
		return false
	}
	switch h.Last {
	case NotRun:
		return h.Idempotent || !h.Uncertain
	case Unknown:
		return h.Idempotent
	default:
		return false
	}
}

// Outcome returns the outcome of a request after its last attempt. It is NotRun only
// if every attempt provably did not run.
func (h History) Outcome() ident.Outcome {
	switch {
	case h.Last == Answered:
		return ident.Answered
	case h.Uncertain || h.Last == CallerGone:
		return ident.Unknown
	default:
		return ident.NotRun
	}
}
