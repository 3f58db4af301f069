package placement

import (
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// Results of firstRejection. All but notRejected are indexes of filters in
// defaultFilters. Index 0, the filter for the backend, is left out because all
// endpoints of a group pass it.
const (
	rejectedByState = iota + 1
	rejectedByStale
	rejectedByExcluded
	rejectedByEngineVersion
	rejectedByAdapter
	rejectedByQueue
	rejectedByDeadline
	notRejected
)

// scan returns candidates for the endpoints of a group that pass the default
// filters. The result is the same as that of the filters over candidates for the
// whole group, but scan builds candidates only for the endpoints that pass. This
// matters for refusals, which look at every endpoint.
func scan(out []Candidate, r *Request, s *membership.Snapshot, g *membership.Group) ([]Candidate, error) {
	mean := g.ServiceTime.Mean()
	furthest := 0
	for _, slot := range g.Slots {
		e := s.At(slot)
		o := firstRejection(r, e, mean)
		furthest = max(furthest, o)
		if o == notRejected {
			out = append(out, candidate(r, e, g, maxPreferred, 1))
		}
	}
	if furthest < notRejected {
		return out, defaultFilters[furthest].err
	}
	return out, nil
}

// firstRejection returns the index of the first default filter that rejects an
// endpoint of the right backend, or notRejected.
func firstRejection(r *Request, e *membership.Endpoint, mean time.Duration) int {
	switch {
	case e.State != fescuev1.EndpointState_ENDPOINT_STATE_READY:
		return rejectedByState
	case r.Now.Sub(e.ReportedAt) > StaleAfter:
		return rejectedByStale
	case len(r.Excluded) > 0 && slices.Contains(r.Excluded, e.ID):
		return rejectedByExcluded
	case r.EngineVersion != nil && e.EngineVersion != *r.EngineVersion:
		return rejectedByEngineVersion
	case !e.CanLoad && !r.Adapter.IsZero() && !e.Holds(r.Adapter):
		return rejectedByAdapter
	case e.QueueCapacity > 0 && e.Queued >= e.QueueCapacity:
		return rejectedByQueue
	case r.Remaining > 0 && queueWait(e, mean) >= r.Remaining:
		return rejectedByDeadline
	}
	return notRejected
}

// queueWait estimates the time that a new request spends in the queue, from the mean
// service time. Requests that wait for a load are not counted, because they occupy
// no position.
func queueWait(e *membership.Endpoint, mean time.Duration) time.Duration {
	positions := float64(max(e.PositionsTotal, 1))
	return time.Duration(float64(e.Queued-e.WaitingForLoad) / positions * float64(mean))
}
