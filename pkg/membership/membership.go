// Package membership keeps the directory of endpoints from their own reports
// and from the platform's list of VMs. The directory is owned by one goroutine;
// request goroutines read immutable snapshots.
package membership

import (
	"slices"
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
	ID          ident.EndpointID
	Incarnation ident.Incarnation
	Zone        ident.AvailabilityZone
	Kind        fescuev1.EndpointKind
	// Backend is the base model or the service.
	Backend       string
	State         fescuev1.EndpointState
	BundleVersion ident.BundleVersion
	// ClockMS is the endpoint's monotonic clock when it sent the report.
	ClockMS uint64
	// PositionsTotal and PositionsUsed count batch positions.
	PositionsTotal int
	PositionsUsed  int
	// Queued is the number of waiting requests.
	Queued int
	// WaitingForLoad is the part of Queued that waits for the load of an adapter.
	WaitingForLoad int
	// LoadableSlots is the number of slots that further loads could take at once.
	LoadableSlots int
	// LoadTime is the shortest recent time of one adapter load, 0 if unknown.
	LoadTime time.Duration
	// QueueCapacity is 0 if the endpoint does not report it.
	QueueCapacity int
	// SlotsTotal is the number of adapter slots of the engine.
	SlotsTotal int
	Residents  []ident.Adapter
	Loading    []ident.Adapter
	// CanLoad is false while the endpoint may send no commands to its engine.
	CanLoad          bool
	ConnectedEntries int
	// ReportedAt is when the report arrived, on this entry's clock.
	ReportedAt time.Time
	Load       *Load
	// InFlightAtReport is the in-flight count of this entry when the report arrived.
	InFlightAtReport int64
	// Hash is EndpointHash(ID).
	Hash uint64

	// slot is the index in Snapshot.slots.
	slot int32
}

// Holds reports whether the adapter is resident.
func (e *Endpoint) Holds(a ident.Adapter) bool { return slices.Contains(e.Residents, a) }

// IsLoading reports whether the adapter is being loaded.
func (e *Endpoint) IsLoading(a ident.Adapter) bool { return slices.Contains(e.Loading, a) }

// Directory is the mutable directory.
type Directory struct {
	endpoints map[ident.EndpointID]*Endpoint
	loads     map[ident.EndpointID]*Load
	index     index
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{endpoints: map[ident.EndpointID]*Endpoint{}, loads: map[ident.EndpointID]*Load{}, index: newIndex()}
}

// Apply records a report. The first report of an incarnation carries all
// fields. Later ones may leave out static fields, and residents unless
// residents_changed is set.
func (d *Directory) Apply(now time.Time, r *fescuev1.Report) {
	id := ident.EndpointID(r.GetEndpointId())
	old := d.endpoints[id]
	e := fromReport(now, r)
	if e.Incarnation == 0 && old != nil {
		e.Incarnation = old.Incarnation
	}
	sameProcess := old != nil && old.Incarnation == e.Incarnation
	if !sameProcess && e.Kind == fescuev1.EndpointKind_ENDPOINT_KIND_UNSPECIFIED {
		return // the static fields of this process are not known
	}
	if d.loads[id] == nil {
		d.loads[id] = &Load{}
	}
	e.Load = d.loads[id]
	e.Hash = EndpointHash(id)
	e.InFlightAtReport = e.Load.InFlight()
	if sameProcess {
		e.inherit(old, r)
	}
	d.endpoints[id] = e
	d.index.put(old, e)
}

func fromReport(now time.Time, r *fescuev1.Report) *Endpoint {
	return &Endpoint{
		ID:               ident.EndpointID(r.GetEndpointId()),
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
		WaitingForLoad:   int(r.GetStalled()),
		LoadableSlots:    int(r.GetOpenings()),
		LoadTime:         time.Duration(r.GetLoadTimeMs()) * time.Millisecond,
		QueueCapacity:    int(r.GetQueueCapacity()),
		SlotsTotal:       int(r.GetSlotsTotal()),
		Residents:        parseAdapters(r.GetResidents()),
		Loading:          parseAdapters(r.GetLoading()),
		CanLoad:          r.GetCanLoad(),
		ConnectedEntries: int(r.GetConnectedEntries()),
		ReportedAt:       now,
	}
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

// adapters parses adapter names and leaves out malformed ones.
func parseAdapters(names []string) []ident.Adapter {
	out := make([]ident.Adapter, 0, len(names))
	for _, n := range names {
		if a, err := ident.ParseAdapter(n); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// Remove drops an endpoint whose control stream has ended. Its load counter
// stays while attempts are in flight.
func (d *Directory) Remove(id ident.EndpointID) {
	e := d.endpoints[id]
	if e == nil {
		return
	}
	d.index.remove(e)
	delete(d.endpoints, id)
	if e.Load.InFlight() == 0 {
		delete(d.loads, id)
	}
}

// Snapshot publishes the current directory.
func (d *Directory) Snapshot() *Snapshot { return d.index.snapshot() }
