package fleet

import "time"

// Backoff is what a response says about the time for which its server wants no requests from
// the VM of this process.
type Backoff struct {
	// Asked is true if the server asks for such a time.
	Asked bool
	// Malformed is true if the server asks for one that cannot be read.
	Malformed bool
	// For is the time from the response on. 0 asks for none.
	For time.Duration
}

// RecordBackoff records what a response says about the server's backoff. It reports whether
// the backoff lasts longer than was known. Of several times the latest end counts, because
// responses may overtake each other.
func (r *Runtime) RecordBackoff(now time.Time, b Backoff) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := now.Add(b.For)
	if !b.Asked || b.For <= 0 || !until.After(r.backoffUntil) {
		return false
	}
	r.backoffUntil = until
	return true
}

// BackoffUntil returns the time before which the server wants no requests, which is zero if
// it has never asked for a backoff.
func (r *Runtime) BackoffUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backoffUntil
}
