package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/placement"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/settle"
)

// Exchange is the state of one request while the filters process it.
type Exchange struct {
	ID ident.RequestID
	w  http.ResponseWriter
	r  *http.Request

	// Set by the authenticate filter.
	bundle *bundle.Bundle
	team   bundle.TeamPolicy

	// Set by the resolve filter.
	kind    fescuev1.EndpointKind
	route   string
	adapter ident.Adapter
	backend string
	model   string
	body    []byte
	// bodyBegun is true once the body is being read, and bodyRead once all of it was read.
	bodyBegun, bodyRead bool

	stream     bool
	idempotent bool
	key        string
	deadline   time.Time
	response   responder

	// Set anew for each attempt.
	attempt  uint32
	excluded []ident.EndpointID
	endpoint *membership.Endpoint
	group    *membership.Group
	result   attemptResult
	// claim is the stored claim record of the current attempt, or nil.
	claim *ClaimRecord
	// replayed is true if the stored response to an earlier request with the same
	// idempotency key was sent to the caller.
	replayed bool

	// engineVersion is the version of the engine that produced the received events.
	engineVersion ident.EngineVersion

	prefix        uint64
	history       retry.History
	started       time.Time
	firstDataSeen bool
	sent          bool
	// complete is set once a complete response of an endpoint or a complete error
	// response was sent.
	complete bool
	// cause is why the request ended before an endpoint's response was complete.
	cause      endcause.Cause
	settlement *settle.Settlement
}

// endResponse completes the response after an endpoint has sent all of it.
func (x *Exchange) endResponse() {
	x.response.end()
	x.complete = true
}

// recordCause records why the request ended before an endpoint's response was
// complete.
func (x *Exchange) recordCause(ctx context.Context) {
	if !x.complete {
		x.cause = endcause.OfRequest(ctx, x.result.cause)
	}
}

// prefixHashBytes is the number of bytes at the start of a prompt that are hashed.
// Placement uses the hash to find an endpoint with a matching prefix cache.
const prefixHashBytes = 256

func prefixHash(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixHashBytes)])
}

// setBundle sets the bundle under which the rest of the request is processed, and
// the team policy from this bundle.
func (x *Exchange) setBundle(b *bundle.Bundle) {
	x.bundle = b
	x.team, _ = b.Team(x.team.Team)
	x.w.Header().Set(headerBundleVersion, strconv.FormatUint(uint64(b.Version()), 10))
}

// markSent records that the request has been passed to an endpoint and may have run.
func (x *Exchange) markSent() {
	x.sent = true
	x.settlement.MarkSent()
}

// recordFirstData updates the metric of the time to the first data, once per
// request.
func (x *Exchange) recordFirstData(e *Entry) {
	if x.firstDataSeen {
		return
	}
	x.firstDataSeen = true
	e.metrics.firstToken.Update(time.Since(x.started).Microseconds())
}

// claimRecord returns the claim record for the current attempt.
func (x *Exchange) claimRecord() ClaimRecord {
	return ClaimRecord{
		Request:         x.ID,
		Attempt:         x.attempt,
		Endpoint:        x.endpoint.ID,
		Incarnation:     x.endpoint.Incarnation,
		EndpointClockMS: x.endpoint.ClockMS,
		BodyHash:        x.bodyHash(),
	}
}

// bodyHash returns the SHA-256 hash of the route and the body, which identifies the
// content of the request.
func (x *Exchange) bodyHash() (sum [sha256.Size]byte) {
	h := sha256.New()
	h.Write([]byte(x.route))
	h.Write([]byte{0})
	h.Write(x.body)
	h.Sum(sum[:0])
	return sum
}

// placementRequest returns the input of the placement policy for this request.
func (x *Exchange) placementRequest(now time.Time, zone ident.AvailabilityZone) *placement.Request {
	return &placement.Request{
		Now:      now,
		Kind:     x.kind,
		Backend:  x.backend,
		Adapter:  x.adapter,
		Zone:     zone,
		Excluded: x.excluded,
		Prefix:   x.prefix,
		// Engines of another version may generate other events.
		EngineVersion: x.resumeVersion(),
		// Remaining must be positive even if the deadline has passed.
		Remaining: max(x.deadline.Sub(now), 1),
	}
}

// runRequest returns the message that starts the current attempt at its endpoint.
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
			Adapter:       x.adapter.Name,
			Version:       x.adapter.Version,
			BaseModel:     x.backend,
			Path:          x.r.URL.Path,
			Body:          x.body,
			ResumeEvents:  x.response.received(),
			ResumeVersion: x.resumeVersionMessage(),
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

// resumeVersion returns the version of the engine whose events the next attempt of a
// model call continues, or nil if no event has arrived.
func (x *Exchange) resumeVersion() *ident.EngineVersion {
	if x.kind != fescuev1.EndpointKind_ENDPOINT_KIND_MODEL || x.response.received() == 0 {
		return nil
	}
	return &x.engineVersion
}

func (x *Exchange) resumeVersionMessage() *fescuev1.EngineVersion {
	v := x.resumeVersion()
	if v == nil {
		return nil
	}
	return membership.EngineVersionMessage(*v)
}

func (x *Exchange) ref() *fescuev1.AttemptRef {
	return &fescuev1.AttemptRef{RequestId: string(x.ID), Attempt: x.attempt}
}
