// Package invariant checks conditions that must always hold. A violation is
// counted and reported in production and fatal in tests.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Name identifies an invariant in metrics and log lines.
type Name string

// The invariants of the system.
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

// Handler receives a violation.
type Handler func(name Name, detail string)

var handler atomic.Pointer[Handler]

// SetHandler replaces the handler of violations, for instance with one that
// writes a log line or fails a test. It returns the previous handler.
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

// Check reports a violation of the named invariant if ok is false. It returns ok.
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
