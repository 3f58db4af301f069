// Package suspend tells for how long the machine has been suspended. Timers and
// time.Since do not count that time, so what has expired meanwhile still looks
// fresh after the machine wakes.
package suspend

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Total returns the time that the machine has been suspended since it started.
func Total() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, errors.Wrap(err, "read the steady clock")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, errors.Wrap(err, "read the boot clock")
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}

// threshold is the shortest suspension that counts. Shorter differences come from
// reading the clocks one after the other.
const threshold = 300 * time.Millisecond

// Detector detects suspensions. It is used from one goroutine.
type Detector struct {
	total func() (time.Duration, error)
	last  time.Duration
}

// NewDetector returns a watch that reads total, or Total if it is nil.
func NewDetector(total func() (time.Duration, error)) *Detector {
	if total == nil {
		total = Total
	}
	w := &Detector{total: total}
	w.last, _ = total() // an unreadable clock shows again in Slept
	return w
}

// Suspended returns how long the machine has been suspended since the last call, or
// zero.
func (w *Detector) Suspended() (time.Duration, error) {
	now, err := w.total()
	if err != nil {
		return 0, err
	}
	d := now - w.last
	if d < threshold {
		return 0, nil
	}
	w.last = now
	return d, nil
}
