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

const (
	// slowStartEnd is the number of requests that may wait for their responses at once from
	// which their number is not limited any more after a backoff.
	slowStartEnd = 32
	// slowStartTimeout is how long a request without a response holds others back.
	slowStartTimeout = time.Second
)

// backoff is the time for which one lifetime of a server wants no requests. Afterwards load
// returns by slow start: one request at a time at first, and one more with each response.
type backoff struct {
	// until is the end, or zero if the server has never asked for a backoff or load has
	// returned since.
	until time.Time
	// window is the number of requests that may wait for their responses at once, and
	// waiting that of those that do. The last one was sent at sentAt.
	window, waiting int
	sentAt          time.Time
}

func (b *backoff) admits(now time.Time) bool {
	switch {
	case b.until.IsZero():
		return true
	case now.Before(b.until):
		return false
	default:
		return b.waiting < b.window || now.Sub(b.sentAt) > slowStartTimeout
	}
}

// RecordBackoff records what a response says about the server's backoff. It reports whether
// the backoff lasts longer than was known. Of several times the latest end counts, because
// responses may overtake each other.
func (r *Runtime) RecordBackoff(now time.Time, b Backoff) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := now.Add(b.For)
	if !b.Asked || b.For <= 0 || !until.After(r.backoff.until) {
		return false
	}
	r.backoff = backoff{until: until, window: 1}
	return true
}

// BackoffUntil returns the time before which the server wants no requests, or zero if it
// wants any.
func (r *Runtime) BackoffUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backoff.until
}

// Admits reports whether a request may be placed at the server, as far as its responses tell:
// it neither leaves nor wants no requests now.
func (r *Runtime) Admits(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.leaving && r.backoff.admits(now)
}

// Available reports whether a request may be placed at the server: it is not banned, there may
// be a permit, and it admits requests.
func (r *Runtime) Available(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.banned) && !now.Before(r.limit.throttled) && !r.leaving && r.backoff.admits(now)
}

// Admission is the right to send one request to a server. A nil Admission is that of a server
// that has asked for no backoff, or of a request that must not be sent.
type Admission struct {
	runtime *Runtime
	// until identifies the backoff.
	until time.Time
	ended bool
}

// Admit is called before a request is sent. It reports false if the server does not want it.
// The caller must call Ended on the admission when the request has ended.
func (r *Runtime) Admit(now time.Time) (*Admission, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &r.backoff
	if r.leaving || !b.admits(now) {
		return nil, false
	}
	if b.until.IsZero() {
		return nil, true
	}
	b.waiting++
	b.sentAt = now
	return &Admission{runtime: r, until: b.until}, true
}

// Answered records that the server has responded without asking for a backoff.
func (a *Admission) Answered() { a.end(true) }

// Ended records that the request has ended. It has no effect after Answered.
func (a *Admission) Ended() { a.end(false) }

func (a *Admission) end(answered bool) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.runtime.mu.Lock()
	defer a.runtime.mu.Unlock()
	b := &a.runtime.backoff
	if !b.until.Equal(a.until) {
		return // another backoff, or none
	}
	b.waiting--
	if answered {
		b.window++
	}
	if b.window >= slowStartEnd {
		*b = backoff{}
	}
}
