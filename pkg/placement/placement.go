// Package placement chooses the endpoint for an attempt: filters drop endpoints
// that cannot serve it, scorers rank the rest, a picker takes one.
package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// Errors returned by Place.
var (
	// ErrNoEndpoint means that no endpoint can serve the request now.
	ErrNoEndpoint = errors.New("no endpoint can serve the request")
	// ErrQueueFull means that the queues of all eligible endpoints are full.
	ErrQueueFull = errors.New("the queues of all endpoints are full")
	// ErrDeadline means that no endpoint can start the request before its deadline.
	ErrDeadline = errors.New("the deadline cannot be met")
)

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
	// Prefix is a hash of the first part of the prompt, or 0.
	Prefix uint64
	// Remaining is the time left until the deadline, or 0 if there is none.
	Remaining time.Duration
}

// Candidate is an endpoint under consideration.
type Candidate struct {
	*membership.Endpoint
	// Rank is the position among the preferred endpoints of the adapter; values
	// of at least Preferred are spill-over.
	Rank int
	// Preferred is the number of preferred endpoints of the adapter.
	Preferred int
	Resident  bool
	Loading   bool
	// Load is the estimated number of requests per batch position.
	Load float64
	// Wait is the estimated time in the queue.
	Wait time.Duration
	// ExpectedMisses is the expected number of requests for the adapter that a load would
	// evict, within evictionHorizon. It is 0 if a slot is free and infinite if every
	// slot is in use.
	ExpectedMisses float64
	// LoadBound is the load above which another endpoint is preferred.
	LoadBound float64
}

// ScoredCandidate is a candidate with its weighted score.
type ScoredCandidate struct {
	*Candidate
	Score float64
}

// Filter drops candidates. It may reuse the storage of in.
type Filter interface {
	Name() string
	Filter(r *Request, in []Candidate) []Candidate
}

// Scorer rates a candidate between 0 and 1.
type Scorer interface {
	Name() string
	Score(r *Request, c *Candidate) float64
}

// Picker returns the index of the chosen candidate. scored is not empty.
type Picker interface {
	Name() string
	Pick(r *Request, scored []ScoredCandidate) int
}

// Decision is the result with the figures for the log line.
type Decision struct {
	Endpoint   *membership.Endpoint
	Reason     string
	Score      float64
	Candidates int
}

// Policy places requests. It is safe for concurrent use.
type Policy interface {
	Name() string
	Place(r *Request, s *membership.Snapshot) (Decision, error)
}

// Configurable is a policy that depends on the bundle.
type Configurable interface{ ApplyConfig(d bundle.Deployment) }

// reason says why a candidate was chosen.
func reason(r *Request, c *Candidate) string {
	switch {
	case r.Adapter.IsZero():
		return "least loaded"
	case c.Resident:
		return "adapter resident"
	case c.Loading:
		return "adapter loading"
	case c.Rank < c.Preferred:
		return "preferred endpoint"
	default:
		return "spill-over"
	}
}
