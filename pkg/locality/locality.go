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
	// CachedTokens is the number of prompt tokens that the server is expected to have in
	// its cache or to fetch from Source.
	CachedTokens  int
	BacklogTokens int64
	Candidates    int
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

// Weights holds the parameters of the cost model.
type Weights struct {
	// TokensPerMS is the number of prompt tokens that a server processes per
	// millisecond.
	TokensPerMS float64
	// Load is the duration of a load from the weight store, used where the server
	// reports none. WarmLoad is the duration of a load from the copy in the
	// server's main memory.
	Load     time.Duration
	WarmLoad time.Duration
	// StorePenalty is added for a load from the weight store. The whole fleet shares the
	// store's bandwidth, so each load delays the loads for other requests.
	StorePenalty time.Duration
	// EvictionPenalty is added if the load requires an eviction: the evicted adapter
	// must be loaded again for a later request, and the server's cached prompts for it
	// are lost.
	EvictionPenalty time.Duration
	// ContentionPenalty is added if the load requires an eviction, divided by the number
	// of adapters that the server could still load. It directs loads to servers with few
	// adapters in use.
	ContentionPenalty time.Duration
	// QueuedLoadPenalty is added, at a server without room for another adapter, for each
	// load that waits there in excess of the room.
	QueuedLoadPenalty time.Duration
	// RankPenalty is multiplied by the rank of the server for the adapter and added. The
	// preferred server has rank 0.
	RankPenalty time.Duration
	// FailurePenalty is added for each recent failure of the server.
	FailurePenalty time.Duration
	// LateReportPenalty is added for a server whose last status report is late: its VM
	// may be stalled or unreachable.
	LateReportPenalty time.Duration
	// RemoteZonePenalty is added for a server in another availability zone.
	RemoteZonePenalty time.Duration
	// OutdatedPenalty is added for a server whose version of the adapter is about to be
	// outdated while another server has a current one. Without new requests, the server
	// can replace it.
	OutdatedPenalty time.Duration
	// PrefixFetchTime is the time that a server takes to fetch cached parts of a prompt
	// from another server.
	PrefixFetchTime time.Duration
}

// DefaultWeights returns weights for engines that process a prompt of 9,000 tokens in
// 250 ms and load an adapter in about the same time.
func DefaultWeights() Weights {
	return Weights{
		TokensPerMS:       38,
		Load:              300 * time.Millisecond,
		StorePenalty:      300 * time.Millisecond,
		WarmLoad:          60 * time.Millisecond,
		EvictionPenalty:   120 * time.Millisecond,
		ContentionPenalty: 100 * time.Millisecond,
		QueuedLoadPenalty: 60 * time.Millisecond,
		RankPenalty:       40 * time.Millisecond,
		FailurePenalty:    250 * time.Millisecond,
		LateReportPenalty: 400 * time.Millisecond,
		RemoteZonePenalty: 15 * time.Millisecond,
		OutdatedPenalty:   150 * time.Millisecond,
		PrefixFetchTime:   20 * time.Millisecond,
	}
}

// Limits and fixed penalties of the cost model.
const (
	// chunkTokens is the number of prompt tokens that a server processes without
	// interruption.
	chunkTokens = 2048
	// maxRank is the highest rank, which limits the penalty for the rank.
	maxRank = 5
	// lateStatusAge is the age from which a status report is late. Reports arrive at
	// least every 500 ms, so a late one means that its sender has a problem.
	lateStatusAge = time.Second
	// staleStatusAge is the age of a status report above which the server is treated as
	// having no room for a load.
	staleStatusAge = 2 * time.Second
	// noRoomPenalty is the cost of a load at a server that has no room for another
	// adapter now.
	noRoomPenalty = 3 * time.Second
	// oldVersionPenalty is added for a server that has an older version of the adapter
	// loaded: it cannot replace that version before the requests that use it have ended.
	oldVersionPenalty = time.Second
	// limitedLoadPenalty is added for a load at a server that names a limit: it takes only a
	// few of the requests for the adapter.
	limitedLoadPenalty = 2 * time.Second
	// overCapacityPenalty is added for each request at a server beyond its number of
	// slots.
	overCapacityPenalty = 30 * time.Millisecond
)

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
// first event plus penalties. It reports false if no server can take the request.
func (c *Chooser) Choose(r *Request, endpoints []*fleet.Endpoint) (Choice, bool) {
	best := Choice{Cost: math.MaxInt64}
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
		choice := c.estimate(r, e, order[i], sources, prompt)
		if renewed && choice.Resident && !current(e, r) {
			choice.Cost += c.outdatedPenalty(r)
		}
		if slices.Contains(r.Reloading, e.ID) {
			choice.Cost += reloadingPenalty
		}
		if choice.Cost < best.Cost {
			best = choice
		}
	}
	best.Candidates = candidates
	best.Preload = c.preload(r, endpoints)
	return best, best.Endpoint != nil
}

