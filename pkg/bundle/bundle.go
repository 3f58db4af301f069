// Package bundle defines configuration bundles, the versioned configuration that
// operators roll out: their INI text, its validation, the compiled form that request
// goroutines read, and the signed root record and parts in which they are stored.
package bundle

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/credential"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Errors returned by Resolve.
var (
	ErrUnknownAdapter = errors.New("unknown adapter")
	ErrUnknownVersion = errors.New("unknown adapter version")
)

// Deployment holds the settings that apply to a whole deployment.
type Deployment struct {
	Name string
	// StallWeight and BatchWeight are the weights of load stalls and of batch
	// efficiency in scheduling and placement.
	StallWeight float64
	BatchWeight float64
	// RetryBudget is the largest allowed share of retries among all requests.
	RetryBudget float64
	// KeyRetention is how long an idempotency key is remembered.
	KeyRetention time.Duration
}

// TeamPolicy holds the limits and the scheduling weight of one team. The limits
// apply to the whole deployment.
type TeamPolicy struct {
	Team          ident.Team
	Weight        int
	Priority      ident.Priority
	MaxInFlight   int
	RatePerSecond float64
}

// Bundle is a compiled configuration bundle. It is immutable.
type Bundle struct {
	version    ident.BundleVersion
	deployment Deployment
	teams      map[ident.Team]TeamPolicy
	// keys has the API keys of the teams.
	keys     credential.Index[ident.Team]
	adapters index
	services map[string]bool
	// routes maps the route of a rule to whether its requests are idempotent.
	routes map[string]bool
	// reviewers maps the names of reviewers to their Ed25519 public keys.
	reviewers map[string][]byte
}

// Version returns the version of the bundle.
func (b *Bundle) Version() ident.BundleVersion { return b.version }

// Deployment returns the settings of the deployment.
func (b *Bundle) Deployment() Deployment { return b.deployment }

// Authenticate returns the team that owns the API key, or false for an unknown key.
func (b *Bundle) Authenticate(apiKey string) (ident.Team, bool) {
	return b.keys.Find(apiKey)
}

// Team returns the policy of a team, or false for an unknown team.
func (b *Bundle) Team(t ident.Team) (TeamPolicy, bool) {
	p, ok := b.teams[t]
	return p, ok
}

// Resolve returns the adapter, with its version, and the base model for a model name,
// which is team/adapter or team/adapter@version. A name without a version resolves to
// the current one. It returns ErrUnknownAdapter, ErrUnknownVersion, or the error of
// ident.ParseAdapter for a malformed name.
func (b *Bundle) Resolve(model string) (ident.Adapter, string, error) {
	a, err := ident.ParseAdapter(model)
	if err != nil {
		return ident.Adapter{}, "", err
	}
	rec, ok := b.adapters.find(string(a.Team), a.Name)
	if !ok {
		return ident.Adapter{}, "", ErrUnknownAdapter
	}
	base := b.adapters.bases[rec.base]
	set := &b.adapters.sets[rec.set]
	if a.Version == "" {
		a.Version = set.versions[set.current]
		return a, base, nil
	}
	if !slices.Contains(set.versions, a.Version) {
		return ident.Adapter{}, "", ErrUnknownVersion
	}
	return a, base, nil
}

// Reviewers returns the reviewers that the bundle defines, sorted by name.
func (b *Bundle) Reviewers() Reviewers {
	out := Reviewers{}
	for name, key := range b.reviewers {
		out = append(out, Reviewer{Name: name, Key: key})
	}
	slices.SortFunc(out, func(a, c Reviewer) int { return strings.Compare(a.Name, c.Name) })
	return out
}

// AdapterCount returns the number of adapters.
func (b *Bundle) AdapterCount() int { return len(b.adapters.records) }

// HasService reports whether the bundle defines the service.
func (b *Bundle) HasService(name string) bool { return b.services[name] }

// Idempotent reports whether requests of a route may be repeated. The rule with the
// longest matching path prefix applies. Without a rule, model routes are idempotent
// and service routes are not.
func (b *Bundle) Idempotent(route string) bool {
	for r := strings.Trim(route, "/"); r != ""; {
		if idempotent, ok := b.routes[r]; ok {
			return idempotent
		}
		i := strings.LastIndexByte(r, '/')
		if i < 0 {
			break
		}
		r = r[:i]
	}
	return isModelRoute(strings.Trim(route, "/"))
}

func isModelRoute(route string) bool {
	return route == "completions" || route == "chat/completions"
}
