package gateway

import (
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// holderChoice is the choice of holders among the model servers of a snapshot.
type holderChoice struct {
	snapshot *fleet.Snapshot
	// listed is the choice among all servers, and staying that among those that do not leave.
	listed, staying *origin.Holders
	// settledAt is when the hosts of the listed servers last changed.
	settledAt time.Time
}

// holdersOf returns the servers whose sidecars keep the origin of a new stream. Those that
// leave may be gone before the stream ends.
func (t *originTracker) holdersOf(s origin.StreamID) []*fleet.Endpoint {
	return t.currentHolders().staying.Of(s)
}

// candidatesOf returns the servers whose sidecars may have the origin of a stream. Other
// entries may not know yet which servers leave.
func (t *originTracker) candidatesOf(s origin.StreamID) []*fleet.Endpoint {
	choice := t.currentHolders()
	out := choice.listed.Candidates(s)
	for _, e := range choice.staying.Of(s) {
		if !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// currentHolders returns the choice of holders among the servers of the directory. Plain
// servers have no sidecars.
func (t *originTracker) currentHolders() *holderChoice {
	snapshot := t.control.snapshot.Load()
	last := t.holders.Load()
	if last != nil && last.snapshot == snapshot {
		return last
	}
	choice := newHolderChoice(snapshot)
	if last != nil && last.listed.SameHosts(choice.listed) {
		choice.settledAt = last.settledAt
	}
	t.holders.Store(choice)
	return choice
}

func newHolderChoice(s *fleet.Snapshot) *holderChoice {
	servers := modelServers(s)
	choice := &holderChoice{snapshot: s, listed: origin.NewHolders(servers), settledAt: time.Now()}
	choice.staying = choice.listed
	leaves := func(e *fleet.Endpoint) bool { return e.State == fleet.Draining }
	if staying := slices.DeleteFunc(slices.Clone(servers), leaves); len(staying) > 0 && len(staying) < len(servers) {
		choice.staying = origin.NewHolders(staying)
	}
	return choice
}

// modelServers returns the servers of all services with models.
func modelServers(s *fleet.Snapshot) []*fleet.Endpoint {
	var out []*fleet.Endpoint
	if s.Table == nil {
		return nil
	}
	for name, endpoints := range s.Services {
		if svc := s.Table.Service(name); svc != nil && svc.Engine != nil {
			out = append(out, endpoints...)
		}
	}
	return out
}
