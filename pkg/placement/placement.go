// Package placement chooses the endpoint for an attempt. Filters drop the endpoints
// that cannot serve it, scorers rank the others, and a picker chooses one of them.
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
	// ErrNoEndpoint means that no endpoint can serve the request at present.
	ErrNoEndpoint = errors.New("no endpoint can serve the request")
	// ErrQueueFull means that the queues of all eligible endpoints are full.
	ErrQueueFull = errors.New("the queues of all endpoints are full")
	// ErrDeadline means that no endpoint can start the request before its deadline.
	ErrDeadline = errors.New("the deadline cannot be met")
)

// StaleAfter is the maximum age of the last status report of an endpoint. An endpoint
// with an older report is not used.
const StaleAfter = 6 * time.Second

// Request describes the request that an endpoint is chosen for.
type Request struct {
	Now     time.Time
	Kind    fescuev1.EndpointKind
	Backend string
	// Adapter is zero for requests that need no adapter.
	Adapter ident.Adapter
	Zone    ident.AvailabilityZone
	// Excluded holds the endpoints that refused an earlier attempt or on which an
	// earlier attempt was lost.
	Excluded []ident.EndpointID
	// Prefix is a hash of the first part of the prompt, or 0 if there is none.
	Prefix uint64
	// EngineVersion is the version that the engine must have, or nil if any will do.
	EngineVersion *ident.EngineVersion
	// Remaining is the time until the deadline, or 0 if there is no deadline.
	Remaining time.Duration
}

// Candidate is an endpoint that is considered for a request, with the values that
// the scorers use.
type Candidate struct {
	*membership.Endpoint
	// Rank is the position of the endpoint in the order of rendezvous hashes for the
	// adapter. Endpoints with a rank of at least Preferred are used only for
	// spill-over.
	Rank int
	// Preferred is the number of preferred endpoints for the adapter.
	Preferred int
	Resident  bool
	Loading   bool
	// Load is the estimated number of requests at the endpoint per batch position.
	Load float64
	// Wait is the estimated time that the request would spend in the queue.
	Wait time.Duration
	// ExpectedMisses is the expected number of requests, within evictionHorizon, for
	// the adapter that a load would evict. It is 0 if a slot is free and infinite if
	// every slot is in use.
	ExpectedMisses float64
	// LoadBound is the load above which the endpoint loses its preference, so that
	// requests spill over to other endpoints.
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

// Scorer rates a candidate between 0 and 1. Higher is better.
type Scorer interface {
	Name() string
	Score(r *Request, c *Candidate) float64
}

// Picker returns the index of the chosen candidate. scored must not be empty.
type Picker interface {
	Name() string
	Pick(r *Request, scored []ScoredCandidate) int
}

// Decision is the chosen endpoint with the details that are logged.
type Decision struct {
	Endpoint   *membership.Endpoint
	Reason     string
	Score      float64
	Candidates int
}

// Policy chooses endpoints for requests. It is safe for concurrent use. Place
// returns ErrNoEndpoint, ErrQueueFull or ErrDeadline if no endpoint can serve the
// request.
type Policy interface {
	Name() string
	Place(r *Request, s *membership.Snapshot) (Decision, error)
}

// Configurable is implemented by policies that depend on the active bundle.
type Configurable interface{ ApplyConfig(d bundle.Deployment) }

// reason returns why a candidate was chosen, for the log.
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
