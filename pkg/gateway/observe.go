package gateway

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// observe records what the reply says about its server. It is called for each response that
// arrives on the connection of an attempt, before any decision on its status, also for one to
// another request.
func (g *Gateway) observe(x *exchange, reply *Reply) {
	e := x.endpoint
	if reply.Instance != "" && reply.Instance != e.ID {
		return // another server has taken over the address
	}
	g.recordBackoff(x, e, reply.Backoff)
	if reply.Leaving && e.Runtime.RecordLeaving() {
		g.metrics.leaving.Inc(1)
		g.log.For(logging.ComponentRoute).Info().
			Str("request", x.call.RequestID).
			Str("endpoint", string(e.ID)).
			Str("state", e.State.String()).
			Msg("server says that it leaves")
	}
}

// recordBackoff records and logs the time for which a server wants no requests.
func (g *Gateway) recordBackoff(x *exchange, e *fleet.Endpoint, b fleet.Backoff) {
	log := g.log.For(logging.ComponentRoute)
	if b.Malformed {
		log.Warn().
			Str("request", x.call.RequestID).
			Str("endpoint", string(e.ID)).
			Msg("server asks for a backoff that cannot be read")
	}
	if !b.Asked {
		return
	}
	g.metrics.backoffs.Inc(1)
	extended := e.Runtime.RecordBackoff(time.Now(), b)
	log.Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(e.ID)).
		Dur("backoff_ms", b.For).
		Dur("remaining_ms", max(time.Until(e.Runtime.BackoffUntil()), 0)).
		Bool("extended", extended).
		Msg("server asks for a backoff")
}
