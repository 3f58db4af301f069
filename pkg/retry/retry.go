// Package retry decides whether a request may be sent again. A rule prevents
// non-idempotent requests from running twice, and a budget prevents retries from
// amplifying an overload.
package retry

import (
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

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

// Parameters of the budget.
const (
	// window is the period over which requests and retries are counted.
	window = 10 * time.Second
	// DefaultMinRetries is the number of retries allowed in a window regardless of the
	// number of requests, so that an entry with little traffic can retry. It is meant
	// for a small number of entries.
	DefaultMinRetries = 10.0
)

// Budget limits retries to a fraction of the requests. Counts decay linearly over two
// windows. It is safe for concurrent use.
type Budget struct {
	mu             sync.Mutex
	start          time.Time
	current, prior counts
}

type counts struct{ requests, retries float64 }

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.current.requests++
}

// MinRetriesPerEntry returns the number of retries that each entry may make in a
// window regardless of its number of requests, if all entries together may make slack
// retries. It is at most DefaultMinRetries, and equal to it if slack or the number of
// entries is not known, which is given as 0.
func MinRetriesPerEntry(slack, entries int) float64 {
	if slack <= 0 || entries <= 0 {
		return DefaultMinRetries
	}
	return min(float64(slack)/float64(entries), DefaultMinRetries)
}

// TakeRetry counts a retry if the budget allows it, and reports whether it does. The
// budget in a window is the given fraction (0 to 1) of the requests, but at least
// minimum. A fraction of 0 allows no retries.
func (b *Budget) TakeRetry(now time.Time, share, minimum float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	weight := 1 - float64(now.Sub(b.start))/float64(window)
	requests := b.current.requests + weight*b.prior.requests
	retries := b.current.retries + weight*b.prior.retries
	if share <= 0 || retries+1 > max(share*requests, minimum) {
		return false
	}
	b.current.retries++
	return true
}

// advance starts a new window if the current one has ended.
func (b *Budget) advance(now time.Time) {
	age := now.Sub(b.start)
	switch {
	case age < window:
	case age < 2*window:
		b.start = b.start.Add(window)
		b.prior, b.current = b.current, counts{}
	default:
		b.start = now
		b.prior, b.current = counts{}, counts{}
	}
}
