package sidecar

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// holdingsKeyOf returns a string that changes whenever the server's holdings change:
// its instance id, its models, its resident and loading adapters, all with their
// versions, and whether it is down or draining.
func holdingsKeyOf(m *fescuev1.ServerState) string {
	names := make([]string, 0, len(m.GetResidents())+len(m.GetModels()))
	for _, a := range m.GetResidents() {
		names = append(names, fmt.Sprintf("%s/%s@%d", a.GetModel(), a.GetAdapter(), a.GetVersion()))
	}
	for _, a := range m.GetComing() {
		names = append(names, fmt.Sprintf("+%s/%s@%d", a.GetModel(), a.GetAdapter(), a.GetVersion()))
	}
	for i, name := range m.GetModels() {
		version := uint32(0)
		if i < len(m.GetModelVersions()) {
			version = m.GetModelVersions()[i]
		}
		names = append(names, fmt.Sprintf("%s@%d", name, version))
	}
	slices.Sort(names)
	if m.GetDown() {
		return m.GetInstanceId() + " down"
	}
	if m.GetDraining() {
		names = append(names, "draining")
	}
	return m.GetInstanceId() + " " + strings.Join(names, " ")
}

// withoutHoldings returns a copy of a state without the models and adapters, which
// change far less often than the other fields, and without the use of the cache, on which no
// choice depends.
func withoutHoldings(m *fescuev1.ServerState) *fescuev1.ServerState {
	return &fescuev1.ServerState{
		InstanceId:        m.GetInstanceId(),
		Free:              m.GetFree(),
		Evictable:         m.GetEvictable(),
		InFlight:          m.GetInFlight(),
		Queued:            m.GetQueued(),
		BacklogTokens:     m.GetBacklogTokens(),
		Wanted:            m.GetWanted(),
		Down:              m.GetDown(),
		Draining:          m.GetDraining(),
		LoadMs:            m.GetLoadMs(),
		LoadLimit:         m.GetLoadLimit(),
		Entries:           m.GetEntries(),
		WarmCopies:        m.GetWarmCopies(),
		Limited:           m.GetLimited(),
		LimitPerSecond:    m.GetLimitPerSecond(),
		SlowdownPercent:   m.GetSlowdownPercent(),
		OperatorRevision:  m.GetOperatorRevision(),
		Waiting:           m.GetWaiting(),
		HoldingsUnchanged: true,
	}
}

// covering returns a copy of a state for an entry whose updates up to the given one its sums
// include. The copies for all entries share the lists of the state.
func covering(m *fescuev1.ServerState, update uint64) *fescuev1.ServerState {
	c := withoutHoldings(m)
	c.Models, c.ModelVersions = m.GetModels(), m.GetModelVersions()
	c.Residents, c.Coming = m.GetResidents(), m.GetComing()
	c.CacheUsed, c.CacheTotal = m.GetCacheUsed(), m.GetCacheTotal()
	c.ReadParts, c.HoldingsUnchanged = m.GetReadParts(), m.GetHoldingsUnchanged()
	c.CoveredUpdate = update
	return c
}

// sameUtilization reports whether two states with the same holdings have the same
// utilization figures, pace, limit, number of entries and operator's items. The load time and
// the load limit are not compared.
func sameUtilization(a, b *fescuev1.ServerState) bool {
	return a.GetOperatorRevision() == b.GetOperatorRevision() &&
		a.GetSlowdownPercent() == b.GetSlowdownPercent() && a.GetEntries() == b.GetEntries() && a.GetLimited() == b.GetLimited() && a.GetLimitPerSecond() == b.GetLimitPerSecond() &&
		a.GetFree() == b.GetFree() && a.GetEvictable() == b.GetEvictable() && a.GetWanted() == b.GetWanted() &&
		a.GetInFlight() == b.GetInFlight() && a.GetQueued() == b.GetQueued() &&
		slices.Equal(a.GetBacklogTokens(), b.GetBacklogTokens()) && slices.EqualFunc(a.GetWaiting(), b.GetWaiting(), sameWaiting) && a.GetCacheUsed() == b.GetCacheUsed()
}
