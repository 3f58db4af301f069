package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// Rollouts set a team's limit of requests in flight to a value within this range.
// The load never reaches the limit.
const (
	minTeamInFlight   = 1000
	teamInFlightRange = 200
)

// adapterName is an adapter without its version.
type adapterName struct {
	Team ident.Team
	Name string
}

// bundleContent is the part of the bundles that rollouts change.
type bundleContent struct {
	Version ident.BundleVersion
	// Versions is the number of versions of each adapter. They are numbered from 1.
	Versions    map[adapterName]int
	Current     map[adapterName]string
	MaxInFlight map[ident.Team]int
}

// firstVersions is the number of versions of each adapter in the first bundle.
const firstVersions = 2

func newContent(opts *Options) bundleContent {
	c := bundleContent{Version: 1, Versions: map[adapterName]int{}, Current: map[adapterName]string{}, MaxInFlight: map[ident.Team]int{}}
	for _, t := range opts.Teams {
		c.MaxInFlight[t.Name] = minTeamInFlight
		for i := range t.Adapters {
			n := adapterName{Team: t.Name, Name: workload.AdapterName(i)}
			c.Versions[n], c.Current[n] = firstVersions, workload.CurrentVersion
		}
	}
	return c
}

// next returns the content of the following bundle. In a randomly chosen team, one
// adapter gets a randomly chosen current version, one gets a new version, which
// becomes current, and the team gets a new limit. next also returns the new adapter
// version.
func (c bundleContent) next(opts *Options, rng *rand.Rand) (bundleContent, ident.Adapter) {
	out := bundleContent{Version: c.Version + 1, Versions: maps.Clone(c.Versions), Current: maps.Clone(c.Current), MaxInFlight: maps.Clone(c.MaxInFlight)}
	t := &opts.Teams[rng.IntN(len(opts.Teams))]
	out.MaxInFlight[t.Name] = minTeamInFlight + rng.IntN(teamInFlightRange)
	// Rollouts change the most popular adapters, which have the lowest indexes.
	changed := adapterName{Team: t.Name, Name: workload.AdapterName(rng.IntN(min(rolloutAdapters, t.Adapters)))}
	out.Current[changed] = strconv.Itoa(1 + rng.IntN(out.Versions[changed]))
	extended := adapterName{Team: t.Name, Name: workload.AdapterName(rng.IntN(min(rolloutAdapters, t.Adapters)))}
	out.Versions[extended]++
	out.Current[extended] = strconv.Itoa(out.Versions[extended])
	return out, ident.Adapter{Team: extended.Team, Name: extended.Name, Version: out.Current[extended]}
}

// rolloutAdapters is the number of adapters of a team that rollouts change.
const rolloutAdapters = 8

// text returns the bundle as text.
func (c bundleContent) text(opts *Options) string {
	var b strings.Builder
	b.WriteString(reviewersText())
	fmt.Fprintf(&b, "[bundle]\nversion = %d\n\n[deployment]\nname = %s\nstall_weight = %g\nbatch_weight = %g\n\n", c.Version, opts.Name, opts.StallWeight, opts.BatchWeight)
	for _, t := range opts.Teams {
		sum := sha256.Sum256([]byte(t.Key))
		fmt.Fprintf(&b, "[team %q]\nkey_sha256 = %s\nweight = %d\npriority = %s\nmax_in_flight = %d\nrate = 10000\n\n", t.Name, hex.EncodeToString(sum[:]), t.Weight, t.Priority, c.MaxInFlight[t.Name])
		for i := range t.Adapters {
			n := adapterName{Team: t.Name, Name: workload.AdapterName(i)}
			fmt.Fprintf(&b, "[adapter \"%s/%s\"]\nbase_model = %s\nversions = %s\ncurrent = %s\n\n", t.Name, n.Name, BaseModel, versionList(c.Versions[n]), c.Current[n])
		}
	}
	fmt.Fprintf(&b, "[service %q]\n\n[route \"%s/status\"]\nidempotent = true\n", opts.Service, opts.Service)
	return b.String()
}

func versionList(n int) string {
	list := make([]string, 0, n)
	for v := range n {
		list = append(list, strconv.Itoa(v+1))
	}
	return strings.Join(slices.Clip(list), ", ")
}
