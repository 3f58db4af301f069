package gateway

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// stopLatencyFactor is the multiple of a server's usual response time that must be left in a
// shutdown for another attempt there.
const stopLatencyFactor = 2

// endsInTime reports whether a response that begins at the given time will probably have ended
// before a shutdown of this entry cuts it off.
func (g *Gateway) endsInTime(start time.Time, e *fleet.Endpoint) bool {
	cutOff := g.cutOff.Load()
	if cutOff == nil {
		return true
	}
	usual := e.Runtime.Latency()
	return usual > 0 && start.Add(stopLatencyFactor*usual).Before(*cutOff)
}
