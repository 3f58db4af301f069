// Package locality chooses the model server for a request by the adapters that the
// servers have loaded, the prompt prefixes in their caches, and the prompt tokens
// that wait to be processed at each of them.
package locality

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Part is one part of a prompt. Parts with the same id are shared between requests.
type Part struct {
	ID     string
	Tokens int
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Now time.Time
	Key fleet.AdapterKey
	// Version is the lowest version of the adapter that may serve the request, or 0 for
	// any.
	Version int
	// Upcoming is the lowest version that may serve requests after RenewalLead. It is
	// higher than Version while a new version is about to be required. For a base model
	// it is the newest version of the weights, which no request requires.
	Upcoming int
	// Reloading lists the servers that are to become idle and reload their base model.
	Reloading []fleet.ID
	// SoftwareVersion is the software version of the servers that may take the request, or
	// nil for any.
	SoftwareVersion *string
	Prefix          []Part
	// PromptTokens is the length of the whole prompt in tokens.
	PromptTokens int
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	Zone     string
	// Excluded lists the endpoints that failed or refused this request.
	Excluded []fleet.ID
	// Outdated lists the status reports that a server's refusal of this request has shown
	// to be outdated. Such a server does not count as holding the adapter until it reports
	// again.
	Outdated []*fleet.Status
	// NoSource means that no cached parts of the prompt are fetched for this request.
	NoSource bool
	// WaitsAt is the server where the request waits for its adapter to be loaded, or nil.
	WaitsAt *fleet.Runtime
	// MaxEventGap is the longest gap between two events of a response that its caller accepts,
	// or 0 if it is not known.
	MaxEventGap time.Duration
	// Draw is a random number in [0, 1) for the choice among servers that are about equally
	// good. 0 chooses the one with the lowest cost.
	Draw float64
}

// Choice is the chosen server, with the values that led to the choice for logging.
type Choice struct {
	Endpoint *fleet.Endpoint
	// Resident is true if the server has the adapter loaded in a version that may serve
	// the request.
	Resident bool
	// Scope is the scope in which the server runs the request, and Status the report that
	// says so, if Resident is true.
	Scope  Scope
	Status *fleet.Status
	// Cost is the estimated time to the first event, including penalties.
	Cost time.Duration
	// load is the part of the cost that follows from the load of the server.
	load time.Duration
	// CachedTokens is the number of prompt tokens that the server is expected to have in
	// its cache or to fetch from Source.
	CachedTokens  int
	BacklogTokens int64
	// WaitingTokens is the number of prompt tokens of other requests that wait for the
	// server to load the adapter and are processed first.
	WaitingTokens int64
	Candidates    int
	// Equal is the number of servers that were about equally good, Incoming the work that
	// the other entries are expected to have sent to each of them since the report, and
	// Lowest the lowest cost.
	Equal    int
	Incoming time.Duration
	Lowest   time.Duration
	// NextBest is the lowest cost of the other servers that have the adapter loaded, or 0 if
	// there is none.
	NextBest time.Duration
	// Unevenness is the ratio of the highest backlog to the mean one, or 0 if there is none.
	Unevenness float64
	// Source is the server to fetch cached parts of the prompt from, or nil. They were
	// processed in SourceScope, which equals Scope if Resident is true.
	Source      *fleet.Endpoint
	SourceScope Scope
	// StatusAge is the age of the status report that the choice is based on.
	StatusAge time.Duration
	// Preload is the server that should load the adapter now, so that a new version is
	// loaded when requests need it, or nil if that is not necessary.
	Preload *fleet.Endpoint
}

// Chooser chooses model servers. It is safe for concurrent use.
type Chooser struct {
	weights  Weights
	prefixes *PrefixIndex
}

// New returns a Chooser with the given weights and index of cached prompt prefixes.
func New(w Weights, p *PrefixIndex) *Chooser { return &Chooser{weights: w, prefixes: p} }

