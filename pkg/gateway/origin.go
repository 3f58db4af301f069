package gateway

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
	"github.com/fescuecourse/fescuecourse/pkg/route"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

const (
	// originTimeout limits the questions for the origin of a stream.
	originTimeout = 200 * time.Millisecond
	// retryAfterOrigin is the Retry-After value when the sidecars that may know the origin
	// of a stream, or the store, did not answer.
	retryAfterOrigin = 300 * time.Millisecond
	// continueMargin is the part of the caller's time that a wait for the directory leaves
	// for the second lookup and for the next event.
	continueMargin = 500 * time.Millisecond
)

// originTracker records where the streams of this entry begin and finds out where those
// of other entries began.
type originTracker struct {
	control  *control
	log      logging.Logger
	registry *origin.Registry
	holders  atomic.Pointer[holderChoice]
}

func newOriginTracker(c *control, log logging.Logger) *originTracker {
	return &originTracker{control: c, log: log.For(logging.ComponentRoute), registry: origin.NewRegistry()}
}

// link returns the link to the sidecar of a server, or nil if there is none.
func (t *originTracker) link(e *fleet.Endpoint) *originLink {
	l, ok := t.control.originLinks.Load(e.Runtime)
	if !ok {
		return nil
	}
	return l.(*originLink) //nolint:forcetypeassert // only links are stored
}

// streamBegins restricts a request to the software version of its server, because the
// first event of its response is about to be sent. It records the origin of a stream that
// may be resumed by another request. A resumed stream has its record already, unless it
// continues because there is only one version.
func (t *originTracker) streamBegins(x *exchange) {
	x.software.CompareAndSwap(nil, &x.endpoint.SoftwareVersion)
	if !x.route.Resumable || x.call.LastEventID != "" && !x.originUnknown {
		return
	}
	r := origin.Record{
		Stream: origin.ID(beginningRequestID(&x.call)),
		Origin: origin.Origin{Service: x.service.Name, SoftwareVersion: x.endpoint.SoftwareVersion},
		At:     time.Now(),
	}
	t.registry.Add(r)
	t.report(r)
}

// report makes the holders of a stream keep its origin. One of them gets it at once, the
// others with updates within demandInterval, which replace regular ones. A message to each
// at once would cost more processor time.
func (t *originTracker) report(r origin.Record) {
	sent := false
	for _, e := range t.holdersOf(r.Stream) {
		if l := t.link(e); l != nil {
			sent = l.add(r, !sent) || sent
		}
	}
}

// find looks up the origin of the stream that a request resumes, at this entry and then
// at the holders and the former holders in parallel. The first positive answer counts.
func (t *originTracker) find(ctx context.Context, x *exchange) originAnswer {
	now := time.Now()
	stream := origin.ID(beginningRequestID(&x.call))
	service := x.service.Name
	if o, ok := t.registry.Find(now, stream); ok {
		return originAnswer{origin: o, found: true}
	}
	a := originAnswer{versions: t.registry.Versions(now, service), settlesIn: t.control.settlesIn(now)}
	a.versions = append(a.versions, t.control.snapshot.Load().SoftwareVersions(now, service)...)
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	candidates := t.candidatesOf(stream)
	replies := make(chan holderReply, len(candidates))
	for _, e := range candidates {
		go func() {
			replies <- t.ask(ctx, e, &fescuev1.FindOriginRequest{Stream: uint64(stream), Service: service})
		}()
	}
	a.asked = len(candidates)
	for range candidates {
		if a.add(<-replies) {
			break
		}
	}
	a.addVersions(nil)
	return a
}

// confirm makes sure that an answer which leaves one software version lacks none that joined
// before the request, by way of an entry that is lost or of one that this entry cannot reach.
func (t *originTracker) confirm(ctx context.Context, x *exchange, a *originAnswer) {
	if _, single := a.singleVersion(); a.found || !single {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, x.nextEventBy().Add(-continueMargin))
	defer cancel()
	now := time.Now()
	if err := t.control.source.Confirm(ctx); err != nil {
		t.log.Warn().Str("request", x.call.RequestID).Err(err).Msg("cannot confirm that the directory is current")
		a.unconfirmed = true
		return
	}
	a.addVersions(t.control.snapshot.Load().SoftwareVersions(now, x.service.Name))
	own := t.control.softwareKnown()
	own.Until = now // confirmed
	a.known = append(a.known, own)
	a.knownFor = origin.KnownFor(now, a.known)
}

