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

// Limits of the control loop.
const (
	controlBuffer = 1024
	permitTick    = 100 * time.Millisecond
	// permitTTL exceeds the interval at which endpoints renew their permits, which
	// is 2 s. A silent endpoint holds up the loads of all others for this long.
	permitTTL      = 4 * time.Second
	permitParallel = 1
	// publishInterval bounds how often a snapshot is built. Reports that arrive
	// in between share one snapshot.
	publishInterval = 20 * time.Millisecond
)

// reportEvent is one report from an endpoint.
type reportEvent struct {
	at     time.Time
	stream streamID
	report *fescuev1.Report
}

// goneEvent is the end of a control stream.
type goneEvent struct{ stream streamID }

// streamID names one control stream. Sequence numbers rise with each stream of
// an endpoint, also across its connections.
type streamID struct {
	endpoint ident.EndpointID
	sequence uint64
}

// permitEvent is a request or release of a load permit.
type permitEvent struct {
	endpoint ident.EndpointID
	request  *fescuev1.PermitRequest
	release  *fescuev1.PermitRelease
}

// events are the topics of control events.
type events struct {
	reports bus.Topic[reportEvent]
	leavers bus.Topic[goneEvent]
	permits bus.Topic[permitEvent]
}

func newEvents(b *bus.Bus) events {
	return events{
		reports: bus.NewTopic[reportEvent](b, "reports"),
		leavers: bus.NewTopic[goneEvent](b, "control-streams"),
		permits: bus.NewTopic[permitEvent](b, "permits"),
	}
}

// received publishes a message from a control stream. A full or closed bus only
// delays the directory, so errors are dropped.
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

func (ev events) gone(id streamID) { _ = ev.leavers.Publish(goneEvent{stream: id}) }

// control owns the directory and the permit coordinator. All changes go through
// its goroutine.
type control struct {
	e           *Entry
	log         logging.Logger
	directory   *membership.Directory
	coordinator *permits.Coordinator
	inbox       chan func(now time.Time)
	// publish fires when a changed directory is due for publication. It is nil
	// while nothing has changed.
	publish   <-chan time.Time
	published time.Time
	bundle    *bundle.Bundle
	streams   streamTable
}

// streamTable orders the events of successive control streams. Reports and ends
// of streams arrive on different topics, so an end may be handled after the
// first report of the next stream, or before the last report of its own.
type streamTable map[ident.EndpointID]*streamState

type streamState struct{ latest, ended uint64 }

func (t streamTable) state(id ident.EndpointID) *streamState {
	if t[id] == nil {
		t[id] = &streamState{}
	}
	return t[id]
}

// current reports whether a report belongs to the latest stream that has not
// ended.
func (t streamTable) current(id streamID) bool {
	s := t.state(id.endpoint)
	if id.sequence < s.latest || id.sequence <= s.ended {
		return false
	}
	s.latest = id.sequence
	return true
}

// end records the end of a stream. It reports whether no later one has started.
func (t streamTable) end(id streamID) bool {
	s := t.state(id.endpoint)
	s.ended = max(s.ended, id.sequence)
	return id.sequence >= s.latest
}

func newControl(e *Entry) *control {
	c := &control{
		e:           e,
		log:         e.log.For(logging.ComponentPermit),
		directory:   membership.New(),
		coordinator: permits.New(permits.Config{MaxConcurrent: permitParallel, GrantTTL: permitTTL}),
		inbox:       make(chan func(now time.Time), controlBuffer),
		streams:     streamTable{},
	}
	e.events.reports.Handle("directory-reports", func(ev reportEvent) { c.post(func(time.Time) { c.onReport(ev) }) })
	e.events.leavers.Handle("directory-gone", func(ev goneEvent) { c.post(func(now time.Time) { c.onGone(now, ev) }) })
	e.events.permits.Handle("permit-requests", func(ev permitEvent) { c.post(func(now time.Time) { c.onPermit(now, ev) }) })
	return c
}

func (c *control) post(fn func(now time.Time)) {
	select {
	case c.inbox <- fn:
	case <-c.e.stopped:
	}
}

// run applies events until ctx ends.
func (c *control) run(ctx context.Context) {
	c.applyBundle()
	tick := time.NewTicker(permitTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-c.inbox:
			fn(time.Now())
		case now := <-c.publish:
			c.publishNow(now)
		case now := <-tick.C:
			c.send(c.coordinator.Tick(now))
			c.applyBundle()
		}
	}
}

// applyBundle passes a newly active bundle on.
func (c *control) applyBundle() {
	if b := c.e.bundles.Current(); b != nil && b != c.bundle {
		c.bundle = b
		c.e.ApplyConfig(b)
	}
}

func (c *control) onReport(ev reportEvent) {
	if !c.streams.current(ev.stream) {
		return
	}
	c.directory.Apply(ev.at, ev.report)
	c.changed(time.Now())
}

// changed publishes the directory now, or later if it was published recently.
func (c *control) changed(now time.Time) {
	if c.publish != nil {
		return
	}
	wait := publishInterval - now.Sub(c.published)
	if wait <= 0 {
		c.publishNow(now)
		return
	}
	c.publish = time.After(wait)
}

func (c *control) publishNow(now time.Time) {
	c.publish, c.published = nil, now
	c.e.directory.Store(c.directory.Snapshot())
}

func (c *control) onGone(now time.Time, ev goneEvent) {
	if !c.streams.end(ev.stream) {
		return
	}
	c.directory.Remove(ev.stream.endpoint)
	c.changed(now)
	c.send(c.coordinator.RemoveEndpoint(now, ev.stream.endpoint))
}

func (c *control) onPermit(now time.Time, ev permitEvent) {
	if r := ev.request; r != nil {
		if a, err := ident.ParseAdapter(r.GetAdapter()); err == nil {
			grants := c.coordinator.Request(now, c.permitRequest(ev.endpoint, a, r))
			c.send(grants)
			c.acknowledge(permits.Key{Endpoint: ev.endpoint, Adapter: a}, grants)
		}
		return
	}
	if a, err := ident.ParseAdapter(ev.release.GetAdapter()); err == nil {
		c.send(c.coordinator.Release(now, permits.Key{Endpoint: ev.endpoint, Adapter: a}))
	}
}

// acknowledge answers a request that is not granted yet. Without an answer the
// endpoint takes the coordinator for dead and loads beside the permitted load.
func (c *control) acknowledge(k permits.Key, grants []permits.Key) {
	if slices.Contains(grants, k) {
		return
	}
	if l := c.e.connector.link(k.Endpoint); l != nil {
		l.grant(&fescuev1.PermitGrant{Adapter: k.Adapter.String()})
	}
}

func (c *control) permitRequest(id ident.EndpointID, a ident.Adapter, r *fescuev1.PermitRequest) permits.Request {
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

func (c *control) send(grants []permits.Key) {
	for _, k := range grants {
		c.log.Info().Str("endpoint", string(k.Endpoint)).Str("adapter", k.Adapter.String()).Msg("load permitted")
		l := c.e.connector.link(k.Endpoint)
		if l == nil {
			continue
		}
		l.grant(&fescuev1.PermitGrant{Adapter: k.Adapter.String(), ValidMs: uint64(permitTTL.Milliseconds())})
	}
}
