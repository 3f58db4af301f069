// Package invariant checks conditions that must always hold. A violation is counted in
// metrics and passed to a handler: processes set one that logs it, tests one that
// panics.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Name is the name of an invariant in metrics and log lines.
type Name string

// Names of the invariants.
const (
	// RightAdapter means that a request runs only on the adapter that it names.
	RightAdapter Name = "right_adapter"
	// ZeroPinsAtEviction means that no adapter in use is evicted, and that the count of
	// runs that use an adapter is never negative.
	ZeroPinsAtEviction Name = "zero_pins_at_eviction"
	// OneOutcome means that the outcome of a request is set only once.
	OneOutcome Name = "one_outcome"
	// AtMostOneRun means that an attempt is submitted and started at most once, and that
	// an attempt with a response header is not reported as not run.
	AtMostOneRun Name = "at_most_one_run"
	// BundleVersionRises means that each bundle that a process adopts has a higher version
	// than the one before.
	BundleVersionRises Name = "bundle_version_rises"
	// BundleVerified means that a process adopts only bundles whose root it has verified.
	BundleVerified Name = "bundle_verified"
	// NoWorkAfterLeaving means that a leaving endpoint accepts no attempts.
	NoWorkAfterLeaving Name = "no_work_after_leaving"
	// ContiguousFrames means that all frames that arrive for an attempt carry its ID.
	ContiguousFrames Name = "contiguous_frames"
	// OrderNeedsAuthority means that load and unload commands are sent to an engine only
	// while the endpoint may send them.
	OrderNeedsAuthority Name = "order_needs_authority"
	// SlotsWithinCapacity means that no more adapter slots are in use than the engine has.
	SlotsWithinCapacity Name = "slots_within_capacity"
	// QueueAccounting means that the queue and its index hold the same number of attempts.
	QueueAccounting Name = "queue_accounting"
	// NoPanic means that no handler of a request or of a control event panics.
	NoPanic Name = "no_panic"
	// UnknownOnlyAfterSend means that the outcome is unknown only if an attempt was sent.
	UnknownOnlyAfterSend Name = "unknown_only_after_send"
)

// Handler receives a violation of the named invariant with a description of it.
type Handler func(name Name, detail string)

var handler atomic.Pointer[Handler]

// SetHandler replaces the handler of violations. It returns the previous handler, or
// nil if there was none.
func SetHandler(h Handler) Handler {
	prev := handler.Swap(&h)
	if prev == nil {
		return nil
	}
	return *prev
}

// Violations returns the number of violations of all invariants so far.
func Violations() int64 { return total.Count() }

var total = metrics.NewRegisteredCounter("invariant.violations", metrics.DefaultRegistry)

// Check counts a violation of the named invariant and calls the handler if ok is
// false. The format and its arguments describe the violation. Check returns ok.
func Check(ok bool, name Name, format string, args ...any) bool {
	if ok {
		return true
	}
	total.Inc(1)
	metrics.GetOrRegisterCounter("invariant."+string(name), metrics.DefaultRegistry).Inc(1)
	if h := handler.Load(); h != nil && *h != nil {
		(*h)(name, fmt.Sprintf(format, args...))
	}
	return false
}
