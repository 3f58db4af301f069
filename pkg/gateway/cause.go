package gateway

import (
	"context"

	"github.com/cockroachdb/errors"
)

// endCause is why an attempt or a request ended before its response was complete. It
// is the cancellation cause of its context, so the first cause counts if several
// occur. In particular, all timers that are due fire together after a suspension of
// the process.
type endCause uint8

const (
	// causeNone means that nothing has ended the attempt or the request early.
	causeNone endCause = iota
	// causeCallerGone means that the caller has closed the connection or its sending
	// side.
	causeCallerGone
	// causeServerLost means that the server is down or has been silent for too long.
	causeServerLost
	// causeStalled means that the next event of a stream did not arrive before the
	// caller would have disconnected.
	causeStalled
	// causeDeadline means that the time limit of the request has passed.
	causeDeadline
	// causeStopped means that the entry has ended the request because it shuts down.
	causeStopped
)

// String returns the value of the cause in log lines.
func (c endCause) String() string {
	switch c {
	case causeNone:
		return "none"
	case causeCallerGone:
		return "caller-gone"
	case causeServerLost:
		return "server-lost"
	case causeStalled:
		return "stalled"
	case causeDeadline:
		return "deadline"
	case causeStopped:
		return "stopped"
	default:
		return "unknown"
	}
}

// Error makes endCause usable as the cause of a cancellation.
func (c endCause) Error() string { return "ended early: " + c.String() }

// causeOf returns the first cause that has ended ctx, or causeNone.
func causeOf(ctx context.Context) endCause {
	err := context.Cause(ctx)
	if err == nil {
		return causeNone
	}
	var c endCause
	if errors.As(err, &c) {
		return c
	}
	// net/http cancels the context of a request without a cause when its caller closes
	// the connection. All other cancellations have an endCause.
	return causeCallerGone
}

// isTimeout reports whether a request ended because its caller would not wait longer.
func (c endCause) isTimeout() bool { return c == causeStalled || c == causeDeadline }
