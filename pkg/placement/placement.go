// Package placement chooses the endpoint for an attempt: filters drop endpoints
// that cannot serve it, scorers rank the rest, a picker takes one.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// ErrNoEndpoint means that no endpoint can serve the request now.
var ErrNoEndpoint = errors.New("no endpoint can serve the request")

// StaleAfter is the age of a report after which an endpoint is not used.
const StaleAfter = 6 * time.Second

// Request is what a placement decision needs to know about a request.
type Request struct {
	Now     time.Time
	Kind    fescuev1.EndpointKind
	Backend string
	// Adapter is zero for requests that need none.
	Adapter ident.Adapter
	Zone    ident.AvailabilityZone
	// Excluded are endpoints that have refused or lost an earlier attempt.
	Excluded []ident.EndpointID
}

// Candidate is an endpoint under consideration.
type Candidate struct{ *membership.Endpoint }

// Decision is the result with the reason for the log line.
type Decision struct {
	Endpoint *membership.Endpoint
	Reason   string
}

// Policy places requests.
type Policy interface {
	Name() string
	Place(r *Request, s *membership.Snapshot) (Decision, error)
}

// Affinity prefers endpoints that hold the adapter, then the endpoint with the
// highest rendezvous hash, weighed against load.
type Affinity struct{}

// Name implements Policy.
func (Affinity) Name() string { return "affinity" }

// Place implements Policy.
func (Affinity) Place(r *Request, s *membership.Snapshot) (Decision, error) {
	var best Decision
	var bestScore float64
	for _, e := range s.Endpoints {
		if !Eligible(r, e) {
			continue
		}
		score, reason := score(r, e)
		if best.Endpoint == nil || score > bestScore {
			best, bestScore = Decision{Endpoint: e, Reason: reason}, score
		}
	}
	if best.Endpoint == nil {
		return best, ErrNoEndpoint
	}
	return best, nil
}

// Eligible reports whether an endpoint can serve the request at all.
func Eligible(r *Request, e *membership.Endpoint) bool {
	if e.Kind != r.Kind || e.Backend != r.Backend || e.State != fescuev1.EndpointState_ENDPOINT_STATE_READY {
		return false
	}
	if r.Now.Sub(e.ReportedAt) > StaleAfter {
		return false
	}
	for _, id := range r.Excluded {
		if id == e.ID {
			return false
		}
	}
	return true
}

func score(r *Request, e *membership.Endpoint) (float64, string) {
	load := float64(max(e.Load.InFlight(), int64(e.PositionsUsed+e.Queued))) / float64(max(e.PositionsTotal, 1))
	switch {
	case r.Adapter.IsZero():
		return -load, "least loaded"
	case e.Holds(r.Adapter):
		return 2 - load, "adapter resident"
	case e.IsLoading(r.Adapter):
		return 1.5 - load, "adapter loading"
	default:
		return Rendezvous(r.Adapter.String(), string(e.ID)) - load, "preferred endpoint"
	}
}

// Rendezvous returns the rendezvous weight of a node for a key, in [0, 1).
func Rendezvous(key, node string) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(node)
	return float64(d.Sum64()>>11) / (1 << 53)
}
