// Package gateway is the entry role for routed traffic: it takes requests by host
// and path, chooses an endpoint for each, sends it there itself and relays the
// response. The wire format of headers and stored items is behind interfaces.
package gateway

import (
	"net/http"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
)

// Call is what a request's headers say.
type Call struct {
	RequestID string
	// MaxWait is how long the caller waits. Zero means that it does not say.
	MaxWait time.Duration
	// Key names the model and the adapter. Its model is empty for plain requests.
	Key             fleet.AdapterKey
	Prefix          []locality.Part
	PromptTokens    int
	MaxOutputTokens int
	// LastEventID is the event after which a stream goes on, or empty.
	LastEventID string
}

// Attempt is what the gateway adds to a request for one endpoint.
type Attempt struct {
	Endpoint fleet.ID
	// Remaining is the time that the endpoint may take.
	Remaining time.Duration
	// Version is the version of the adapter that must answer, or 0 for any.
	Version int
	// Priority ranks model requests; 0 is the most urgent.
	Priority int
	// LastEventID is the event after which the stream goes on, or empty.
	LastEventID string
	// FetchFrom is the address of a server that has kept parts of the prompt.
	FetchFrom string
}

// Reply is what a response's headers say.
type Reply struct {
	// NotRun means that the endpoint did not run the request and never will.
	NotRun bool
	// FromPlatform means that the response comes from a server of the platform.
	FromPlatform bool
	// Instance is the endpoint that answered, if it says so.
	Instance fleet.ID
}

// Headers reads and writes the headers of the platform.
type Headers interface {
	// Call reads a caller's request.
	Call(h http.Header) (Call, error)
	// Forward returns the headers for an endpoint.
	Forward(h http.Header, a *Attempt) http.Header
	// Mine reports whether a response belongs to the request with the given id.
	Mine(h http.Header, requestID string) bool
	// Reply reads a response.
	Reply(status int, h http.Header) Reply
	// ReadyPath is the path of the readiness check.
	ReadyPath() string
}

// Catalog decodes the store's items.
type Catalog interface {
	// Prefix is that of all keys which the entry follows.
	Prefix() string
	// EndpointID returns the endpoint that a key belongs to, or false if the key is
	// not that of an endpoint.
	EndpointID(key string) (fleet.ID, bool)
	Endpoint(p kv.Pair) (fleet.Endpoint, error)
	Operator(p kv.Pair) (fleet.OperatorItem, error)
}
