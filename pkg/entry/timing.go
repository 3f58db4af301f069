package entry

import "time"

// timing holds the time limits of attempts. Tests shorten them.
type timing struct {
	// progress is the longest silence of a run. Endpoints send a frame every
	// second.
	progress time.Duration
	// doubt is the silence of a run after which its endpoint gets no new work if
	// another one can serve it.
	doubt time.Duration
	// revoke bounds one question whether an attempt ran.
	revoke time.Duration
	// revokeIdempotent bounds this question for a request that may be repeated
	// without the proof. A frozen endpoint does not reply, and the caller waits.
	revokeIdempotent time.Duration
	// poll is the interval of questions about a run that goes on.
	poll time.Duration
	// grace is the time after the deadline in which the endpoint's own verdict
	// still counts.
	grace time.Duration
	// bundleWait bounds the wait for the bundle that an endpoint already has.
	bundleWait time.Duration
	// bundlePoll is the interval at which the wait looks at the active bundle.
	bundlePoll time.Duration
}

var defaultTiming = timing{
	progress:         3 * time.Second,
	doubt:            1500 * time.Millisecond,
	revoke:           3 * time.Second,
	revokeIdempotent: time.Second,
	poll:             250 * time.Millisecond,
	grace:            250 * time.Millisecond,
	bundleWait:       2 * time.Second,
	bundlePoll:       10 * time.Millisecond,
}

const (
	// retryAfterCapacity is the advice to callers refused for lack of capacity.
	retryAfterCapacity = time.Second
	// retryAfterUnknown is the advice to callers that may repeat a request with
	// an unknown result.
	retryAfterUnknown = time.Second
	maxAttempts       = 4
)
