// Package locality chooses the model server for a request: by the adapters that
// the servers hold, the prompt prefixes that they have read for these, and the
// prompt tokens that wait at each of them.
package locality

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Part is one part of a prompt. Requests share parts by their ids.
type Part struct {
	ID     string
	Tokens int
}

// Request is what the choice depends on.
type Request struct {
	Now time.Time
	Key fleet.AdapterKey
	// Version is the lowest version of the adapter that may answer, or 0.
	Version int
	Prefix  []Part
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	Zone     string
	// Excluded are endpoints that failed or refused this request.
	Excluded []fleet.ID
}

// Choice is the result with the figures for the log line.
type Choice struct {
	Endpoint *fleet.Endpoint
	// Resident tells that the server holds the adapter in a version that may answer.
	Resident bool
	// Cost is the expected time to the first event.
	Cost time.Duration
	// CachedTokens are the prompt tokens that the server is expected to have kept or to
	// fetch from Source.
	CachedTokens  int
	BacklogTokens int64
	Candidates    int
	// Source is a server to fetch kept parts of the prompt from, or nil.
	Source *fleet.Endpoint
	// StatusAge is the age of the report that the choice rests on.
	StatusAge time.Duration
}

// Weights are the estimates of the cost model.
type Weights struct {
	// TokensPerMS is the rate at which a server reads prompts.
	TokensPerMS float64
	// Load is the time of a load from the weight store where the server reports none,
	// WarmLoad that from the server's own copy.
	Load     time.Duration
	WarmLoad time.Duration
	// StorePenalty is added for a load from the weight store, whose rate the whole fleet
	// shares: other requests wait longer for theirs.
	StorePenalty time.Duration
	// EvictionPenalty is added where an adapter must give way: another request will load it
	// again, and what the server kept of its prompts is lost.
	EvictionPenalty time.Duration
	// ContentionPenalty is added, divided by the number of adapters that could give way, so that
	// loads go to servers with few adapters in use.
	ContentionPenalty time.Duration
	// QueuedLoadPenalty is added for each load that waits at a server without room.
	QueuedLoadPenalty time.Duration
	// RankPenalty is added for each place that the server stands below the preferred one.
	RankPenalty time.Duration
	// FailurePenalty is added for each recent failure of the server.
	FailurePenalty time.Duration
	// StaleReportPenalty is added for servers whose reports no longer arrive: the machine may be
	// held up or cut off.
	StaleReportPenalty time.Duration
	// RemoteZonePenalty is added for servers in another zone.
	RemoteZonePenalty time.Duration
	// PrefixFetchTime is the time in which a server fetches kept parts of a prompt from another
	// one.
	PrefixFetchTime time.Duration
}

// DefaultWeights suit engines that read a prompt of 9,000 tokens in a quarter of
// a second and fetch an adapter in about the same time.
func DefaultWeights() Weights {
	return Weights{
		TokensPerMS:        38,
		Load:               300 * time.Millisecond,
		StorePenalty:       300 * time.Millisecond,
		WarmLoad:           60 * time.Millisecond,
		EvictionPenalty:    120 * time.Millisecond,
		ContentionPenalty:  100 * time.Millisecond,
		QueuedLoadPenalty:  60 * time.Millisecond,
		RankPenalty:        40 * time.Millisecond,
		FailurePenalty:     250 * time.Millisecond,
		StaleReportPenalty: 400 * time.Millisecond,
		RemoteZonePenalty:  15 * time.Millisecond,
		PrefixFetchTime:    20 * time.Millisecond,
	}
}

// Limits of the cost model.
const (
	// chunkTokens is the part of a prompt that a server reads in one go.
	chunkTokens = 2048
	// maxRank bounds the penalty of the rank.
	maxRank = 5
	// lateStatus is the age of a report that arrives every 500 ms at least from which
	// on something is wrong with its sender.
	lateStatus = time.Second
	// staleStatus is the age of a report from which on no load is requested.
	staleStatus = 2 * time.Second
	// noRoom is the cost of a server that can take no further adapter now.
	noRoom = 3 * time.Second
	// oldVersion is added for a server that uses an older version of the adapter: it
	// cannot replace it before its requests have ended.
	oldVersion = time.Second
	// fullBatch is added for each request beyond the slots of a server.
	fullBatch = 30 * time.Millisecond
)

// Chooser chooses servers. It is safe for concurrent use.
type Chooser struct {
	weights  Weights
	prefixes *PrefixIndex
}

// New returns a chooser.
func New(w Weights, p *PrefixIndex) *Chooser { return &Chooser{weights: w, prefixes: p} }

