package locality

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Parameters of the choice among plain endpoints, which are those of services without
// models.
const (
	// defaultLatency is used for an endpoint that has not responded yet.
	defaultLatency = 20 * time.Millisecond
	// failureFactor is the increase of the score for each recent failure, relative to
	// the score without failures.
	failureFactor = 2.0
	// remoteZoneFactor multiplies the score of endpoints in another availability zone.
	remoteZoneFactor = 1.25
)

// ChoosePlain returns the endpoint of a service without models that has the lowest
// expected response time, or nil if none is usable. The search starts at the index
// spread modulo the number of endpoints. Callers pass a different value for each
// request, so that requests are spread over endpoints with equal scores.
func ChoosePlain(r *Request, endpoints []*fleet.Endpoint, spread uint64) *fleet.Endpoint {
	var best *fleet.Endpoint
	bestScore := 0.0
	n := uint64(len(endpoints))
	for i := range endpoints {
		e := endpoints[(uint64(i)+spread)%n]
		if !usable(r, e) {
			continue
		}
		score := plainScore(r, e)
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

func plainScore(r *Request, e *fleet.Endpoint) float64 {
	latency := e.Runtime.Latency()
	if latency == 0 {
		latency = defaultLatency
	}
	slots := float64(max(e.Slots, 1))
	score := float64(latency+e.WarmupRemaining) * (1 + float64(e.Runtime.InFlight.Load())*2/slots)
	score *= 1 + failureFactor*e.Runtime.Failures(r.Now)
	if e.Zone != r.Zone {
		score *= remoteZoneFactor
	}
	return score
}
