package soak

import (
	"sync"
	"time"
)

// undisturbedTime is how long a process must have been free of faults before a check
// counts what it does.
const undisturbedTime = 3 * time.Second

// disturbance records when a process, or the links to it, last had a fault.
type disturbance struct {
	mu     sync.Mutex
	active int
	// last is the time of the last fault, or of its end. effectUntil is later if the
	// effect of the fault lasted longer.
	last        time.Time
	effectUntil time.Time
}

// mark records a fault that has no duration.
func (d *disturbance) mark() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last = time.Now()
}

// begin records the start of a fault and returns a function that records its end.
func (d *disturbance) begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
	d.last = time.Now()
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.active--
		d.last = time.Now()
	})
}

// undisturbedAt reports whether there has been no fault from undisturbedTime before t
// until now.
func (d *disturbance) undisturbedAt(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := t.Add(-undisturbedTime)
	return d.active == 0 && d.last.Before(limit) && d.effectUntil.Before(limit)
}

// startupTime is the time in which a process that starts reads the store.
const startupTime = time.Second

// prolong extends a fault that occurred during a fault of the store, which began at
// began, to now. A process that starts without the store is not known to the others
// before the store is back.
func (d *disturbance) prolong(began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last.After(began.Add(-startupTime)) {
		d.effectUntil = time.Now()
	}
}