// Choose returns the server with the lowest expected time to the first event. It
// reports false if no server can take the request.
func (c *Chooser) Choose(r *Request, endpoints []*fleet.Endpoint) (Choice, bool) {
	best := Choice{Cost: math.MaxInt64}
	order := ranks(r.Key, endpoints)
	source := c.source(r, endpoints)
	candidates := 0
	for i, e := range endpoints {
		if !usable(r, e) {
			continue
		}
		candidates++
		choice := c.rate(r, e, order[i], &source)
		if choice.Cost < best.Cost {
			best = choice
		}
	}
	best.Candidates = candidates
	return best, best.Endpoint != nil
}

func usable(r *Request, e *fleet.Endpoint) bool {
	if e.State != fleet.Ready || e.Runtime.Banned(r.Now) {
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

// ranks orders the endpoints for an adapter by rendezvous hashing, so that all
// entries prefer the same servers. Ranks beyond maxRank are not told apart.
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
		hash := mix(key, xxhash.Sum64String(string(e.ID)))
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

// mix combines two hashes (the splitmix64 finaliser).
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// rate estimates the time to the first event at one server.
func (c *Chooser) rate(r *Request, e *fleet.Endpoint, rank int, source *source) Choice {
	w := &c.weights
	choice := Choice{Endpoint: e}
	st := e.Runtime.Status()
	choice.Resident = holds(st, r)
	choice.BacklogTokens = ahead(r, st, e)
	cost := time.Duration(float64(choice.BacklogTokens) / w.TokensPerMS * float64(time.Millisecond))
	if choice.Resident {
		choice.CachedTokens = c.prefixes.CachedTokens(r.Now, e, r.Key, r.Prefix)
	} else {
		cost += c.loadCost(r, e, st)
	}
	if source.useful(r, e, choice.CachedTokens) {
		choice.Source, choice.CachedTokens = source.endpoint, source.tokens
		cost += w.PrefixFetchTime
	}
	cost += time.Duration(float64(r.PromptTokens-choice.CachedTokens) / w.TokensPerMS * float64(time.Millisecond))
	cost += time.Duration(rank) * w.RankPenalty
	cost += time.Duration(e.Runtime.Failures(r.Now) * float64(w.FailurePenalty))
	cost += e.WarmupRemaining
	if e.Zone != r.Zone {
		cost += w.RemoteZonePenalty
	}
	if st != nil {
		choice.StatusAge = r.Now.Sub(st.ReceivedAt)
		if choice.StatusAge > lateStatus {
			cost += w.StaleReportPenalty
		}
		cost += time.Duration(max(st.InFlight+st.Queued-e.Slots, 0)) * fullBatch
	}
	choice.Cost = cost
	return choice
}

// holds reports whether the server has the adapter in a version that may answer.
func holds(st *fleet.Status, r *Request) bool {
	if st == nil {
		return false
	}
	if r.Key.Name == "" {
		for _, m := range st.Models {
			if m == r.Key.Model {
				return true
			}
		}
		return false
	}
	version, ok := st.Residents[r.Key]
	return ok && version >= r.Version
}

// ahead returns the prompt tokens that a server reads before those of the request:
// the sum over all entries as last reported, or this entry's own if they are more.
// A less urgent prompt is only interrupted at the end of a chunk.
func ahead(r *Request, st *fleet.Status, e *fleet.Endpoint) int64 {
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

// loadCost estimates the time until the server holds the adapter.
func (c *Chooser) loadCost(r *Request, e *fleet.Endpoint, st *fleet.Status) time.Duration {
	w := &c.weights
	if st == nil || r.Now.Sub(st.ReceivedAt) > staleStatus {
		return noRoom
	}
	fetch := st.LoadTime
	if fetch == 0 {
		fetch = w.Load
	}
	if version, ok := st.Coming[r.Key]; ok && version >= r.Version {
		return fetch / 2
	}
	if _, old := st.Residents[r.Key]; old {
		return fetch + oldVersion
	}
	wanted := max(st.PendingLoads, int(e.Runtime.Waiting.Load()))
	room := st.Free + st.Evictable - wanted
	if room <= 0 {
		return noRoom + time.Duration(-room)*w.QueuedLoadPenalty
	}
	cost := w.WarmLoad
	if !e.Runtime.HeldRecently(r.Key, r.Version) {
		cost = fetch + w.StorePenalty
	}
	ahead := len(st.Coming) + wanted
	cost += fetch * time.Duration(ahead) / time.Duration(max(st.LoadLimit, 1))
	if st.Free > wanted {
		return cost
	}
	return cost + w.EvictionPenalty + w.ContentionPenalty/time.Duration(room)
}