// PromptTime returns the time in which a server processes the given number of prompt
// tokens.
func (c *Chooser) PromptTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / c.weights.TokensPerMS * float64(time.Millisecond))
}

// baseFirstEventTime is the time to the first event of a request without a prompt: the
// network and one step of the server's batch.
const baseFirstEventTime = 20 * time.Millisecond

// FirstEventTime returns the time in which a server of the usual pace sends the first event
// of a request that it was chosen for and of which it has to process the given number of
// prompt tokens.
func (c *Chooser) FirstEventTime(choice *Choice, tokens int) time.Duration {
	d := baseFirstEventTime + c.PromptTime(int(choice.BacklogTokens)+tokens)
	if choice.Source != nil {
		d += c.weights.PrefixFetchTime
	}
	return d
}

// slowdown returns the factor by which a server takes longer than usual for prompts.
func slowdown(st *fleet.Status) float64 {
	if st == nil {
		return 1
	}
	return max(st.Slowdown, 1)
}

// slowed returns a time as it is at a server with the given slowdown.
func slowed(d time.Duration, slowdown float64) time.Duration {
	return time.Duration(float64(d) * slowdown)
}

// Choose returns the server with the lowest cost, which is the estimated time to the
// first event plus penalties, or one that is about as good. It reports false if no server
// can take the request.
func (c *Chooser) Choose(r *Request, endpoints []*fleet.Endpoint) (Choice, bool) {
	best := Choice{Cost: math.MaxInt64}
	var resident []Choice
	var load utilization
	order := ranks(r.Key, endpoints)
	prompt := &promptHashes{parts: r.Prefix}
	sources := c.sources(r, endpoints, prompt)
	renewed := renewed(r, endpoints)
	candidates := 0
	for i, e := range endpoints {
		if !usable(r, e) {
			continue
		}
		candidates++
		load.add(r.Now, e.Runtime.Status())
		choice := c.estimate(r, e, order[i], sources, prompt)
		if renewed && choice.Resident && !current(e, r) {
			choice.Cost += c.outdatedPenalty(r)
		}
		if slices.Contains(r.Reloading, e.ID) {
			choice.Cost += reloadingPenalty
		}
		if choice.Resident {
			resident = append(resident, choice)
		}
		if choice.Cost < best.Cost {
			best = choice
		}
	}
	if best.Resident {
		best = spread(r, best, resident, load.incoming())
	}
	best.Candidates, best.Unevenness = candidates, load.unevenness()
	best.Preload = c.preload(r, endpoints)
	return best, best.Endpoint != nil
}

func usable(r *Request, e *fleet.Endpoint) bool {
	if e.State != fleet.Ready || !e.Runtime.Available(r.Now) {
		return false
	}
	if r.SoftwareVersion != nil && *r.SoftwareVersion != e.SoftwareVersion {
		return false
	}
	if st := e.Runtime.Status(); st != nil && (st.Down || st.Draining) {
		return false
	}
	for _, id := range r.Excluded {
		if id == e.ID {
			return false
		}
	}
	return true
}

// ranks returns the rank of each endpoint for an adapter, by rendezvous hashing, so
// that all entries prefer the same servers. All ranks from maxRank on are returned as
// maxRank.
func ranks(k fleet.AdapterKey, endpoints []*fleet.Endpoint) []int {
	key := xxhash.Sum64String(k.Model + "/" + k.Name)
	var best [maxRank]struct {
		hash  uint64
		index int
	}
	found := 0
	out := make([]int, len(endpoints))
	for i, e := range endpoints {
		out[i] = maxRank
		hash := ident.MixHashes(key, xxhash.Sum64String(string(e.ID)))
		place := found
		for place > 0 && best[place-1].hash < hash {
			place--
		}
		if place == maxRank {
			continue
		}
		found = min(found+1, maxRank)
		copy(best[place+1:found], best[place:found-1])
		best[place].hash, best[place].index = hash, i
	}
	for rank := range found {
		out[best[rank].index] = rank
	}
	return out
}
