package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/endpoint"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/node"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
	"github.com/fescuecourse/fescuecourse/standin/fault"
	fakeservice "github.com/fescuecourse/fescuecourse/standin/service"
)

// Server is one VM of the cluster: a fake backend and the endpoint process beside
// it, which can be stopped and restarted.
type Server struct {
	ID     ident.EndpointID
	Zone   ident.AvailabilityZone
	Faults *fault.Injector
	// Engine is nil for a service server, Service for a model server.
	Engine  *fakeengine.Server
	Service *fakeservice.Server

	c        *Cluster
	settings endpoint.Settings
	relays   []*fault.Relay
	mu       sync.Mutex
	process  *process
	ep       *node.Endpoint
	store    *processStore
	// generation is incremented by every start, stop, freeze and thaw. It shows whether
	// one of these occurred during a query.
	generation int
	frozen     bool
}

func (c *Cluster) newServer(id, kind, backend string, i int) *Server {
	zone := c.Opts.AvailabilityZone[i%len(c.Opts.AvailabilityZone)]
	return &Server{
		ID: ident.EndpointID(id), Zone: ident.AvailabilityZone(zone), c: c,
		Faults: fault.New(c.Opts.FaultSeed+1+uint64(len(c.Servers)), time.Now),
		settings: endpoint.Settings{
			ID: id, Zone: zone, Listen: "127.0.0.1:0", Kind: kind, Backend: backend,
			MaxQueued: 256, Positions: c.Opts.Positions, DrainTimeout: c.Opts.DrainTimeout, Fencing: endpoint.FencingIgnored,
			LeaseTTL: c.Opts.LeaseTTL, EvictionPolicy: c.Opts.Policy.Eviction, LoadPermits: c.Opts.Policy.Permits, QueuePolicy: c.Opts.Policy.Queue,
		},
	}
}

func (c *Cluster) startModelServer(i int) error {
	s := c.newServer(fmt.Sprintf("model-%d", i+1), endpoint.KindModel, BaseModel, i)
	// Every second engine checks fencing tokens, so that endpoints run with both values
	// of the setting Fencing.
	checksFencing := i%2 == 0
	if checksFencing {
		s.settings.Fencing = endpoint.FencingChecked
	}
	s.Engine = fakeengine.New(fakeengine.Options{
		BaseModel: BaseModel, Version: c.versionOf(i), Slots: c.Opts.Slots, Positions: c.Opts.Positions,
		Timing:  fakeengine.Timing{Prefill: c.Opts.Prefill, Decode: c.Opts.Decode},
		Weights: c.Weights, Faults: s.Faults, Residents: c.residentsOf(i), ChecksFencing: checksFencing,
	})
	addr, err := c.serve(s.Engine.Handler())
	if err != nil {
		return err
	}
	return c.addServer(s, addr)
}

// versionOf returns the version of the i-th engine.
func (c *Cluster) versionOf(i int) ident.EngineVersion {
	if len(c.Opts.EngineVersions) == 0 {
		return ident.EngineVersion{}
	}
	return c.Opts.EngineVersions[i%len(c.Opts.EngineVersions)]
}

// residentsOf returns the adapters that are resident on the i-th engine at the
// start.
func (c *Cluster) residentsOf(i int) []ident.Adapter {
	var out []ident.Adapter
	for j := i; j < len(c.Opts.Residents) && len(out) < c.Opts.Slots; j += c.Opts.ModelServers {
		out = append(out, c.Opts.Residents[j])
	}
	return out
}

func (c *Cluster) startServiceServer(i int) error {
	s := c.newServer(fmt.Sprintf("%s-%d", c.Opts.Service, i+1), endpoint.KindService, c.Opts.Service, i)
	s.Service = fakeservice.New(s.c.Opts.ServiceDelay, s.Faults)
	addr, err := c.serve(s.Service.Handler())
	if err != nil {
		return err
	}
	return c.addServer(s, addr)
}

func (c *Cluster) addServer(s *Server, backendAddr string) error {
	s.settings.Address = backendAddr
	c.Servers = append(c.Servers, s)
	return s.Start()
}

// Start starts a new endpoint process and puts the endpoint on the VM lists.
func (s *Server) Start() error {
	store := &processStore{Store: s.c.store()}
	ep := node.NewEndpoint(s.settings, s.c.nodePlatform(store))
	p := startProcess(ep.Run)
	select {
	case <-ep.Ready():
	case <-p.done:
		return p.err
	}
	s.mu.Lock()
	s.process, s.ep, s.store = p, ep, store
	s.generation++
	s.mu.Unlock()
	return s.announce(ep.Addr())
}

// announce puts the endpoint on the VM list of every entry, with its own address or
// with that of a relay.
func (s *Server) announce(addr string) error {
	if s.c.Opts.Relays && s.relays == nil {
		if err := s.createRelays(addr); err != nil {
			return err
		}
	}
	for _, r := range s.relays {
		r.SetTarget(addr)
	}
	s.updateVMLists(vmlist.StateLive)
	return nil
}

func (s *Server) createRelays(addr string) error {
	for i := range s.c.Opts.Entries {
		r, err := fault.NewRelay(addr)
		if err != nil {
			return err
		}
		if s.c.entryZone(i) != string(s.Zone) {
			r.SetDelay(s.c.Opts.OneWayLatency)
		}
		s.relays = append(s.relays, r)
	}
	return nil
}

// updateVMLists sets the state of the endpoint on the VM list of every entry.
func (s *Server) updateVMLists(state vmlist.State) {
	for i, vms := range s.c.VMLists {
		addr := s.ep.Addr()
		if s.relays != nil {
			addr = s.relays[i].Addr()
		}
		vms.Put(vmlist.VM{Endpoint: s.ID, Zone: s.Zone, Address: addr, State: state})
	}
}

// Leave stops the endpoint process gracefully.
func (s *Server) Leave() error {
	s.updateVMLists(vmlist.StateLeaving)
	err := s.detachProcess().stop()
	for _, vms := range s.c.VMLists {
		vms.Remove(s.ID)
	}
	return err
}

// Kill ends the endpoint process without draining it. The VM lists do not change.
func (s *Server) Kill() error {
	s.mu.Lock()
	ep, store := s.ep, s.store
	s.mu.Unlock()
	p := s.detachProcess()
	store.killed.Store(true)
	ep.Kill()
	return p.wait()
}

// detachProcess marks the process as ended and returns it.
func (s *Server) detachProcess() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.process
	s.process = nil
	s.generation++
	return p
}

// Freeze prevents the process from answering and from reaching the key-value
// service. Its connections stay open.
func (s *Server) Freeze() {
	s.setFrozen(true)
	s.store.pause()
	for _, r := range s.relays {
		r.Freeze()
	}
}

// Thaw resumes a frozen process.
func (s *Server) Thaw() {
	for _, r := range s.relays {
		r.Thaw()
	}
	s.store.resume()
	s.setFrozen(false)
}

func (s *Server) setFrozen(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
	s.generation++
}

// live returns the generation of the process, whether it runs and answers, and
// its address.
func (s *Server) live() (int, bool, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil || s.frozen {
		return s.generation, false, ""
	}
	return s.generation, true, s.ep.Addr()
}

func (s *Server) current() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// Starts returns the start times of all runs of a request at the backend. content
// identifies the request, see workload.Request.Content.
func (s *Server) Starts(content string) []time.Time {
	if s.Engine != nil {
		return s.Engine.Starts(content)
	}
	return s.Service.Starts(content)
}

// BackendAddr returns the address of the fake backend.
func (s *Server) BackendAddr() string { return s.settings.Address }
