package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// Parameters of the simulated fleet.
const (
	fleetEntries = 4
	fleetServers = 9
	fleetZones   = 3
	// storeDelay is the longest time after which an entry learns of a server that joins
	// or leaves.
	storeDelay = 2 * time.Second
	// streamGap is the time between two events of a stream, and streamEvents their number.
	streamGap    = 100 * time.Millisecond
	streamEvents = 12
	fleetStreams = 400
	// streamPause is the mean time between the beginnings of two streams.
	streamPause = 100 * time.Millisecond
	// resumeDelay is the time after which a caller resumes a broken stream, and
	// maxResumes how often it tries.
	resumeDelay = 50 * time.Millisecond
	maxResumes  = 4
	// lateShare is the inverse of the share of servers that the first list of the store
	// lacks.
	lateShare = 3
	// faultInterval is the time between two faults.
	faultInterval = 700 * time.Millisecond
)

var errCutOff = errors.New("cut off")

// fleetServer is a model server with its sidecar.
type fleetServer struct {
	item     fleet.Endpoint
	registry *origin.Registry
	// gone is closed when the server leaves or crashes.
	gone chan struct{}
	// cutOff is true while entries cannot reach the sidecar.
	cutOff bool
}

// fleetEntry is an entry that runs the product's filters and links.
type fleetEntry struct {
	gateway   *Gateway
	directory *fleet.Directory
	ctx       context.Context
	kill      context.CancelFunc
}

// fleetSim is a fleet in virtual time. Events of its parts share mu.
type fleetSim struct {
	t   *testing.T
	rng *rand.Rand

	mu      sync.Mutex
	servers []*fleetServer
	all     map[fleet.ID]*fleetServer
	entries []*fleetEntry
	links   sync.WaitGroup
	next    int
	table   route.Config
	// mixed lists the streams that hold events of several software versions.
	mixed []string
	// counts of streams that began, of resumptions while two servers of the version
	// serve, and of those that continued.
	begun, refusedNew, resumed, continued int
}

func newFleetSim(t *testing.T, seed uint64) *fleetSim {
	s := &fleetSim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), all: map[fleet.ID]*fleetServer{}}
	r := streamRoute
	r.Host, r.MaxAttempts = "h.example", 2
	s.table = route.Config{Version: 1, Routes: []route.Route{r}, Services: []route.Service{{Name: modelService, Engine: &route.Engine{MaxAdapters: 4}}}}
	for i := range fleetServers {
		s.addServer(i, "v1")
	}
	for range fleetEntries {
		e := s.startEntry()
		for _, v := range s.servers {
			s.addEndpoint(e, v)
		}
		s.entries = append(s.entries, e)
	}
	return s
}

// addServer starts a server in the place of another one.
func (s *fleetSim) addServer(place int, version string) *fleetServer {
	s.next++
	v := &fleetServer{registry: origin.NewRegistry(), gone: make(chan struct{})}
	v.item = fleet.Endpoint{
		ID:              fleet.ID(fmt.Sprintf("i-%d", s.next)),
		Service:         modelService,
		Address:         fmt.Sprintf("10.0.0.%d:80", s.next),
		Zone:            fmt.Sprintf("z%d", place%fleetZones),
		SoftwareVersion: version,
		Slots:           4,
		State:           fleet.Ready,
	}
	s.all[v.item.ID] = v
	if place < len(s.servers) {
		s.servers[place] = v
	} else {
		s.servers = append(s.servers, v)
	}
	return v
}

// startEntry starts an entry that knows no server yet.
func (s *fleetSim) startEntry() *fleetEntry {
	var store kv.Store
	g, err := New(Settings{ID: "e", Zone: "z0", ResidencyPort: 1, Grace: time.Second}, store, fakeCatalog{}, fakeHeaders{}, logging.Nop())
	assert.NilError(s.t, err)
	e := &fleetEntry{gateway: g, directory: fleet.NewDirectory()}
	e.ctx, e.kill = context.WithCancel(s.t.Context())
	e.directory.SetConfig(s.table)
	e.gateway.control.show(e.directory.Snapshot())
	synced := time.Now()
	e.gateway.control.syncedAt.Store(&synced)
	return e
}

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
		l := &link{entry: "e", endpoint: known, demand: e.gateway.control.demandOf(known), reloads: &e.gateway.control.reloads, origins: newOriginLink(), software: &e.gateway.control.software, log: logging.Nop()}
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
		if !s.isCutOff(v) {
			conn := s.connect(v)
			l.origins.connected(conn)
			ctx, cancel := context.WithCancel(e.ctx)
			l.send(ctx, cancel, conn)
			l.origins.connected(nil)
		}
		time.Sleep(linkBackoff)
	}
}

