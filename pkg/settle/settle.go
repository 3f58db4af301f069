// Package settle records the outcome of each accepted request exactly once.
package settle

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

// Settlement is the outcome of one request, which is set once. It is safe for
// concurrent use.
type Settlement struct {
	id      ident.RequestID
	sent    atomic.Bool
	outcome atomic.Uint32
}

// New returns a settlement whose outcome is ident.Pending.
func New(id ident.RequestID) *Settlement { return &Settlement{id: id} }

// MarkSent records that an attempt has been sent to an endpoint. Without it, the
// outcome must not be ident.Unknown.
func (s *Settlement) MarkSent() { s.sent.Store(true) }

// Sent reports whether an attempt has been sent to an endpoint.
func (s *Settlement) Sent() bool { return s.sent.Load() }

// Settle sets the outcome and counts it in the metrics. A second call violates an
// invariant and has no effect.
func (s *Settlement) Settle(o ident.Outcome) {
	first := s.outcome.CompareAndSwap(uint32(ident.Pending), uint32(o))
	if !invariant.Check(first, invariant.OneOutcome, "request %s settled as %s and again as %s", s.id, s.Outcome(), o) {
		return
	}
	invariant.Check(o != ident.Unknown || s.sent.Load(), invariant.UnknownOnlyAfterSend, "request %s", s.id)
	metrics.GetOrRegisterCounter("requests.outcome."+o.String(), metrics.DefaultRegistry).Inc(1)
}

// Outcome returns the outcome, or ident.Pending before it is set.
func (s *Settlement) Outcome() ident.Outcome { return ident.Outcome(s.outcome.Load()) }
