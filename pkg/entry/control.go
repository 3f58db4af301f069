package entry

import (
	"context"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/bus"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/membership"
	"github.com/fescuecourse/fescuecourse/pkg/permits"
)

// Limits and intervals of the control loop.
const (
	controlQueueSize   = 1024
	permitTickInterval = 100 * time.Millisecond
	// permitTTL is the validity of a load permit. It exceeds the 2 s interval at
	// which endpoints renew their permits. An endpoint that goes silent blocks the
	// adapter loads of all other endpoints for this long.
	permitTTL          = 4 * time.Second
	maxConcurrentLoads = 1
	// publishInterval is the minimum time between two snapshots of the directory.
	// Reports that arrive in between share one snapshot.
	publishInterval = 20 * time.Millisecond
)

// reportEvent is a report that an endpoint has sent on a control stream.
type reportEvent struct {
	at     time.Time
	stream streamID
	report *fescuev1.Report
}

// streamEndEvent reports that a control stream has ended.
type streamEndEvent struct{ stream streamID }

// streamID identifies a control stream. Sequence numbers increase with each new
// stream, whichever connection it uses.
type streamID struct {
	endpoint ident.EndpointID
	sequence uint64
}

// permitEvent is an endpoint's request for a load permit, or its release of one if
// request is nil.
type permitEvent struct {
	endpoint ident.EndpointID
	request  *fescuev1.PermitRequest
	release  *fescuev1.PermitRelease
}

// events holds the bus topics for the messages on control streams and for the ends of
// these streams.
type events struct {
	reports    bus.Topic[reportEvent]
	streamEnds bus.Topic[streamEndEvent]
	permits    bus.Topic[permitEvent]
}

func newEvents(b *bus.Bus) events {
	return events{
		reports:    bus.NewTopic[reportEvent](b, "reports"),
		streamEnds: bus.NewTopic[streamEndEvent](b, "control-streams"),
		permits:    bus.NewTopic[permitEvent](b, "permits"),
	}
}

// received publishes a message from a control stream. Publish errors are ignored,
// because a full or closed bus only delays updates of the directory.
func (ev events) received(id streamID, m *fescuev1.ControlResponse) {
	switch b := m.GetBody().(type) {
	case *fescuev1.ControlResponse_Report:
		b.Report.EndpointId = string(id.endpoint)
		_ = ev.reports.Publish(reportEvent{at: time.Now(), stream: id, report: b.Report})
	case *fescuev1.ControlResponse_PermitRequest:
		_ = ev.permits.Publish(permitEvent{endpoint: id.endpoint, request: b.PermitRequest})
	case *fescuev1.ControlResponse_PermitRelease:
		_ = ev.permits.Publish(permitEvent{endpoint: id.endpoint, release: b.PermitRelease})
	}
}

func (ev events) streamEnded(id streamID) { _ = ev.streamEnds.Publish(streamEndEvent{stream: id}) }

// controlLoop owns the endpoint directory and the permit coordinator. All changes to
// them run on its goroutine.
type controlLoop struct {
	e           *Entry
	log         logging.Logger
	directory   *membership.Directory
	coordinator *permits.Coordinator
	inbox       chan func(now time.Time)
	// publishTimer fires when a changed directory is due for publication. It is nil
	// while no publication is scheduled.
	publishTimer <-chan time.Time
	publishedAt  time.Time
	bundle       *bundle.Bundle
	streams      streamTable
}

// streamTable holds the latest and the last ended control stream of each endpoint.
// Reports and ends of streams arrive on different topics. The end of a stream may
// therefore be handled after the first report of the next stream, or before the last
// report of the same stream.
type streamTable map[ident.EndpointID]*streamState

type streamState struct{ latest, ended uint64 }

func (t streamTable) state(id ident.EndpointID) *streamState {
	if t[id] == nil {
		t[id] = &streamState{}
	}
	return t[id]
}

// accept reports whether a report on the given stream may be applied: no later stream
// of the endpoint has sent a report, and the stream has not ended. If so, it records
// the stream as the latest one.
func (t streamTable) accept(id streamID) bool {
	s := t.state(id.endpoint)
	if id.sequence < s.latest || id.sequence <= s.ended {
		return false
	}
	s.latest = id.sequence
	return true
}

// end records that a stream has ended. It reports whether no later stream has sent a
// report.
func (t streamTable) end(id streamID) bool {
	s := t.state(id.endpoint)
	s.ended = max(s.ended, id.sequence)
	return id.sequence >= s.latest
}