func (s *fleetSim) connect(v *fleetServer) *fleetConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &fleetConn{sim: s, server: v, registry: v.registry}
}

func (v *fleetServer) hasLeft() bool {
	select {
	case <-v.gone:
		return true
	default:
		return false
	}
}

func (s *fleetSim) isCutOff(v *fleetServer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return v.cutOff || v.hasLeft()
}

// fleetConn is the connection of an entry to a sidecar.
type fleetConn struct {
	fescuev1.ResidencyClient
	grpc.BidiStreamingClient[fescuev1.DemandUpdate, fescuev1.ServerState]
	sim    *fleetSim
	server *fleetServer
	// registry is that of the sidecar's process when the connection was opened.
	registry *origin.Registry
}

func (c *fleetConn) Send(m *fescuev1.DemandUpdate) error {
	if c.sim.isCutOff(c.server) {
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
	return nil
}

func (c *fleetConn) FindOrigin(ctx context.Context, q *fescuev1.FindOriginRequest, opts ...grpc.CallOption) (*fescuev1.FindOriginResponse, error) {
	c.sim.mu.Lock()
	sidecar := &fakeSidecar{registry: c.server.registry}
	c.sim.mu.Unlock()
	sidecar.unreachable.Store(c.sim.isCutOff(c.server))
	return sidecar.FindOrigin(ctx, q, opts...)
}

// fleetStream is a stream as its caller sees it.
type fleetStream struct {
	id       string
	versions []string
}

// runCaller is a caller that begins a stream and resumes it at other entries when it breaks.
func (s *fleetSim) runCaller(id string) {
	st := &fleetStream{id: id}
	for try := range maxResumes + 1 {
		e, serving := s.pickEntry(st)
		before := len(st.versions)
		s.attempt(e, st, try)
		s.count(st, before, serving)
		if len(st.versions) >= streamEvents {
			break
		}
		time.Sleep(resumeDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(slices.Compact(slices.Clone(st.versions))) > 1 {
		s.mixed = append(s.mixed, fmt.Sprintf("%s: %v", st.id, st.versions))
	}
}

// pickEntry returns an entry and the number of servers that run the version of a stream.
func (s *fleetSim) pickEntry(st *fleetStream) (*fleetEntry, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serving := 0
	for _, v := range s.servers {
		if len(st.versions) > 0 && v.item.SoftwareVersion == st.versions[0] && !v.hasLeft() {
			serving++
		}
	}
	return s.entries[s.rng.IntN(len(s.entries))], serving
}

// count records whether a stream began, or continued while two servers could do that.
func (s *fleetSim) count(st *fleetStream, before, serving int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	advanced := len(st.versions) > before
	switch {
	case before == 0 && advanced:
		s.begun++
	case before == 0:
		s.refusedNew++
	case serving >= 2:
		s.resumed++
		if advanced {
			s.continued++
		}
	}
}

// attempt sends one request of a caller through the filters of an entry. The response
// moves to another server once if its server is lost.
func (s *fleetSim) attempt(e *fleetEntry, st *fleetStream, try int) {
	call := Call{RequestID: fmt.Sprintf("%s-%d", st.id, try), Key: fleet.AdapterKey{Model: adapterKey.Model, Name: fmt.Sprint(s.random(fleetServers))}}
	x := s.exchange(e, call)
	x.r, x.endpoint = &http.Request{}, nil
	if try == 0 {
		x.call.RequestID = st.id
	}
	if len(st.versions) > 0 {
		x.call.LastEventID, x.call.Resumes = fmt.Sprint(len(st.versions)), st.id
	}
	if len(st.versions) == 0 {
		st.id = x.call.RequestID
	}
	handle := chain(originFilter{e.gateway}, fleetRetry{}, endpointFilter{e.gateway}, fleetRelay{sim: s, entry: e, stream: st})
	_ = handle(e.ctx, x) // a failure shows in the events of the stream
}

// fleetRetry sends a request to a second server if its first one is lost.
type fleetRetry struct{}

func (fleetRetry) do(ctx context.Context, x *exchange, next next) *failure {
	for range 2 {
		x.result = result{}
		if fail := next(ctx, x); fail != nil || x.result.end == retry.Answered {
			return fail
		}
	}
	return nil
}

// fleetRelay relays the events of the chosen server until the stream is complete, the
// server is lost or the entry is killed.
type fleetRelay struct {
	sim    *fleetSim
	entry  *fleetEntry
	stream *fleetStream
}

func (f fleetRelay) do(ctx context.Context, x *exchange, _ next) *failure {
	server := f.sim.serverOf(x.endpoint.ID)
	for len(f.stream.versions) < streamEvents {
		time.Sleep(streamGap)
		if ctx.Err() != nil {
			x.result.end = retry.CallerGone
			return nil
		}
		if server.hasLeft() {
			x.excluded = append(x.excluded, x.endpoint.ID)
			x.result.end = retry.Unknown
			return nil
		}
		if !x.headSent {
			f.entry.gateway.origins.streamBegins(x)
			x.headSent = true
		}
		f.stream.versions = append(f.stream.versions, server.item.SoftwareVersion)
	}
	x.result.end = retry.Answered
	return nil
}

func (s *fleetSim) serverOf(id fleet.ID) *fleetServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[id]
}

// replaceServer starts a server of another version in the place of one that crashes. Each
// entry learns of both changes after a delay of its own.
func (s *fleetSim) replaceServer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	place := s.rng.IntN(len(s.servers))
	old := s.servers[place]
	close(old.gone)
	versions := []string{"v1", "v2", "v3"}
	v := s.addServer(place, versions[s.rng.IntN(len(versions))])
	for _, e := range s.entries {
		s.afterDelay(func() { s.addEndpoint(e, v) })
		s.afterDelay(func() { s.removeEndpoint(e, old) })
	}
}

// afterDelay calls f with mu held after a random delay of the store.
func (s *fleetSim) afterDelay(f func()) {
	time.AfterFunc(time.Duration(s.rng.Int64N(int64(storeDelay))), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	})
}

