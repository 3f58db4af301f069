package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
)

// StatusPath is the path of the status document. Requests for it need no signature,
// because they change nothing and the document contains no keys.
const StatusPath = "/admin/v1/status"

// Status is the state of an entry and of the endpoints in its directory.
type Status struct {
	Entry         ident.EntryID          `json:"entry"`
	Zone          ident.AvailabilityZone `json:"zone"`
	Ready         bool                   `json:"ready"`
	Reasons       []string               `json:"reasons,omitempty"`
	BundleVersion ident.BundleVersion    `json:"bundle_version"`
	Endpoints     []EndpointStatus       `json:"endpoints"`
}

// EndpointStatus is the state of an endpoint as last reported to the entry.
// ReportAgeMS is the age of this report in milliseconds.
type EndpointStatus struct {
	ID            ident.EndpointID       `json:"id"`
	Zone          ident.AvailabilityZone `json:"zone"`
	Backend       string                 `json:"backend"`
	State         string                 `json:"state"`
	BundleVersion ident.BundleVersion    `json:"bundle_version"`
	ReportAgeMS   int64                  `json:"report_age_ms"`
	Positions     int                    `json:"positions"`
	Running       int                    `json:"running"`
	Queued        int                    `json:"queued"`
	InFlight      int64                  `json:"in_flight"`
	Slots         int                    `json:"slots"`
	Residents     []string               `json:"residents"`
	Loading       []string               `json:"loading"`
	CanLoad       bool                   `json:"can_load"`
}

// Status returns the current state of the entry and of its endpoints.
func (e *Entry) Status() Status {
	now := time.Now()
	reasons := e.unreadyReasons()
	s := Status{Entry: e.id, Zone: e.zone, Ready: len(reasons) == 0, Reasons: reasons, BundleVersion: e.bundles.Version(), Endpoints: []EndpointStatus{}}
	for _, ep := range e.directory.Load().Endpoints {
		s.Endpoints = append(s.Endpoints, endpointStatus(ep, now))
	}
	return s
}

func endpointStatus(ep *membership.Endpoint, now time.Time) EndpointStatus {
	return EndpointStatus{
		ID:            ep.ID,
		Zone:          ep.Zone,
		Backend:       ep.Backend,
		State:         stateName(ep.State),
		BundleVersion: ep.BundleVersion,
		ReportAgeMS:   now.Sub(ep.ReportedAt).Milliseconds(),
		Positions:     ep.PositionsTotal,
		Running:       ep.PositionsUsed,
		Queued:        ep.Queued,
		InFlight:      ep.Attempts.InFlight(),
		Slots:         ep.SlotsTotal,
		Residents:     adapterNames(ep.Residents),
		Loading:       adapterNames(ep.Loading),
		CanLoad:       ep.CanLoad,
	}
}

func stateName(s fescuev1.EndpointState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "ENDPOINT_STATE_"))
}

func adapterNames(adapters []ident.Adapter) []string {
	out := make([]string, len(adapters))
	for i, a := range adapters {
		out[i] = a.String()
	}
	return out
}

func (e *Entry) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Status()) // the client may have disconnected
}
