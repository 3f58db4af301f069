package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

const (
	// keyWait is how long a request with an unknown key waits for a newer configuration. A
	// sidecar answers within a few milliseconds.
	keyWait = 300 * time.Millisecond
	// maxKeyWaiters limits the requests that wait at the same time, so that callers with wrong
	// keys cannot fill the memory of an entry that lacks a configuration.
	maxKeyWaiters = 64
	// retryAfterOutdated is the Retry-After value while the configuration may be outdated.
	retryAfterOutdated = 500 * time.Millisecond
)

// authFilter finds the team that holds the API key of a request, before the body is read. It
// refuses requests without a valid key, except on open routes.
type authFilter struct {
	g *Gateway
	// waiters counts the requests that wait for a newer configuration.
	waiters *atomic.Int32
}

func (f authFilter) do(ctx context.Context, x *exchange, next next) *failure {
	if !x.table.Keyed() {
		return next(ctx, x)
	}
	x.team = x.table.Team(x.call.APIKey)
	if x.team != nil || x.route.Open {
		return next(ctx, x)
	}
	if x.call.APIKey == "" {
		f.g.metrics.missingKeys.Inc(1)
		return rejected(http.StatusUnauthorized, "the request has no API key")
	}
	return f.unknown(ctx, x, next)
}

// unknown handles a request with a key that the configuration lacks. A newer one may have it:
// an entry that has lost touch with the store or with what sidecars report does not answer
// that the key is wrong, because callers do not try again then.
func (f authFilter) unknown(ctx context.Context, x *exchange, next next) *failure {
	f.awaitNewerConfig(ctx, x)
	if newer := f.g.control.snapshot.Load().Table; newer != x.table {
		x.team = newer.Team(x.call.APIKey)
	}
	switch {
	case x.team != nil:
		return next(ctx, x)
	case f.g.control.relay.mayLackItems():
		f.g.metrics.undecidedKeys.Inc(1)
		return notRun("the API key is unknown here, and the configuration may be outdated", retryAfterOutdated)
	default:
		f.g.metrics.unknownKeys.Inc(1)
		return rejected(http.StatusUnauthorized, "the API key is not valid")
	}
}

// awaitNewerConfig waits a short time for a configuration that sidecars have reported and that
// the entry lacks, unless too many requests wait for it.
func (f authFilter) awaitNewerConfig(ctx context.Context, x *exchange) {
	if _, behind := f.g.control.relay.behind(); !behind {
		return
	}
	waiters := f.waiters.Add(1)
	defer f.waiters.Add(-1)
	if waiters > maxKeyWaiters {
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, keyWait)
	defer cancel()
	f.g.control.relay.await(ctx)
	f.g.log.For(logging.ComponentRoute).Info().
		Str("request", x.call.RequestID).
		Dur("took_ms", time.Since(began)).
		Msg("waited for a newer configuration because of an unknown API key")
}
