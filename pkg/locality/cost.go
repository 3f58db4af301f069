package locality

import (
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

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
