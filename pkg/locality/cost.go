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
	choice.BacklogTokens = c.backlogAhead(r, st, e)
	pace := slowdown(st)
	choice.WaitingTokens = waitingAhead(r, st, e)
	choice.load = slowed(c.PromptTime(int(choice.BacklogTokens+choice.WaitingTokens)), pace)
	cost := choice.load
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
	pauses := c.pausePenalty(r, e, &choice, st)
	cost += pauses
	choice.load += pauses
	if !choice.Resident || !shared(st) {
		cost += time.Duration(rank) * w.RankPenalty
	}
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
		full := time.Duration(max(st.InFlight+st.Queued-e.Slots, 0)) * overCapacityPenalty
		cost += full
		choice.load += full
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

// shared reports whether other entries are known to use the server too, and how much.
func shared(st *fleet.Status) bool { return st != nil && st.Others != nil && st.Entries > 1 }

// pauseShare is the share of the permitted gap between two events for which a server may read
// prompts without pause. Its streams have other delays, and its pace varies.
const pauseShare = 0.5

// pausePenalty returns the time by which a server reads prompts without pause for longer than
// its running streams tolerate, with the prompt of the request. A server that reads a piece of
// a prompt in each step of its batch produces the tokens of its streams that much more slowly,
// however urgent they are. The gap that the
// request permits stands for those of the running streams, which are not known.
func (c *Chooser) pausePenalty(r *Request, e *fleet.Endpoint, choice *Choice, st *fleet.Status) time.Duration {
	if !shared(st) || st.InFlight == 0 || r.MaxEventGap == 0 {
		return 0
	}
	tokens := e.Runtime.OwnBacklog().Total() + st.Others.Backlog.Total() + choice.WaitingTokens
	reading := slowed(c.PromptTime(int(tokens)+r.PromptTokens-choice.CachedTokens), slowdown(st))
	return max(reading-time.Duration(pauseShare*float64(r.MaxEventGap)), 0)
}

// backlogAhead returns the number of prompt tokens that a server processes before
// those of the request: this entry's own, and those of the others as last reported. If the
// report does not tell them from the own ones, the larger of the reported sum and the own
// count is used for each priority class.
func (c *Chooser) backlogAhead(r *Request, st *fleet.Status, e *fleet.Endpoint) int64 {
	all := e.Runtime.OwnBacklog()
	switch {
	case st == nil:
	case st.Others != nil:
		all = all.Add(processed(st.Others.Backlog, c.processedTokens(r.Now.Sub(st.ReceivedAt), slowdown(st))))
	default:
		for i, tokens := range st.Backlog {
			all[i] = max(all[i], tokens)
		}
	}
	return ahead(all, r.Priority)
}

// processedTokens returns the number of prompt tokens that a server may have processed since a
// report of the given age without a further report, which a larger change would have caused.
func (c *Chooser) processedTokens(age time.Duration, slowdown float64) int64 {
	processed := max(age, 0).Seconds() * 1000 * c.weights.TokensPerMS / slowdown
	return min(int64(processed), fleet.UrgentBacklogChange)
}

// processed returns a backlog after the given number of tokens have been processed, the most
// urgent ones first.
func processed(b fleet.Backlog, tokens int64) fleet.Backlog {
	for i := range b {
		done := min(b[i], tokens)
		b[i] -= done
		tokens -= done
	}
	return b
}

// ahead returns the number of tokens of a backlog that a server processes before a request
// with the given priority. A less urgent prompt that is being processed is interrupted only
// at the end of a chunk.
func ahead(all fleet.Backlog, priority int) int64 {
	urgent := all.Ahead(priority)
	rest := all.Total() - urgent
	return urgent + min(rest, chunkTokens)
}

// waitingAhead returns the number of prompt tokens that wait for the server to load the
// adapter of the request and are processed before it. They are all sent at the moment when the
// adapter is loaded, and the backlog does not include them until then. Requests that wait at
// the same server have taken each other into account when they started to wait. It is 0 for an
// entry that has the servers for itself.
func waitingAhead(r *Request, st *fleet.Status, e *fleet.Endpoint) int64 {
	if !shared(st) || r.WaitsAt == e.Runtime {
		return 0
	}
	adapter := r.Key.Hash()
	return ahead(e.Runtime.OwnWaiting(adapter).Add(st.Others.Waiting[adapter]), r.Priority)
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

// TimeToStart estimates the time in which the chosen server sends the first event of a request
// that comes now, including that for loading its adapter. It reports false if the server cannot
// load the adapter now, or has not reported lately.
func (c *Chooser) TimeToStart(r *Request, choice *Choice) (time.Duration, bool) {
	st := choice.Endpoint.Runtime.Status()
	if st == nil || r.Now.Sub(st.ReceivedAt) > staleStatusAge {
		return 0, false
	}
	first := slowed(c.FirstEventTime(choice, max(r.PromptTokens-choice.CachedTokens, 0)), slowdown(st))
	if choice.Resident {
		return first, true
	}
	load, ok := c.loadTime(r, choice.Endpoint, st)
	return load + first, ok
}

// loadTime estimates the time until the server has loaded the adapter, after the loads that
// requests wait for already. It reports false if the server has no place for the adapter.
func (c *Chooser) loadTime(r *Request, e *fleet.Endpoint, st *fleet.Status) (time.Duration, bool) {
	fetch := st.LoadTime
	if fetch == 0 {
		fetch = c.weights.Load
	}
	if version, ok := st.Loading[r.Key]; ok && version >= r.Version {
		return fetch, true
	}
	wanted := max(st.PendingLoads, int(e.Runtime.Waiting.Load()))
	if _, old := st.Residents[r.Key]; old || st.Free+st.Evictable <= wanted {
		return 0, false
	}
	ahead := len(st.Loading) + wanted
	return fetch + fetch*time.Duration(ahead)/time.Duration(max(st.LoadLimit, 1)), true
}
