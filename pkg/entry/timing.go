package entry

import "time"

// timing holds the timeouts and intervals of attempts. Tests use shorter ones.
type timing struct {
	// progressTimeout is the maximum time between two frames of an attempt.
	// Endpoints send a frame every second.
	progressTimeout time.Duration
	// suspicion is the time without a frame after which the endpoint of an attempt
	// is suspected to have failed. It then gets no new requests that another
	// endpoint can serve.
	suspicion time.Duration
	// revoke is the timeout of one Revoke call, which keeps an attempt that has not
	// started from running and otherwise returns its state.
	revoke time.Duration
	// revokeIdempotent is the timeout of a Revoke call for an idempotent request,
	// which may be retried without proof that the attempt did not run. A frozen
	// endpoint does not reply, and the caller waits in the meantime.
	revokeIdempotent time.Duration
	// pollInterval is the time between two Revoke calls for an attempt that is still
	// running.
	pollInterval time.Duration
	// deadlineGrace is the time after the deadline in which the endpoint's own
	// result is still accepted.
	deadlineGrace time.Duration
	// bundleWait limits the wait for a bundle that an endpoint already has.
	bundleWait time.Duration
	// bundlePollInterval is the interval at which the active bundle is checked during
	// bundleWait.
	bundlePollInterval time.Duration
}

var defaultTiming = timing{
	progressTimeout:    3 * time.Second,
	suspicion:          1500 * time.Millisecond,
	revoke:             3 * time.Second,
	revokeIdempotent:   time.Second,
	pollInterval:       250 * time.Millisecond,
	deadlineGrace:      250 * time.Millisecond,
	bundleWait:         2 * time.Second,
	bundlePollInterval: 10 * time.Millisecond,
}

const (
	// retryAfterCapacity is the Retry-After time of requests refused for lack of
	// capacity.
	retryAfterCapacity = time.Second
	// retryAfterUnknown is the Retry-After time of requests with an unknown result
	// that the caller may repeat.
	retryAfterUnknown = time.Second
	// maxAttempts is the largest number of attempts for one request.
	maxAttempts = 4
)