func (s *fleetSim) removeEndpoint(e *fleetEntry, v *fleetServer) {
	e.directory.RemoveEndpoint(time.Now(), v.item.ID)
	e.gateway.control.show(e.directory.Snapshot())
}

// restartEntry kills an entry, which loses what it knows, and starts another one. The
// first list of the store lacks some servers, as after an outage.
func (s *fleetSim) restartEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.rng.IntN(len(s.entries))
	s.entries[i].kill()
	e := s.startEntry()
	s.entries[i] = e
	for _, v := range s.servers {
		if s.rng.IntN(lateShare) > 0 {
			s.addEndpoint(e, v)
			continue
		}
		s.afterDelay(func() {
			if !v.hasLeft() {
				s.addEndpoint(e, v)
			}
		})
	}
}

// restartSidecars restarts the sidecars in the given places, which lose their records.
func (s *fleetSim) restartSidecars(places []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range places {
		s.servers[i].registry = origin.NewRegistry()
	}
}

// cutOffSidecar makes a sidecar unreachable for a while.
func (s *fleetSim) cutOffSidecar() {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.servers[s.rng.IntN(len(s.servers))]
	v.cutOff = true
	time.AfterFunc(3*time.Second, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		v.cutOff = false
	})
}

// fault causes one random fault.
func (s *fleetSim) fault() {
	switch s.random(5) {
	case 0, 1:
		s.replaceServer()
	case 2:
		s.restartEntry()
	case 3:
		s.restartEntry()
		s.restartSidecars(s.perm(fleetServers)[:fleetServers/3])
	case 4:
		s.cutOffSidecar()
	}
}

func (s *fleetSim) perm(n int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Perm(n)
}

func (s *fleetSim) random(n int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Int64N(n)
}

// run begins and resumes all streams, with a fault every faultInterval.
func (s *fleetSim) run() {
	var callers sync.WaitGroup
	ctx, stop := context.WithCancel(s.t.Context())
	go func() {
		for ctx.Err() == nil {
			time.Sleep(faultInterval)
			s.fault()
		}
	}()
	for i := range fleetStreams {
		time.Sleep(time.Duration(s.random(int64(2 * streamPause))))
		callers.Go(func() { s.runCaller(fmt.Sprintf("r%d", i)) })
	}
	callers.Wait()
	stop()
	time.Sleep(storeDelay + faultInterval)
	s.stop()
}

// stop ends all entries.
func (s *fleetSim) stop() {
	s.mu.Lock()
	for _, e := range s.entries {
		e.kill()
	}
	s.mu.Unlock()
	s.links.Wait()
}

// Guards against streams that hold events of several software versions, and against
// refusing the streams that could continue, while servers of three versions come and go,
// entries learn of it late, and entries and the sidecars that keep records are killed or
// cut off.
func TestStreamsKeepTheirVersionThroughFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFleetSim(t, seed)
				s.run()
				t.Logf("new streams: %d begun, %d refused; resumed: %d, continued: %d", s.begun, s.refusedNew, s.resumed, s.continued)
				assert.Equal(t, len(s.mixed), 0, "%v", s.mixed)
				assert.Assert(t, s.resumed >= 12, "too few streams were resumed to judge")
				began := float64(s.begun) / float64(s.begun+s.refusedNew)
				continued := float64(s.continued) / float64(s.resumed)
				assert.Assert(t, continued >= began/2, "%.2f of the resumed streams continued, %.2f of the new ones began", continued, began)
			})
		})
	}
}