// ask sends a question to the sidecar of one holder.
func (t *originTracker) ask(ctx context.Context, e *fleet.Endpoint, q *fescuev1.FindOriginRequest) holderReply {
	var client fescuev1.ResidencyClient
	if l := t.link(e); l != nil {
		client = l.connection(ctx)
	}
	if client == nil {
		return holderReply{holder: e.ID}
	}
	m, err := client.FindOrigin(ctx, q)
	if err != nil {
		t.log.Debug().Str("endpoint", string(e.ID)).Err(err).Msg("holder of stream origins did not answer")
		return holderReply{holder: e.ID}
	}
	return holderReply{holder: e.ID, message: m}
}

// originFilter restricts a request that resumes a stream to servers of the software
// version that began it, and refuses it if that version is not known.
type originFilter struct{ g *Gateway }

func (f originFilter) do(ctx context.Context, x *exchange, next next) *failure {
	if x.route.Kind != route.Streaming || x.call.LastEventID == "" {
		return next(ctx, x)
	}
	began := time.Now()
	a := f.lookUp(ctx, x)
	if a.needsDirectory(streamAge(x.route)) && f.awaitDirectory(ctx, x) {
		a = f.lookUp(ctx, x)
	}
	fail := f.restrict(x, &a)
	f.logAnswer(x, &a, time.Since(began), fail)
	if fail != nil {
		return fail
	}
	return next(ctx, x)
}

// lookUp finds out where the stream of a request began or, if that is not known, what the
// versions are at which it may have begun.
func (f originFilter) lookUp(ctx context.Context, x *exchange) originAnswer {
	a := f.g.origins.find(ctx, x)
	f.g.origins.confirm(ctx, x, &a)
	return a
}

// awaitDirectory waits until the directory counts as complete. It reports false, without a
// wait if possible, if the caller would be gone by then.
func (f originFilter) awaitDirectory(ctx context.Context, x *exchange) bool {
	now := time.Now()
	settlesIn := f.g.control.settlesIn(now)
	if now.Add(settlesIn + continueMargin).After(x.nextEventBy()) {
		return false
	}
	return wait.For(ctx, settlesIn)
}

// restrict sets the service and the software version at which a resumed stream continues.
func (f originFilter) restrict(x *exchange, a *originAnswer) *failure {
	if !a.found {
		within := streamAge(x.route)
		version, ok := a.onlyVersion(within)
		switch {
		case ok:
			x.software.Store(&version)
			x.originUnknown = true
			return nil
		case a.needsDirectory(within):
			return notRun("the servers are not all known yet", a.settlesIn)
		case a.unconfirmed:
			return notRun("the servers cannot be listed now", retryAfterOrigin)
		case a.answered < a.asked:
			return notRun("the server that began the stream cannot be determined now", retryAfterOrigin)
		default:
			// Other servers may be holders once the directory is complete.
			return notRun("the server that began the stream is not known", a.settlesIn)
		}
	}
	x.software.Store(&a.origin.SoftwareVersion)
	if a.origin.Service == x.service.Name {
		return nil
	}
	// A configuration has changed the services of the route since the stream began.
	x.service = x.table.Service(a.origin.Service)
	if x.service == nil || !x.route.Serves(a.origin.Service) {
		return notRun("the service that began the stream no longer serves the route", 0)
	}
	return nil
}

func (f originFilter) logAnswer(x *exchange, a *originAnswer, took time.Duration, fail *failure) {
	version := ""
	if v := x.software.Load(); v != nil {
		version = *v
	}
	f.g.log.For(logging.ComponentRoute).Info().
		Str("request", x.call.RequestID).
		Str("resumes", x.call.Resumes).
		Str("origin", a.outcome()).
		Str("software_version", version).
		Str("holder", string(a.source)).
		Int("holders_asked", a.asked).
		Int("holders_answered", a.answered).
		Str("service_versions", strings.Join(a.versions, ",")).
		Dur("versions_known_for_ms", a.knownFor).
		Bool("unconfirmed", a.unconfirmed).
		Dur("directory_settles_in_ms", a.settlesIn).
		Bool("refused", fail != nil).
		Dur("took_ms", took).
		Msg("origin of a resumed stream looked up")
}

// noEndpoint returns the failure of a request that no endpoint can take. A stream of a
// software version of which no server is left cannot continue later either, so its caller
// is not told when to come back.
func noEndpoint(x *exchange, endpoints []*fleet.Endpoint, reason string) *failure {
	version := x.software.Load()
	retryAfter := nextAvailable(time.Now(), endpoints)
	if version == nil {
		return notRun(reason, retryAfter)
	}
	left := slices.ContainsFunc(endpoints, func(e *fleet.Endpoint) bool {
		return e.State == fleet.Ready && !e.Runtime.Leaving() && e.SoftwareVersion == *version
	})
	if !left {
		return notRun("no server of the software version that began the stream is left", 0)
	}
	return notRun("no server of the software version that began the stream is available", retryAfter)
}
