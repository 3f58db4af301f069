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
	last   time.Time
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
	return d.active == 0 && d.last.Before(t.Add(-undisturbedTime))
}

// prolong marks the process again if its last fault is recent. It is called at the end
// of a fault of the store, because a process that starts without the store is not
// known to the others before the store is back.
func (d *disturbance) prolong() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.last) < maxFaultDuration+undisturbedTime {
		d.last = time.Now()
	}
}
