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
	RightAdapter         Name = "right_adapter"
	ZeroPinsAtEviction   Name = "zero_pins_at_eviction"
	OneOutcome           Name = "one_outcome"
	AtMostOneRun         Name = "at_most_one_run"
	BundleVersionRises   Name = "bundle_version_rises"
	BundleVerified       Name = "bundle_verified"
	NoWorkAfterLeaving   Name = "no_work_after_leaving"
	ContiguousFrames     Name = "contiguous_frames"
	OrderNeedsAuthority  Name = "order_needs_authority"
	SlotsWithinCapacity  Name = "slots_within_capacity"
	QueueAccounting      Name = "queue_accounting"
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
