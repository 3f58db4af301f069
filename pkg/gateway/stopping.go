package gateway

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// stopLatencyFactor is the multiple of a server's usual response time that must be left in a
// shutdown for an attempt there.
const stopLatencyFactor = 2

// stoppingFailure is the failure of a request that would not end before the shutdown does.
// Another entry can take it at once.
func stoppingFailure() *failure { return notRun("the entry is stopping", retryAfterStopping) }

// mayTake reports whether a request may be sent for the first time, as far as this is known
// before a server is chosen. During a shutdown, new streams are taken until the load balancer
// has noticed, because most of them end in time; any other request must end by its own time
// limit before it is cut off.
func (g *Gateway) mayTake(x *exchange) bool {
	if x.route.Kind == route.Streaming {
		return !g.closing.Load()
	}
	return g.limitFits(x)
}

// limitFits reports whether the time limit of a request ends before a shutdown cuts it off.
func (g *Gateway) limitFits(x *exchange) bool {
	cutOff := g.cutOff.Load()
	return cutOff == nil || !x.deadline.After(*cutOff)
}

// mayStart reports whether an attempt at the given server, or a wait for it, may begin now. An
// attempt that will be cut off costs its caller the time to go on at another entry.
func (g *Gateway) mayStart(x *exchange, e *fleet.Endpoint) bool {
	if !x.arrived && !g.mayTake(x) {
		return false
	}
	if g.limitFits(x) {
		return true
	}
	unknown := e.Runtime.Latency() == 0
	return unknown && !x.arrived || g.endsInTime(time.Now(), e)
}

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
