// Package suspend measures how long the VM has been suspended. Timers and time.Since
// do not count that time, so state that expired during a suspension still looks
// fresh after it.
package suspend

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Total returns how long the VM has been suspended since it booted. It returns an
// error if a clock cannot be read.
func Total() (time.Duration, error) {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, errors.Wrap(err, "read CLOCK_MONOTONIC")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}

// threshold is the shortest suspension that is reported. The two clocks are read one
// after the other, which causes shorter differences.
const threshold = 300 * time.Millisecond

// Detector detects suspensions. It is not safe for concurrent use.
type Detector struct {
	total func() (time.Duration, error)
	last  time.Duration
}

// NewDetector returns a detector that reads the total suspended time from total, or
// from Total if it is nil.
func NewDetector(total func() (time.Duration, error)) *Detector {
	if total == nil {
		total = Total
	}
	d := &Detector{total: total}
	d.last, _ = total() // Suspended returns the error of an unreadable clock
	return d
}

// Suspended returns how long the VM has been suspended since the last suspension
// that it reported, or zero if that is less than threshold.
func (d *Detector) Suspended() (time.Duration, error) {
	now, err := d.total()
	if err != nil {
		return 0, err
	}
	elapsed := now - d.last
	if elapsed < threshold {
		return 0, nil
	}
	d.last = now
	return elapsed, nil
}
