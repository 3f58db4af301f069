// Package membership keeps the directory of endpoints from their own reports
// and from the platform's list of VMs. The directory is owned by one goroutine;
// request goroutines read immutable snapshots.
package membership

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Load counts the attempts that this entry has in flight at an endpoint. It is
// shared by all snapshots.
type Load struct{ inFlight atomic.Int64 }

// Add changes the count by n.
func (l *Load) Add(n int64) { l.inFlight.Add(n) }

// InFlight returns the count.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }

// Endpoint is one endpoint as last reported. It is immutable.
type Endpoint struct {
	ID               ident.EndpointID
	Incarnation      ident.Incarnation
	Zone             ident.AvailabilityZone
	Kind             fescuev1.EndpointKind
	Backend          string
	State            fescuev1.EndpointState
	BundleVersion    ident.BundleVersion
	ClockMS          uint64
	PositionsTotal   int
	PositionsUsed    int
	Queued           int
	SlotsTotal       int
	Residents        []ident.Adapter
	Loading          []ident.Adapter
	CanLoad          bool
	ConnectedEntries int
	ReportedAt       time.Time
	Load             *Load
}

// Holds reports whether the adapter is resident.
func (e *Endpoint) Holds(a ident.Adapter) bool { return slices.Contains(e.Residents, a) }

// IsLoading reports whether the adapter is being loaded.
func (e *Endpoint) IsLoading(a ident.Adapter) bool { return slices.Contains(e.Loading, a) }

// Snapshot is the directory at one moment, ordered by endpoint id.
type Snapshot struct{ Endpoints []*Endpoint }

// Find returns an endpoint by id.
func (s *Snapshot) Find(id ident.EndpointID) (*Endpoint, bool) {
	i, ok := slices.BinarySearchFunc(s.Endpoints, id, func(e *Endpoint, id ident.EndpointID) int {
		return strings.Compare(string(e.ID), string(id))
	})
	if !ok {
		return nil, false
	}
	return s.Endpoints[i], true
}

// Directory is the mutable directory.
type Directory struct {
	endpoints map[ident.EndpointID]*Endpoint
	loads     map[ident.EndpointID]*Load
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{endpoints: map[ident.EndpointID]*Endpoint{}, loads: map[ident.EndpointID]*Load{}}
}

// Apply records a report. Fields that it leaves out keep the values of the
// previous report of the same incarnation.
func (d *Directory) Apply(now time.Time, r *fescuev1.Report) {
	id := ident.EndpointID(r.GetEndpointId())
	if d.loads[id] == nil {
		d.loads[id] = &Load{}
	}
	e := &Endpoint{
		ID:               id,
		Incarnation:      ident.Incarnation(r.GetIncarnation()),
		Zone:             ident.AvailabilityZone(r.GetZone()),
		Kind:             r.GetKind(),
		Backend:          r.GetBackend(),
		State:            r.GetState(),
		BundleVersion:    ident.BundleVersion(r.GetBundleVersion()),
		ClockMS:          r.GetClockMs(),
		PositionsTotal:   int(r.GetPositionsTotal()),
		PositionsUsed:    int(r.GetPositionsUsed()),
		Queued:           int(r.GetQueued()),
		SlotsTotal:       int(r.GetSlotsTotal()),
		Residents:        adapters(r.GetResidents()),
		Loading:          adapters(r.GetLoading()),
		CanLoad:          r.GetCanLoad(),
		ConnectedEntries: int(r.GetConnectedEntries()),
		ReportedAt:       now,
		Load:             d.loads[id],
	}
	if prev := d.endpoints[id]; prev != nil && prev.Incarnation == e.Incarnation {
		e.inherit(prev, r)
	}
	d.endpoints[id] = e
}

// inherit keeps the earlier values of the fields that a report leaves out.
func (e *Endpoint) inherit(prev *Endpoint, r *fescuev1.Report) {
	if !r.GetResidentsChanged() {
		e.Residents, e.Loading = prev.Residents, prev.Loading
	}
	if r.GetZone() == "" {
		e.Zone, e.Kind, e.Backend = prev.Zone, prev.Kind, prev.Backend
	}
}

func adapters(names []string) []ident.Adapter {
	out := make([]ident.Adapter, 0, len(names))
	for _, n := range names {
		if a, err := ident.ParseAdapter(n); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// Remove drops an endpoint whose control stream has ended.
func (d *Directory) Remove(id ident.EndpointID) { delete(d.endpoints, id) }

// Snapshot returns the current directory.
func (d *Directory) Snapshot() *Snapshot {
	s := &Snapshot{Endpoints: make([]*Endpoint, 0, len(d.endpoints))}
	for _, e := range d.endpoints {
		s.Endpoints = append(s.Endpoints, e)
	}
	slices.SortFunc(s.Endpoints, func(a, b *Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return s
}
