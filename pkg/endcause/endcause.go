// Package endcause names why an attempt or a request ended before its response was
// complete.
package endcause

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Cause is why an attempt or a request ended before its response was complete. It is
// the cancellation cause of its context, so the first one counts. Several often occur
// at once, because all timers that are due fire together after a suspension of the
// process.
type Cause uint8

// Causes. None is the zero value.
const (
	// None means that nothing has ended the attempt or the request early.
	None Cause = iota
	// CallerGone means that the caller has closed the connection or its sending side.
	CallerGone
	// ServerLost means that the server is down or has been silent for too long.
	ServerLost
	// Stalled means that the next event of a stream did not arrive before the caller
	// would have disconnected.
	Stalled
	// Deadline means that the time limit of the request has passed.
	Deadline
	// Stopped means that the entry has ended the request because it shuts down.
	Stopped
)

// String returns the value of the cause in log lines.
func (c Cause) String() string {
	switch c {
	case None:
		return "none"
	case CallerGone:
		return "caller-gone"
	case ServerLost:
		return "server-lost"
	case Stalled:
		return "stalled"
	case Deadline:
		return "deadline"
	case Stopped:
		return "stopped"
	default:
		return "unknown"
	}
}

// Error makes Cause usable as the cause of a cancellation.
func (c Cause) Error() string { return "ended early: " + c.String() }

// Of returns the first cause that has ended ctx, or None.
func Of(ctx context.Context) Cause {
	err := context.Cause(ctx)
	if err == nil {
		return None
	}
	var c Cause
	if errors.As(err, &c) {
		return c
	}
	// net/http cancels the context of a request without a cause when its caller closes
	// the connection. All other cancellations have a Cause.
	return CallerGone
}

// OfRequest returns why a request with the context ctx ended early, where attempt is the
// cause that ended its last attempt, which is at least as early as that of the request.
func OfRequest(ctx context.Context, attempt Cause) Cause {
	if attempt != None {
		return attempt
	}
	return Of(ctx)
}

// IsTimeout reports whether a request ended because its caller would not wait longer.
func (c Cause) IsTimeout() bool { return c == Stalled || c == Deadline }
