package entry

import (
	"net/http"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
	"github.com/fescuecourse/fescuecourse/pkg/settle"
)

// Exchange is one request on its way through the filters.
type Exchange struct {
	ID ident.RequestID
	w  http.ResponseWriter
	r  *http.Request

	// Set by the authenticate filter.
	bundle *bundle.Bundle
	team   bundle.TeamPolicy

	// Set by the resolve filter.
	kind       fescuev1.EndpointKind
	route      string
	adapter    ident.Adapter
	backend    string
	model      string
	body       []byte
	stream     bool
	idempotent bool
	key        string
	deadline   time.Time
	answer     responder

	// Set for each attempt.
	attempt  uint32
	excluded []ident.EndpointID
	endpoint *membership.Endpoint

	result attemptResult

	// uncertain is true once an attempt has ended with an unknown result.
	uncertain  bool
	settlement *settle.Settlement
}

// placementRequest describes the exchange to the placement policy.
func (x *Exchange) placementRequest(now time.Time, zone ident.AvailabilityZone) *placement.Request {
	return &placement.Request{
		Now:      now,
		Kind:     x.kind,
		Backend:  x.backend,
		Adapter:  x.adapter,
		Zone:     zone,
		Excluded: x.excluded,
	}
}

// runRequest builds the message for the current attempt.
func (x *Exchange) runRequest(entry ident.EntryID, now time.Time) *fescuev1.RunRequest {
	req := &fescuev1.RunRequest{
		Ref:             x.ref(),
		EntryId:         string(entry),
		EndpointId:      string(x.endpoint.ID),
		Incarnation:     uint64(x.endpoint.Incarnation),
		BundleVersion:   uint64(x.bundle.Version()),
		Team:            string(x.team.Team),
		Idempotent:      x.idempotent,
		Priority:        fescuev1.Priority(x.team.Priority),
		DeadlineMs:      uint64(max(x.deadline.Sub(now).Milliseconds(), 0)),
		EndpointClockMs: x.endpoint.ClockMS,
	}
	if x.kind == fescuev1.EndpointKind_ENDPOINT_KIND_MODEL {
		req.Work = &fescuev1.RunRequest_Model{Model: &fescuev1.ModelCall{
			Adapter:      x.adapter.Name,
			Version:      x.adapter.Version,
			BaseModel:    x.backend,
			Path:         x.r.URL.Path,
			Body:         x.body,
			ResumeEvents: x.answer.received(),
		}}
		return req
	}
	req.Work = &fescuev1.RunRequest_Service{Service: &fescuev1.ServiceCall{
		Service:     x.backend,
		Method:      x.r.Method,
		Path:        servicePath(x.r.URL.Path),
		Body:        x.body,
		ContentType: x.r.Header.Get("Content-Type"),
	}}
	return req
}

func (x *Exchange) ref() *fescuev1.AttemptRef {
	return &fescuev1.AttemptRef{RequestId: string(x.ID), Attempt: x.attempt}
}
