package gateway

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// recordLimit records what a response says about the limit of its server, and logs a
// change.
func (g *Gateway) recordLimit(x *exchange, n fleet.NamedLimit) {
	e := x.endpoint
	if n.Malformed {
		g.log.For(logging.ComponentRoute).Warn().
			Str("request", x.call.RequestID).
			Str("endpoint", string(e.ID)).
			Msg("server names a limit that cannot be read")
	}
	if !e.Runtime.RecordLimit(time.Now(), n) {
		return
	}
	perSecond, _ := e.Runtime.Limit()
	g.log.For(logging.ComponentRoute).Info().
		Str("request", x.call.RequestID).
		Str("endpoint", string(e.ID)).
		Bool("limited", n.Named).
		Float("limit_per_s", perSecond).
		Msg("limit of a server changed")
}
