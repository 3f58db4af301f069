package locality

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Limits of the choice among plain endpoints.
const (
	// firstLatency stands in for the latency of an endpoint that has not answered.
	firstLatency = 20 * time.Millisecond
	// failureFactor multiplies the score for each recent failure.
	failureFactor = 2.0
	// remoteFactor multiplies the score of endpoints in another zone.
	remoteFactor = 1.25
)

// ChoosePlain returns the endpoint of a plain service with the lowest expected
// time of an answer, or nil. Ties are broken by spread, which differs between
// requests, so that entries do not all choose the same endpoint.
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
		latency = firstLatency
	}
	slots := float64(max(e.Slots, 1))
	score := float64(latency+e.WarmupRemaining) * (1 + float64(e.Runtime.InFlight.Load())*2/slots)
	score *= 1 + failureFactor*e.Runtime.Failures(r.Now)
	if e.Zone != r.Zone {
		score *= remoteFactor
	}
	return score
}
