package sidecar

import (
	"context"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// recordOrigins records the streams that an entry reports as begun, and the period of which
// it knows the software versions. The streams need not have begun at the server beside this
// sidecar. Origins without streams announce software versions.
func (h *hub) recordOrigins(now time.Time, m *fescuev1.DemandUpdate) {
	for _, o := range m.GetStreamOrigins() {
		h.origins.Seen(now, origin.Origin{Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()})
		for _, stream := range o.GetStreams() {
			h.origins.Add(origin.Record{
				Stream: origin.StreamID(stream),
				Origin: origin.Origin{Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()},
				At:     now,
			})
		}
	}
	h.origins.VersionsKnown(origin.DecodePeriod(now, m.GetSoftwareKnown()))
}

// FindOrigin implements fescuev1.ResidencyServer.
func (h *hub) FindOrigin(_ context.Context, r *fescuev1.FindOriginRequest) (*fescuev1.FindOriginResponse, error) {
	now := time.Now()
	o, found := h.origins.Find(now, origin.StreamID(r.GetStream()))
	return &fescuev1.FindOriginResponse{
		Found:           found,
		Service:         o.Service,
		SoftwareVersion: o.SoftwareVersion,
		ServiceVersions: h.origins.Versions(now, r.GetService()),
		SoftwareKnown:   origin.EncodePeriod(now, h.origins.KnownPeriod()),
	}, nil
}
