package gateway

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// addEndpoint makes an entry know a server and connects it to the sidecar.
func (s *fleetSim) addEndpoint(e *fleetEntry, v *fleetServer) {
	e.directory.SetEndpoint(time.Now(), v.item)
	snapshot := e.directory.Snapshot()
	e.gateway.control.show(snapshot)
	for _, known := range snapshot.Services[modelService] {
		if known.ID != v.item.ID {
			continue
		}
		known.Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now(), Models: map[string]int{adapterKey.Model: 1}, Residents: fleetAdapters()})
		l := &link{entry: "e", endpoint: known, demand: e.gateway.control.demandOf(known), reloads: &e.gateway.control.reloads, origins: newOriginLink(), software: &e.gateway.control.software, softwareKnown: e.gateway.control.softwareKnown, log: logging.Nop()}
		l.loads.total = e.gateway.control.serviceLoads(modelService)
		e.gateway.control.originLinks.Store(known.Runtime, l.origins)
		s.links.Go(func() { s.runLink(e, l, v) })
	}
}

// fleetAdapters returns the adapters that all servers hold. Each is preferred at other
// servers, so that streams begin at all of them.
func fleetAdapters() map[fleet.AdapterKey]int {
	out := map[fleet.AdapterKey]int{}
	for i := range fleetServers {
		out[fleet.AdapterKey{Model: adapterKey.Model, Name: fmt.Sprint(i)}] = 1
	}
	return out
}

// runLink keeps a link connected while its entry runs and the server has not left.
func (s *fleetSim) runLink(e *fleetEntry, l *link, v *fleetServer) {
	for e.ctx.Err() == nil && !v.hasLeft() {
		if !s.isCutOff(e, v) {
			conn := s.connect(e, v)
			l.origins.connected(conn)
			ctx, cancel := context.WithCancel(e.ctx)
			l.send(ctx, cancel, conn)
			l.origins.connected(nil)
		}
		time.Sleep(linkBackoff)
	}
}

func (s *fleetSim) connect(e *fleetEntry, v *fleetServer) *fleetConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &fleetConn{sim: s, entry: e, server: v, registry: v.registry}
}

func (v *fleetServer) hasLeft() bool {
	select {
	case <-v.gone:
		return true
	default:
		return false
	}
}

// isCutOff reports whether an entry cannot reach the sidecar of a server.
func (s *fleetSim) isCutOff(e *fleetEntry, v *fleetServer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return v.cutOff || v.hiddenFrom[e] || v.hasLeft()
}

// fleetConn is the connection of an entry to a sidecar.
type fleetConn struct {
	fescuev1.ResidencyClient
	grpc.BidiStreamingClient[fescuev1.DemandUpdate, fescuev1.ServerState]
	sim    *fleetSim
	entry  *fleetEntry
	server *fleetServer
	// registry is that of the sidecar's process when the connection was opened.
	registry *origin.Registry
}

func (c *fleetConn) Send(m *fescuev1.DemandUpdate) error {
	if c.sim.isCutOff(c.entry, c.server) {
		return errCutOff
	}
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	if c.registry != c.server.registry {
		return errCutOff // the sidecar has restarted
	}
	for _, o := range m.GetStreamOrigins() {
		c.server.registry.Seen(time.Now(), origin.Origin{Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()})
		for _, id := range o.GetStreams() {
			c.server.registry.Add(origin.Record{Stream: origin.StreamID(id), Origin: origin.Origin{Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()}, At: time.Now()})
		}
	}
	c.server.registry.VersionsKnown(origin.DecodePeriod(time.Now(), m.GetSoftwareKnown()))
	return nil
}

func (c *fleetConn) FindOrigin(ctx context.Context, q *fescuev1.FindOriginRequest, opts ...grpc.CallOption) (*fescuev1.FindOriginResponse, error) {
	c.sim.mu.Lock()
	sidecar := &fakeSidecar{registry: c.server.registry}
	c.sim.mu.Unlock()
	sidecar.unreachable.Store(c.sim.isCutOff(c.entry, c.server))
	return sidecar.FindOrigin(ctx, q, opts...)
}
