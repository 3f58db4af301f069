// Package gateway implements the entry process for routed traffic. It matches each
// request to a route by host and path, chooses an endpoint, sends the request there
// and relays the response. The Headers and Catalog interfaces hide the formats of the
// HTTP headers and of the items in the key-value store.
package gateway

import (
	"net/http"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
)

// Call holds the fields parsed from the headers of a caller's request.
type Call struct {
	RequestID string
	// MaxWait is how long the caller waits for the response, or 0 if the headers do not
	// say.
	MaxWait time.Duration
	// Key identifies the model and the adapter. Key.Model is empty for requests that do
	// not need a model.
	Key             fleet.AdapterKey
	Prefix          []locality.Part
	PromptTokens    int
	MaxOutputTokens int
	// LastEventID is the id of the event after which the stream continues, or empty.
	LastEventID string
	// Resumes is the id of the request whose response brought the first event of the
	// resumed stream, or empty if the headers do not say.
	Resumes string
	// APIKey is the API key of the caller, or empty if the headers have none.
	APIKey string
}

// Attempt holds what the gateway adds to the headers of a request for one endpoint.
type Attempt struct {
	Endpoint fleet.ID
	// Remaining is the time left for the endpoint to respond.
	Remaining time.Duration
	// Version is the version of the adapter, or of the base model's weights for a request
	// without an adapter, that must serve the request, or 0 for any.
	Version int
	// Priority is the priority of a model request; 0 is the most urgent.
	Priority int
	// LastEventID is the id of the event after which the stream continues, or empty.
	LastEventID string
	// FetchFrom is the address of a server that has parts of the prompt in its cache, or
	// empty.
	FetchFrom string
	// Team is the team of the caller, or empty if the request belongs to none.
	Team ident.Team
	// HideAPIKey means that the endpoint must not see the API key of the caller.
	HideAPIKey bool
}

// Reply holds the fields parsed from the headers of a response.
type Reply struct {
	// NotRun means that the endpoint did not run the request and never will.
	NotRun bool
	// FromPlatform means that the response comes from a server of the platform, not from
	// another process at its address.
	FromPlatform bool
	// Instance is the id of the endpoint that sent the response, or empty if the headers
	// do not say.
	Instance fleet.ID
	// WeightsVersion is the version of the base model's weights that the response names,
	// or 0 if it names none.
	WeightsVersion int
	// Limit is what the response says about the limit of the server.
	Limit fleet.NamedLimit
	// Backoff is what the response says about the time for which the server wants no
	// requests.
	Backoff fleet.Backoff
	// Leaving means that the server leaves and takes no new requests.
	Leaving bool
}

// Headers parses and writes the platform's HTTP headers.
type Headers interface {
	// Call parses the headers of a caller's request. The text of the error is returned
	// to the caller.
	Call(h http.Header) (Call, error)
	// Forward returns the headers to send to an endpoint: those of the caller, changed
	// for the attempt.
	Forward(h http.Header, a *Attempt) http.Header
	// ResponseID returns the id of the request that a response names, or an empty string if it
	// names none.
	ResponseID(h http.Header) string
	// Reply parses the status and the headers of a response.
	Reply(status int, h http.Header) Reply
	// ReadyPath returns the URL path of the readiness check.
	ReadyPath() string
}

// Catalog decodes items of the key-value store.
type Catalog interface {
	// Prefix returns the prefix of all keys that the entry watches.
	Prefix() string
	// OperatorPrefix returns the prefix of the keys of the operator's items.
	OperatorPrefix() string
	// EndpointID returns the id of the endpoint that a key belongs to, or false if the
	// key does not belong to an endpoint.
	EndpointID(key string) (fleet.ID, bool)
	// Endpoint decodes the item of an endpoint.
	Endpoint(p kv.Pair) (fleet.Endpoint, error)
	// Operator decodes an item of the operator. The result is empty if the entry does
	// not use items with this key.
	Operator(p kv.Pair) (fleet.OperatorItem, error)
}
