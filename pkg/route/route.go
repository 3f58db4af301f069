// Package route holds the operator's configuration of routes: which service serves a
// host and path, how often a request may be attempted and how long it may take.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuecourse/fescuecourse/pkg/credential"
)

// Kind is the kind of a route, which determines whether its requests may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming responses consist of events. Their requests are repeated only by
	// resuming the stream.
	Streaming
)

// String returns the name of the kind used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Streaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// WeightedService is one of the services among which a route splits its requests, by
// weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is a rule of the operator for the requests to one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Services lists the services that serve the route. There is at least one.
	Services []WeightedService
	// Timeout is the longest time that a request may take, or 0 for no limit.
	Timeout time.Duration
	// TargetLatency is the time within which a response must arrive to count in full.
	TargetLatency time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is the number of endpoints to which one request may be sent.
	MaxAttempts int
	// Resumable means that a stream may continue at another endpoint after a given event
	// id.
	Resumable bool
	// MaxEventGap is the longest gap between two events of a response that counts as in
	// time.
	MaxEventGap time.Duration
	// Open means that requests need no API key, also if the configuration has teams.
	Open bool
}

// Model is a base model of a service.
type Model struct {
	Name     string
	WeightMB float64
	// LoadTime is the duration of a load from the weight store while no other load runs.
	LoadTime time.Duration
	// Adapters is the number of adapters that exist for the model.
	Adapters  int
	AdapterMB float64
}

// Engine describes the model servers of a service. Fields ending in MB are in
// megabytes.
type Engine struct {
	// Slots is the number of requests that a server runs in one batch.
	Slots int
	// CacheTokens is the size of a server's KV cache in tokens.
	CacheTokens int
	Models      []Model
	// WeightMB is the limit for the total size of the model weights and adapters that a
	// server holds in memory.
	WeightMB float64
	// MaxAdapters is the limit for the number of adapters that a server has loaded or is
	// loading.
	MaxAdapters int
	// LoadsPerSecond is the rate of model loads that the weight store allows.
	LoadsPerSecond float64
}

// Model returns the model of the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that each endpoint accepts.
	MaxConnections int
	// Engine is nil for services without models.
	Engine *Engine
}

// Limits holds the limits on the connections and requests of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams lists the teams whose API keys authenticate requests. Without teams, requests
	// need no key.
	Teams []Team
}

// Table is a Config with indexes for lookups. It is immutable.
type Table struct {
	Config
	hosts    map[string][]*Route
	services map[string]*Service
	keys     credential.Index[*Team]
}

// Compile returns the table of a configuration.
func Compile(c Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Teams {
		for _, key := range t.Teams[i].Keys {
			t.keys.Add(key, &t.Teams[i])
		}
	}
	return t
}

// Find returns the route of the given host with the longest prefix that path starts
// with, or nil if there is none. A port in host is ignored.
func (t *Table) Find(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	var best *Route
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Team returns the team that holds an API key, or nil for an unknown key.
func (t *Table) Team(apiKey string) *Team {
	team, _ := t.keys.Find(apiKey)
	return team
}

// Keyed reports whether requests need an API key, except on open routes.
func (t *Table) Keyed() bool { return len(t.Teams) > 0 }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Serves reports whether a service serves the route.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service })
}

// PickService returns the name of the service for a request. It depends on a hash of
// the request id, so that requests are split by the weights of the services. The hash is
// the same in all processes: a stream that is resumed at another entry stays with its
// service.
func (r *Route) PickService(requestID string) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	const steps = 1 << 24
	point := total * float64(xxhash.Sum64String(requestID)%steps) / steps
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}
