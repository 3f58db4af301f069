package balance

import (
	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// WorkOf returns the work of an entry as its update tells it.
func WorkOf(m *fescuev1.DemandUpdate) fleet.Work {
	return fleet.Work{Backlog: fleet.BacklogOf(m.GetBacklogTokens()), Waiting: WaitingOf(m, m.GetWaitingTokens())}
}

// WaitingOf returns the prompt tokens that wait for each adapter of an update, where tokens
// lists them in the order of the adapters.
func WaitingOf(m *fescuev1.DemandUpdate, tokens []uint64) map[uint64]fleet.Backlog {
	out := map[uint64]fleet.Backlog{}
	for i, a := range m.GetAdapters() {
		if len(tokens) < (i+1)*fleet.PriorityClasses {
			break
		}
		of := fleet.BacklogOf(tokens[i*fleet.PriorityClasses : (i+1)*fleet.PriorityClasses])
		if of != (fleet.Backlog{}) {
			out[fleet.AdapterKey{Model: a.GetModel(), Name: a.GetAdapter()}.Hash()] = of
		}
	}
	return out
}

// Reported returns the work of all entries as a report of a sidecar tells it.
func Reported(m *fescuev1.ServerState) fleet.Work {
	w := fleet.Work{Backlog: fleet.BacklogOf(m.GetBacklogTokens()), Waiting: make(map[uint64]fleet.Backlog, len(m.GetWaiting()))}
	for _, p := range m.GetWaiting() {
		w.Waiting[p.GetAdapter()] = fleet.BacklogOf(p.GetTokens())
	}
	return w
}
