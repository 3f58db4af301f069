// Package membership keeps the directory of endpoints, which is built from the
// reports of the endpoints. One goroutine owns the directory; the goroutines that
// serve requests read immutable snapshots of it.
package membership

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// AttemptCounter counts the attempts that this entry has in flight at one endpoint.
// All snapshots share it. It is safe for concurrent use.
type AttemptCounter struct{ inFlight atomic.Int64 }

// Add adds n, which may be negative, to the count.
func (c *AttemptCounter) Add(n int64) { c.inFlight.Add(n) }

// InFlight returns the number of attempts in flight.
func (c *AttemptCounter) InFlight() int64 { return c.inFlight.Load() }

// Endpoint is the last reported state of one endpoint. It is immutable.
type Endpoint struct {
	ID          ident.EndpointID
	Incarnation ident.Incarnation
	Zone        ident.AvailabilityZone
	Kind        fescuev1.EndpointKind
	// Backend is the name of the base model or of the service.
	Backend string
	// EngineVersion is the version of the engine, zero if it is not known.
	EngineVersion ident.EngineVersion
	State         fescuev1.EndpointState
	BundleVersion ident.BundleVersion
	// ClockMS is the monotonic clock of the endpoint, in milliseconds, when it sent
	// the report.
	ClockMS uint64
	// PositionsTotal and PositionsUsed are the total and the used number of batch
	// positions.
	PositionsTotal int
	PositionsUsed  int
	// Queued is the number of queued requests.
	Queued int
	// WaitingForLoad is the number of queued requests that wait for the load of an
	// adapter rather than for a batch position.
	WaitingForLoad int
	// LoadableSlots is the number of slots that are free or hold an unused adapter,
	// less the loads already requested.
	LoadableSlots int
	// LoadTime is the shortest recent time of one adapter load, or 0 if unknown.
	LoadTime time.Duration
	// QueueCapacity is the largest number of queued requests, or 0 if the endpoint
	// does not report it.
	QueueCapacity int
	// SlotsTotal is the number of adapter slots of the engine.
	SlotsTotal int
	// Residents are the resident adapters. Loading are the adapters that are being
	// loaded or that queued requests wait for.
	Residents []ident.Adapter
	Loading   []ident.Adapter
	// CanLoad is false while the endpoint must not send commands to its engine.
	CanLoad bool
	// ConnectedEntries is the number of entries connected to the endpoint.
	ConnectedEntries int
	// ReportedAt is when this entry received the report, on its own clock.
	ReportedAt time.Time
	// Attempts counts the attempts of this entry in flight at the endpoint.
	Attempts *AttemptCounter
	// InFlightAtReport is the value of Attempts when the report was received.
	InFlightAtReport int64
	// Hash is EndpointHash(ID).
	Hash uint64

	// slot is the index of the endpoint in Snapshot.slots. It has nothing to do with
	// adapter slots.
	slot int32
}

// Holds reports whether the adapter is resident.
func (e *Endpoint) Holds(a ident.Adapter) bool { return slices.Contains(e.Residents, a) }

// IsLoading reports whether the adapter is being loaded or waits to be loaded.
func (e *Endpoint) IsLoading(a ident.Adapter) bool { return slices.Contains(e.Loading, a) }

// Directory holds the last report of each endpoint. It is not safe for concurrent
// use.
type Directory struct {
	endpoints map[ident.EndpointID]*Endpoint
	counters  map[ident.EndpointID]*AttemptCounter
	index     index
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{endpoints: map[ident.EndpointID]*Endpoint{}, counters: map[ident.EndpointID]*AttemptCounter{}, index: newIndex()}
}

// Apply records a report. The first report of an incarnation carries all fields.
// Later reports may leave out the zone, kind, backend and engine version, and they leave
// out the adapters unless residents_changed is set. A report of an unknown incarnation
// without these fields is ignored.
func (d *Directory) Apply(now time.Time, r *fescuev1.Report) {
	id := ident.EndpointID(r.GetEndpointId())
	old := d.endpoints[id]
	e := fromReport(now, r)
	if e.Incarnation == 0 && old != nil {
		e.Incarnation = old.Incarnation
	}
	sameProcess := old != nil && old.Incarnation == e.Incarnation
	if !sameProcess && e.Kind == fescuev1.EndpointKind_ENDPOINT_KIND_UNSPECIFIED {
		return // the zone, kind and backend of this incarnation are not known
	}
	if d.counters[id] == nil {
		d.counters[id] = &AttemptCounter{}
	}
	e.Attempts = d.counters[id]
	e.Hash = EndpointHash(id)
	e.InFlightAtReport = e.Attempts.InFlight()
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
		EngineVersion:    EngineVersion(r.GetEngineVersion()),
	}
}

// EngineVersion converts the version in a message. The version of nil is zero.
func EngineVersion(m *fescuev1.EngineVersion) ident.EngineVersion {
	return ident.EngineVersion{Software: m.GetSoftware(), Weights: m.GetWeights()}
}

// EngineVersionMessage converts a version to a message.
func EngineVersionMessage(v ident.EngineVersion) *fescuev1.EngineVersion {
	return &fescuev1.EngineVersion{Software: v.Software, Weights: v.Weights}
}

// inherit copies the fields that a report leaves out from the previous report.
func (e *Endpoint) inherit(prev *Endpoint, r *fescuev1.Report) {
	if !r.GetResidentsChanged() {
		e.Residents, e.Loading = prev.Residents, prev.Loading
	}
	if r.GetEngineVersion() == nil {
		e.EngineVersion = prev.EngineVersion
	}
	if r.GetZone() == "" {
		e.Zone, e.Kind, e.Backend = prev.Zone, prev.Kind, prev.Backend
	}
}

// parseAdapters parses adapter names and skips malformed ones.
func parseAdapters(names []string) []ident.Adapter {
	out := make([]ident.Adapter, 0, len(names))
	for _, n := range names {
		if a, err := ident.ParseAdapter(n); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// Remove deletes an endpoint whose control stream has ended. Its counter of attempts
// is kept while any are in flight.
func (d *Directory) Remove(id ident.EndpointID) {
	e := d.endpoints[id]
	if e == nil {
		return
	}
	d.index.remove(e)
	delete(d.endpoints, id)
	if e.Attempts.InFlight() == 0 {
		delete(d.counters, id)
	}
}

// Snapshot returns an immutable copy of the directory.
func (d *Directory) Snapshot() *Snapshot { return d.index.snapshot() }
