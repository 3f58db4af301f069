package endpoint

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// report returns a complete report of the endpoint's state.
func (e *Endpoint) report() *fescuev1.Report {
	s := e.control.snapshot.Load()
	return &fescuev1.Report{
		EndpointId:       string(e.id),
		Incarnation:      uint64(e.incarnation),
		Zone:             e.set.Zone,
		Kind:             e.kind(),
		Backend:          e.set.Backend,
		State:            e.state(s),
		BundleVersion:    uint64(e.bundles.Version()),
		ClockMs:          e.clockMS(),
		PositionsTotal:   uint32(s.limits.Positions),
		PositionsUsed:    uint32(s.stats.Running + s.stats.Foreign),
		Queued:           uint32(s.stats.Queued),
		Stalled:          uint32(s.stats.WaitingForLoad),
		Openings:         uint32(s.stats.LoadableSlots),
		LoadTimeMs:       uint32(s.stats.LoadTime.Milliseconds()),
		SlotsTotal:       uint32(s.limits.Slots),
		ResidentsChanged: true,
		Residents:        adapterNames(s.stats.Residents),
		Loading:          adapterNames(s.stats.Loading),
		ConnectedEntries: uint32(e.hub.connected()),
		CanLoad:          s.canLoad,
		QueueCapacity:    uint32(e.set.MaxQueued),
		EngineVersion:    membership.EngineVersionMessage(s.engineVersion),
	}
}

func (e *Endpoint) state(s *snapshot) fescuev1.EndpointState {
	switch {
	case e.leaving.Load():
		return fescuev1.EndpointState_ENDPOINT_STATE_LEAVING
	case !s.ready || e.bundles.Version() == 0:
		return fescuev1.EndpointState_ENDPOINT_STATE_STARTING
	default:
		return fescuev1.EndpointState_ENDPOINT_STATE_READY
	}
}

func adapterNames(adapters []ident.Adapter) []string {
	out := make([]string, len(adapters))
	for i, a := range adapters {
		out[i] = a.String()
	}
	slices.Sort(out)
	return out
}

// reportDue reports whether next must be sent now: either the state, the version of
// the engine, the resident set, the bundle version or the ability to load has changed,
// or the last report is older than the report interval. Other changes wait for the
// interval.
func reportDue(last, next *fescuev1.Report, age time.Duration) bool {
	if last.State != next.State || last.BundleVersion != next.BundleVersion || last.CanLoad != next.CanLoad {
		return true
	}
	return versionChanged(last, next) || residentsChanged(last, next) || age >= reportInterval
}

func versionChanged(last, next *fescuev1.Report) bool {
	return !proto.Equal(last.EngineVersion, next.EngineVersion)
}

func residentsChanged(last, next *fescuev1.Report) bool {
	return !slices.Equal(last.Residents, next.Residents) || !slices.Equal(last.Loading, next.Loading)
}

// delta returns next without the fields that entries keep from earlier reports on
// the same stream: those that never change and, if unchanged since last, the
// engine version and the resident and loading adapters.
func delta(last, next *fescuev1.Report) *fescuev1.Report {
	d := &fescuev1.Report{
		EndpointId:       next.EndpointId,
		Incarnation:      next.Incarnation,
		State:            next.State,
		BundleVersion:    next.BundleVersion,
		ClockMs:          next.ClockMs,
		PositionsTotal:   next.PositionsTotal,
		PositionsUsed:    next.PositionsUsed,
		Queued:           next.Queued,
		Stalled:          next.Stalled,
		LoadTimeMs:       next.LoadTimeMs,
		Openings:         next.Openings,
		QueueCapacity:    next.QueueCapacity,
		SlotsTotal:       next.SlotsTotal,
		ConnectedEntries: next.ConnectedEntries,
		CanLoad:          next.CanLoad,
	}
	if versionChanged(last, next) {
		d.EngineVersion = next.EngineVersion
	}
	if residentsChanged(last, next) {
		d.ResidentsChanged = true
		d.Residents = next.Residents
		d.Loading = next.Loading
	}
	return d
}
