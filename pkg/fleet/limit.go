package fleet

import "time"

// NamedLimit is what the headers of a response say about the number of requests that the
// server takes from all processes together.
type NamedLimit struct {
	// Named is true if the server names a limit.
	Named bool
	// Malformed is true if the server names one that cannot be read, which says neither
	// that there is a limit nor that there is none.
	Malformed bool
	// PerSecond is the limit in requests per second. 0 means that the server takes none.
	PerSecond float64
}

const (
	// limitLinger is how long a limit holds at least after the server has last named it.
	// Responses may overtake each other.
	limitLinger = time.Second
	// unnamedResponses is the number of responses in a row without the limit that end it.
	unnamedResponses = 2
)

// limit is the limit of one lifetime of a server.
type limit struct {
	named     bool
	perSecond float64
	// at is when the server last named it to this process, or when this process learned of
	// it. What is learned again does not renew it, so that processes do not keep a limit
	// alive by telling each other.
	at time.Time
	// unnamed counts the responses since then that did not name a limit.
	unnamed int
	// learned is true if only others have heard of the limit.
	learned bool
	// throttled is the time before which the process gets no permit for a request.
	throttled time.Time
}

// RecordLimit records what a response says about the server's limit. It reports whether
// the limit has changed.
func (r *Runtime) RecordLimit(now time.Time, n NamedLimit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.limit
	switch {
	case n.Malformed:
		return false
	case n.Named:
		changed := !l.named || l.perSecond != n.PerSecond
		*l = limit{named: true, perSecond: n.PerSecond, at: now, throttled: l.throttled}
		return changed
	case !l.named:
		return false
	}
	l.unnamed++
	if l.unnamed < unnamedResponses || now.Sub(l.at) < limitLinger {
		return false
	}
	*l = limit{}
	return true
}

// LearnLimit records a limit of which others have heard. It is used until the server names
// one to this process, and ends when the others report that it has ended.
func (r *Runtime) LearnLimit(now time.Time, perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.limit
	if !l.named {
		l.named, l.learned, l.at = true, true, now
	}
	if l.learned {
		l.perSecond = perSecond
	}
}

// EndLearnedLimit ends a limit of which only others have heard.
func (r *Runtime) EndLearnedLimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit.learned {
		r.limit = limit{}
	}
}

// EndLimit ends the limit because the server has stopped naming it to others.
func (r *Runtime) EndLimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit{}
}

// Throttle records that this process gets no permit for a request until the given time.
func (r *Runtime) Throttle(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit.throttled = until
}

// ThrottledUntil returns the time before which this process gets no permit for a request.
func (r *Runtime) ThrottledUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit.throttled
}

// Limited reports whether the server names a limit.
func (r *Runtime) Limited() bool {
	_, _, limited := r.Limit()
	return limited
}

// Limit returns the number of requests per second that the server takes from all
// processes together, and when it last said so, or others first did. It reports false if
// the server names none.
func (r *Runtime) Limit() (perSecond float64, at time.Time, limited bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit.perSecond, r.limit.at, r.limit.named
}