func newControlLoop(e *Entry) *controlLoop {
	c := &controlLoop{
		e:           e,
		log:         e.log.For(logging.ComponentPermit),
		directory:   membership.New(),
		coordinator: permits.New(permits.Config{MaxConcurrent: maxConcurrentLoads, GrantTTL: permitTTL}),
		inbox:       make(chan func(now time.Time), controlQueueSize),
		streams:     streamTable{},
	}
	e.events.reports.Handle("directory-reports", func(ev reportEvent) { c.post(func(time.Time) { c.onReport(ev) }) })
	e.events.streamEnds.Handle("directory-gone", func(ev streamEndEvent) { c.post(func(now time.Time) { c.onStreamEnd(now, ev) }) })
	e.events.permits.Handle("permit-requests", func(ev permitEvent) { c.post(func(now time.Time) { c.onPermit(now, ev) }) })
	return c
}

func (c *controlLoop) post(fn func(now time.Time)) {
	select {
	case c.inbox <- fn:
	case <-c.e.stopped:
	}
}

// run handles events until ctx ends.
func (c *controlLoop) run(ctx context.Context) {
	c.applyBundle()
	tick := time.NewTicker(permitTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-c.inbox:
			fn(time.Now())
		case now := <-c.publishTimer:
			c.publishNow(now)
		case now := <-tick.C:
			c.sendGrants(c.coordinator.Tick(now))
			c.applyBundle()
		}
	}
}

// applyBundle applies the active bundle to the entry if it has changed.
func (c *controlLoop) applyBundle() {
	if b := c.e.bundles.Current(); b != nil && b != c.bundle {
		c.bundle = b
		c.e.ApplyConfig(b)
	}
}

func (c *controlLoop) onReport(ev reportEvent) {
	if !c.streams.accept(ev.stream) {
		return
	}
	c.directory.Apply(ev.at, ev.report)
	c.schedulePublish(time.Now())
}

// schedulePublish publishes the directory now, or once publishInterval has passed
// since the last publication.
func (c *controlLoop) schedulePublish(now time.Time) {
	if c.publishTimer != nil {
		return
	}
	wait := publishInterval - now.Sub(c.publishedAt)
	if wait <= 0 {
		c.publishNow(now)
		return
	}
	c.publishTimer = time.After(wait)
}

func (c *controlLoop) publishNow(now time.Time) {
	c.publishTimer, c.publishedAt = nil, now
	c.e.directory.Store(c.directory.Snapshot())
}

func (c *controlLoop) onStreamEnd(now time.Time, ev streamEndEvent) {
	if !c.streams.end(ev.stream) {
		return
	}
	c.directory.Remove(ev.stream.endpoint)
	c.schedulePublish(now)
	c.sendGrants(c.coordinator.RemoveEndpoint(now, ev.stream.endpoint))
}

func (c *controlLoop) onPermit(now time.Time, ev permitEvent) {
	if r := ev.request; r != nil {
		if a, err := ident.ParseAdapter(r.GetAdapter()); err == nil {
			grants := c.coordinator.Request(now, c.permitRequest(ev.endpoint, a, r))
			c.sendGrants(grants)
			c.acknowledge(permits.Key{Endpoint: ev.endpoint, Adapter: a}, grants)
		}
		return
	}
	if a, err := ident.ParseAdapter(ev.release.GetAdapter()); err == nil {
		c.sendGrants(c.coordinator.Release(now, permits.Key{Endpoint: ev.endpoint, Adapter: a}))
	}
}

// acknowledge replies to a permit request that has not been granted yet. Without a
// reply, the endpoint would assume that the coordinator has failed, and would load
// its adapter without a permit while another endpoint loads with one.
func (c *controlLoop) acknowledge(k permits.Key, grants []permits.Key) {
	if slices.Contains(grants, k) {
		return
	}
	if l := c.e.connector.link(k.Endpoint); l != nil {
		l.queueGrant(&fescuev1.PermitGrant{Adapter: k.Adapter.String()})
	}
}

func (c *controlLoop) permitRequest(id ident.EndpointID, a ident.Adapter, r *fescuev1.PermitRequest) permits.Request {
	req := permits.Request{
		Key:      permits.Key{Endpoint: id, Adapter: a},
		Waiting:  int(r.GetWaitingRequests()),
		Waited:   time.Duration(r.GetWaitedMs()) * time.Millisecond,
		Weight:   1,
		Priority: ident.Priority(r.GetPriority()),
		Store:    r.GetWeightStore(),
		Loading:  r.GetLoading(),
	}
	if b := c.e.bundles.Current(); b != nil {
		if p, ok := b.Team(a.Team); ok {
			req.Weight = p.Weight
		}
	}
	return req
}

func (c *controlLoop) sendGrants(grants []permits.Key) {
	for _, k := range grants {
		c.log.Info().Str("endpoint", string(k.Endpoint)).Str("adapter", k.Adapter.String()).Msg("load permitted")
		l := c.e.connector.link(k.Endpoint)
		if l == nil {
			continue
		}
		l.queueGrant(&fescuev1.PermitGrant{Adapter: k.Adapter.String(), ValidMs: uint64(permitTTL.Milliseconds())})
	}
}