// Guards against records that are lost with the entry that wrote them. All origins are
// found if the entry is killed right after the first events. If the sidecars of three
// servers are killed with it, only those origins are lost that one of them got at once;
// after the next updates at least nine of ten are found, also while a sidecar is cut
// off.
func TestOriginsAreFoundAfterTheirEntryIsKilled(t *testing.T) {
	const streams = 300
	restarted := []int{0, 1, 2} // one in each zone
	nothing := func(*fleetSim) {}
	restart := func(s *fleetSim) { s.restartSidecars(restarted) }
	for name, c := range map[string]struct {
		delay time.Duration
		fault func(*fleetSim)
		found int // at least, or -1 for all whose first holder keeps its records
	}{
		"entry":                            {fault: nothing, found: streams},
		"entry and sidecars":               {fault: restart, found: -1},
		"entry and sidecars after updates": {delay: demandInterval + time.Millisecond, fault: restart, found: streams * 9 / 10},
		"entry and a cut-off":              {delay: demandInterval + time.Millisecond, fault: func(s *fleetSim) { s.cutOffSidecar() }, found: streams * 9 / 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFleetSim(t, 1)
				t.Cleanup(s.stop)
				first, second := s.entries[0], s.entries[1]
				time.Sleep(time.Second) // connects all links
				want, lost := c.found, map[fleet.ID]bool{}
				for _, i := range restarted {
					lost[s.servers[i].item.ID] = true
				}
				if want < 0 {
					want = 0
					for i := range streams {
						if holders := first.gateway.origins.holdersOf(origin.ID(fmt.Sprint(i))); !lost[holders[0].ID] {
							want++
						}
					}
				}
				for i := range streams {
					s.begin(first, fmt.Sprint(i))
				}
				synctest.Wait()
				time.Sleep(c.delay)
				first.kill()
				c.fault(s)
				found := 0
				for i := range streams {
					x := s.exchange(second, Call{RequestID: "r", Resumes: fmt.Sprint(i), LastEventID: "1"})
					if a := second.gateway.origins.find(t.Context(), x); a.found {
						assert.Equal(t, a.origin.SoftwareVersion, "v1")
						found++
					}
				}
				t.Logf("%d of %d found, at least %d expected", found, streams, want)
				assert.Assert(t, found >= want, "%d of %d found, want %d", found, streams, want)
			})
		})
	}
}

// begin forwards the first event of a stream at an entry.
func (s *fleetSim) begin(e *fleetEntry, id string) {
	e.gateway.origins.streamBegins(s.exchange(e, Call{RequestID: id}))
}

// Guards against asking other sidecars than those with the records after all servers have
// restarted under new ids on their machines, whose sidecars went on running, together
// with the entries.
func TestOriginsAreFoundAfterAllServersRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 100
		s := newFleetSim(t, 1)
		t.Cleanup(s.stop)
		time.Sleep(time.Second)
		for i := range streams {
			s.begin(s.entries[0], fmt.Sprint(i))
		}
		time.Sleep(demandInterval + time.Millisecond)
		s.restartServers()
		for _, e := range s.entries {
			e.kill()
		}
		e := s.startEntry()
		s.entries = append(s.entries, e)
		for _, v := range s.servers {
			s.addEndpoint(e, v)
		}
		time.Sleep(time.Second)
		for i := range streams {
			a := e.gateway.origins.find(t.Context(), s.exchange(e, Call{RequestID: "r", Resumes: fmt.Sprint(i), LastEventID: "1"}))
			assert.Assert(t, a.found, "stream %d", i)
		}
	})
}

// restartServers restarts all servers under new ids. Their sidecars go on running.
func (s *fleetSim) restartServers() {
	for i, old := range slices.Clone(s.servers) {
		close(old.gone)
		v := s.addServer(i, old.item.SoftwareVersion)
		v.item.Address, v.registry = old.item.Address, old.registry
	}
}

// exchange returns a request at an entry that is placed at the first server.
func (s *fleetSim) exchange(e *fleetEntry, c Call) *exchange {
	x := &exchange{started: time.Now(), call: c}
	x.table = e.gateway.control.snapshot.Load().Table
	x.route = x.table.Find("h.example", "/s/x")
	x.service = x.table.Service(modelService)
	x.deadline = x.started.Add(5 * time.Second)
	if known := e.gateway.control.snapshot.Load().Services[modelService]; len(known) > 0 {
		x.endpoint = known[0]
	}
	return x
}
