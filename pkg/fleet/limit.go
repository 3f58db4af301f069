package fleet

import (
	"math"
	"time"
)

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
	// at is when the server named it, according to this process or to others.
	at time.Time
	// unnamed counts the responses since then that did not name a limit.
	unnamed int
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
		*l = limit{named: true, perSecond: n.PerSecond, at: now}
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

// Limit returns the number of requests per second that the server takes from all
// processes together, and when it last said so. It is +Inf if the server names none.
func (r *Runtime) Limit() (perSecond float64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limit.named {
		return math.Inf(1), time.Time{}
	}
	return r.limit.perSecond, r.limit.at
}
