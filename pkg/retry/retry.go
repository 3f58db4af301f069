// Package retry decides whether a request may be repeated: a rule that keeps
// non-idempotent requests from running twice, and a budget that keeps retries
// from multiplying an overload.
package retry

import (
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Result is the end of one attempt.
type Result uint8

// Ends of attempts.
const (
	// Answered means that the answer is complete.
	Answered Result = iota + 1
	// NotRun means that the attempt is proved not to have run and never will.
	NotRun
	// Unknown means that the attempt was sent and its result is not known.
	Unknown
	// CallerGone means that the caller's connection has ended.
	CallerGone
)

// History is what is known about the attempts of one request.
type History struct {
	Idempotent bool
	Attempts   int
	// Uncertain is true if any attempt has ended Unknown.
	Uncertain bool
	// Expired is true if the deadline has passed.
	Expired bool
	Last    Result
}

// Record adds the end of an attempt.
func (h *History) Record(end Result) {
	h.Attempts++
	h.Last = end
	h.Uncertain = h.Uncertain || end == Unknown
}

// MayRepeat reports whether another attempt is allowed: for an idempotent
// request after any end without an answer, for another request only if every
// attempt is proved not to have run.
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

// Outcome returns the outcome of a request after its last attempt. It is
// not-run only if every attempt is proved not to have run.
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

// Limits of the budget.
const (
	// window is the period over which requests and retries are counted.
	window = 10 * time.Second
	// DefaultMinRetries are allowed in a window whatever the number of requests, so
	// that an entry with little traffic can retry. It suits a handful of entries.
	DefaultMinRetries = 10.0
)

// Budget bounds the retries to a share of the requests. Counts decay linearly
// over two windows. It is safe for concurrent use.
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
	b.roll(now)
	b.current.requests++
}

// MinRetriesPerEntry returns the retries that one of several entries may make in a window
// whatever the number of its requests, where all of them together may make slack
// retries. It is MinRetries where the number of entries is not known.
func MinRetriesPerEntry(slack, entries int) float64 {
	if slack <= 0 || entries <= 0 {
		return DefaultMinRetries
	}
	return min(float64(slack)/float64(entries), DefaultMinRetries)
}

// TakeRetry takes a retry from the budget, which is a share (0 to 1) of the requests, but
// at least a minimum in each window. It reports false if the budget is spent. A share
// of 0 allows no retries.
func (b *Budget) TakeRetry(now time.Time, share, minimum float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll(now)
	weight := 1 - float64(now.Sub(b.start))/float64(window)
	requests := b.current.requests + weight*b.prior.requests
	retries := b.current.retries + weight*b.prior.retries
	if share <= 0 || retries+1 > max(share*requests, minimum) {
		return false
	}
	b.current.retries++
	return true
}

// roll starts a new window when the current one has ended.
func (b *Budget) roll(now time.Time) {
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
