package demo

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/endpoint"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
)

// Policy names the settings of entries and endpoints that control placement, adapter
// eviction, load permits and queue order. An empty field means the default.
type Policy struct {
	Name      string
	Placement string
	Eviction  string
	Permits   string
	Queue     string
}

// DefaultPolicy is the name of the policy that a deployment uses.
const DefaultPolicy = "default"

// policies are the default policy and the baselines with which it is compared.
// Baselines evict the least recently used adapter, load without permits and, with
// random placement, queue requests in order of arrival.
var policies = []Policy{
	{Name: DefaultPolicy},
	{Name: "random", Placement: placement.NameRandom, Eviction: endpoint.EvictionLRU, Permits: endpoint.PermitsNone, Queue: endpoint.QueueFIFO},
	{Name: "least-loaded", Placement: placement.NameLeastLoaded, Eviction: endpoint.EvictionLRU, Permits: endpoint.PermitsNone},
	{Name: "hash", Placement: placement.NameHash, Eviction: endpoint.EvictionLRU, Permits: endpoint.PermitsNone},
}

// FindPolicy returns the policy with the given name.
func FindPolicy(name string) (Policy, error) {
	var names []string
	for _, p := range policies {
		if p.Name == name {
			return p, nil
		}
		names = append(names, p.Name)
	}
	return Policy{}, errors.Newf("unknown policy %q; valid policies are %s", name, strings.Join(names, ", "))
}

// FindPolicies returns the policies in a comma-separated list of names.
func FindPolicies(list string) ([]Policy, error) {
	var out []Policy
	for name := range strings.SplitSeq(list, ",") {
		p, err := FindPolicy(strings.TrimSpace(name))
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}