// AnyUsable reports whether any server may take the request.
func AnyUsable(r *Request, endpoints []*fleet.Endpoint) bool {
	return slices.ContainsFunc(endpoints, func(e *fleet.Endpoint) bool { return usable(r, e) })
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

// estimate returns the cost of serving the request at one server.
func (c *Chooser) estimate(r *Request, e *fleet.Endpoint, rank int, sources sources, prompt *promptHashes) Choice {
	w := &c.weights
	choice := Choice{Endpoint: e}
	st := e.Runtime.Status()
	choice.Resident = holds(st, r)
	choice.BacklogTokens = backlogAhead(r, st, e)
	pace := slowdown(st)
	cost := slowed(c.PromptTime(int(choice.BacklogTokens)), pace)
	var from *source
	if choice.Resident {
		choice.Scope, choice.Status = scopeAt(e, st, r.Key), st
		choice.CachedTokens = c.prefixes.cachedTokens(r.Now, e.Runtime, r.Prefix, prompt.in(choice.Scope))
		if settled(st, r) {
			from = sources.find(choice.Scope, choice.CachedTokens)
		}
	} else {
		cost += c.loadCost(r, e, st)
		if e.Runtime.Limited() {
			cost += limitedLoadPenalty
		}
		from = sources.findNewest(e, weightsAt(st, r.Key.Model))
	}
	if from != nil {
		choice.Source, choice.SourceScope, choice.CachedTokens = from.endpoint, from.scope, from.tokens
		cost += w.PrefixFetchTime
	}
	cost += slowed(c.PromptTime(r.PromptTokens-choice.CachedTokens), pace)
	cost += time.Duration(rank) * w.RankPenalty
	cost += time.Duration(e.Runtime.Failures(r.Now) * float64(w.FailurePenalty))
	cost += e.WarmupRemaining
	if e.Zone != r.Zone {
		cost += w.RemoteZonePenalty
	}
	if st != nil {
		choice.StatusAge = r.Now.Sub(st.ReceivedAt)
		if choice.StatusAge > lateStatusAge {
			cost += w.LateReportPenalty
		}
		cost += time.Duration(max(st.InFlight+st.Queued-e.Slots, 0)) * overCapacityPenalty
	}
	choice.Cost = cost
	return choice
}

// holds reports whether the server has the adapter, or the base model if no adapter
// is requested, loaded in a version that may serve the request.
func holds(st *fleet.Status, r *Request) bool {
	if st == nil || slices.Contains(r.Outdated, st) {
		return false
	}
	if r.Key.Name == "" {
		_, ok := st.Models[r.Key.Model]
		return ok
	}
	version, ok := st.Residents[r.Key]
	return ok && version >= r.Version
}

// backlogAhead returns the number of prompt tokens that a server processes before
// those of the request. For each priority class it uses the larger of the last
// reported sum over all entries and this entry's own count. A less urgent prompt that
// is being processed is interrupted only at the end of a chunk.
func backlogAhead(r *Request, st *fleet.Status, e *fleet.Endpoint) int64 {
	all := e.Runtime.OwnBacklog()
	if st != nil {
		for i, tokens := range st.Backlog {
			all[i] = max(all[i], tokens)
		}
	}
	urgent := all.Ahead(r.Priority)
	rest := all.Ahead(fleet.PriorityClasses-1) - urgent
	return urgent + min(rest, chunkTokens)
}

// loadCost estimates the time until the server has loaded the adapter, plus
// penalties.
func (c *Chooser) loadCost(r *Request, e *fleet.Endpoint, st *fleet.Status) time.Duration {
	w := &c.weights
	if st == nil || r.Now.Sub(st.ReceivedAt) > staleStatusAge {
		return noRoomPenalty
	}
	fetch := st.LoadTime
	if fetch == 0 {
		fetch = w.Load
	}
	if version, ok := st.Loading[r.Key]; ok && version >= r.Version {
		return fetch / 2
	}
	if _, old := st.Residents[r.Key]; old {
		return fetch + oldVersionPenalty
	}
	wanted := max(st.PendingLoads, int(e.Runtime.Waiting.Load()))
	room := st.Free + st.Evictable - wanted
	if room <= 0 {
		return noRoomPenalty + time.Duration(-room)*w.QueuedLoadPenalty
	}
	cost := w.WarmLoad
	if !e.Runtime.HeldRecently(r.Key, r.Version) {
		cost = fetch + w.StorePenalty
	}
	ahead := len(st.Loading) + wanted
	cost += fetch * time.Duration(ahead) / time.Duration(max(st.LoadLimit, 1))
	if st.Free > wanted {
		return cost
	}
	return cost + w.EvictionPenalty + w.ContentionPenalty/time.Duration(room)
}
