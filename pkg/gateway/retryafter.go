package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// returnSpread is the time over which callers return after a backoff, so that a server does not
// get all of them at once.
const returnSpread = time.Second

// nextAvailable returns the time after which one of the servers may take a request.
func nextAvailable(now time.Time, endpoints []*fleet.Endpoint) time.Duration {
	earliest := time.Duration(0)
	for _, e := range endpoints {
		if wait := availableIn(now, e); wait > 0 && (earliest == 0 || wait < earliest) {
			earliest = wait
		}
	}
	if earliest == 0 {
		return retryAfterCapacity
	}
	return earliest
}

// availableIn returns the time after which a server may take a request, or 0 if it does not
// return.
func availableIn(now time.Time, e *fleet.Endpoint) time.Duration {
	if e.State != fleet.Ready || e.Runtime.Leaving() {
		return 0
	}
	permit := e.Runtime.ThrottledUntil().Sub(now)
	backoff := e.Runtime.BackoffUntil().Sub(now)
	switch {
	case backoff > 0:
		return max(permit, backoff+rand.N(returnSpread))
	case permit > 0:
		return permit
	default:
		return spread(retryAfterCapacity)
	}
}
