package sidecar

import (
	"maps"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/balance"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
)

// sumBacklog returns the backlog of all entries in tokens, by priority class. The
// caller holds mu.
func (h *hub) sumBacklog() []uint64 {
	sum := make([]uint64, fleet.PriorityClasses)
	for p := range h.entries {
		for i, tokens := range p.update.GetBacklogTokens() {
			sum[fleet.PriorityClass(i)] += tokens
		}
	}
	return sum
}

// sumWaiting returns the prompt tokens that wait for loads, by the hash of the adapter. The
// caller holds mu.
func (h *hub) sumWaiting(now time.Time) map[uint64]fleet.Backlog {
	sum := map[uint64]fleet.Backlog{}
	for p := range h.entries {
		for k, tokens := range balance.WaitingOf(p.update, p.waitingTokens(now)) {
			sum[k] = sum[k].Add(tokens)
		}
	}
	return sum
}

// setSums sets the sums of a state over the entries. The caller holds mu.
func (h *hub) setSums(m *fescuev1.ServerState) {
	m.BacklogTokens = h.sumBacklog()
	waiting := h.sumWaiting(time.Now())
	m.Waiting = make([]*fescuev1.WaitingPrompts, 0, len(waiting))
	for _, k := range slices.Sorted(maps.Keys(waiting)) {
		m.Waiting = append(m.Waiting, &fescuev1.WaitingPrompts{Adapter: k, Tokens: waiting[k].Tokens()})
	}
}

// cover records that the published sums include the latest update of each entry. The caller
// holds mu.
func (h *hub) cover() {
	for p := range h.entries {
		p.covered = p.update.GetNumber()
	}
}

// workTokens returns the prompt tokens of a state that are at the server or wait for it.
func workTokens(m *fescuev1.ServerState) uint64 {
	sum := totalTokens(m.GetBacklogTokens())
	for _, w := range m.GetWaiting() {
		sum += totalTokens(w.GetTokens())
	}
	return sum
}

// workTokens returns the workTokens of a state that would be published now. The caller
// holds mu.
func (h *hub) workTokens(now time.Time) uint64 {
	sum := uint64(0)
	for p := range h.entries {
		sum += totalTokens(p.update.GetBacklogTokens()) + totalTokens(p.waitingTokens(now))
	}
	return sum
}

// waitingTokens returns the prompt tokens that wait for loads according to the latest update,
// or none if it is stale: an entry that is frozen would otherwise keep the others from the
// server for as long as its connection lasts.
func (p *peer) waitingTokens(now time.Time) []uint64 {
	if now.Sub(p.updatedAt) >= staleUpdateAge {
		return nil
	}
	return p.update.GetWaitingTokens()
}

func totalTokens(tokens []uint64) uint64 {
	sum := uint64(0)
	for _, n := range tokens {
		sum += n
	}
	return sum
}

func sameWaiting(a, b *fescuev1.WaitingPrompts) bool {
	return a.GetAdapter() == b.GetAdapter() && slices.Equal(a.GetTokens(), b.GetTokens())
}

// hasWaitingRequests reports whether any request waits for a load.
func (h *hub) hasWaitingRequests() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.entries {
		for _, a := range p.update.GetAdapters() {
			if a.GetWaiting() > 0 {
				return true
			}
		}
	}
	return false
}

// demand returns the demand of all entries by adapter and passes new arrivals to the
// planner.
func (h *hub) demand(now time.Time, planner *residency.Planner) map[fleet.AdapterKey]residency.Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[fleet.AdapterKey]residency.Demand{}
	for p := range h.entries {
		for k, n := range p.arrivals {
			planner.Arrived(now, k, n)
		}
		clear(p.arrivals)
		age := now.Sub(p.updatedAt)
		for _, a := range p.update.GetAdapters() {
			k := adapterKey(a)
			out[k] = addDemand(out[k], a, age)
		}
	}
	return out
}

// staleUpdateAge is the age of an entry's update from which its number of loads no
// longer counts. Entries send an update at least every second; one that is frozen would
// otherwise hold the loads of the server back.
const staleUpdateAge = 2500 * time.Millisecond

// loadsElsewhere returns the number of adapters that the other servers are loading. An
// entry that is cut off from some servers knows of fewer, so the highest number counts.
func (h *hub) loadsElsewhere(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	most := uint32(0)
	for p := range h.entries {
		if now.Sub(p.updatedAt) < staleUpdateAge {
			most = max(most, p.update.GetLoadsElsewhere())
		}
	}
	return int(most)
}

// reloadModel returns the base model that all connected entries agree the server may
// reload, or an empty string. Entries without a recent update are left out: they are
// frozen or cut off, and send no requests.
func (h *hub) reloadModel(now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	agreed := ""
	for p := range h.entries {
		if p.update != nil && now.Sub(p.updatedAt) >= staleUpdateAge {
			continue
		}
		model := p.update.GetReloadModel()
		if model == "" || agreed != "" && model != agreed {
			return ""
		}
		agreed = model
	}
	return agreed
}

// addDemand adds the demand of one entry, reported the given time ago.
func addDemand(d residency.Demand, a *fescuev1.AdapterDemand, age time.Duration) residency.Demand {
	d.InFlight += int(a.GetInFlight())
	d.Waiting += int(a.GetWaiting())
	d.Version = max(d.Version, int(a.GetVersion()))
	if a.GetWaiting() > 0 {
		d.Waited = max(d.Waited, time.Duration(a.GetWaitedMs())*time.Millisecond+age)
	}
	for _, ms := range a.GetSlackMs() {
		d.Slacks = append(d.Slacks, time.Duration(ms)*time.Millisecond-age)
	}
	return d
}
