// Package route holds the operator's routes: which service answers a host and a
// path, how often a request may be tried and how long it may take.
package route

import (
	"hash/maphash"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming responses are series of events. They are repeated only by resuming.
	Streaming
)

// String returns the name used in logs.
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

// WeightedService is one of the services of a split route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is one rule of the operator.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Services are the services that answer. There is at least one.
	Services []WeightedService
	// Timeout bounds the time that a request is kept waiting. Zero means none.
	Timeout time.Duration
	// TargetLatency is the time within which a response earns its full value.
	TargetLatency time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Resumable streams may continue at another endpoint after an event id.
	Resumable bool
	// MaxEventGap is the longest pause between the events of a response in time.
	MaxEventGap time.Duration
}

// Model is a base model of a service.
type Model struct {
	Name     string
	WeightMB float64
	// LoadTime is the time that a load from the weight store takes alone.
	LoadTime time.Duration
	// Adapters is the number of adapters that exist.
	Adapters  int
	AdapterMB float64
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that a server runs in one batch.
	Slots int
	// CacheTokens is the size of a server's KV cache.
	CacheTokens int
	Models      []Model
	// WeightMB bounds the weights and adapters that a server holds together.
	WeightMB float64
	// MaxAdapters bounds the adapters that a server holds or fetches.
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

// Limits bound what callers may send.
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
}

// Table is a compiled Config. It is immutable.
type Table struct {
	Config
	hosts    map[string][]*Route
	services map[string]*Service
}

// Compile indexes a configuration.
func Compile(c Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	return t
}

// Find returns the route with the longest prefix of path among those of host, or
// nil. A port in host is ignored.
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

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

var splitSeed = maphash.MakeSeed()

// PickService chooses the service of a request by the weights of the route.
func (r *Route) PickService(requestID string) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	const steps = 1 << 24
	point := total * float64(maphash.String(splitSeed, requestID)%steps) / steps
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}
