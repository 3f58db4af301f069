package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
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
	// hiddenFrom has the entries that cannot reach the sidecar while others can.
	hiddenFrom map[*fleetEntry]bool
}

// fleetEntry is an entry that runs the product's filters and links.
type fleetEntry struct {
	gateway   *Gateway
	directory *fleet.Directory
	ctx       context.Context
	kill      context.CancelFunc
	// pending are the times of the changes that the entry has not yet read from the store.
	pending []time.Time
	// away is true while the store turns the entry away.
	away bool
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
	// begun and refusedNew count new streams.
	begun, refusedNew int
	// resumed counts resumptions while two servers of the version serve, and resumable
	// those of them at entries that know such a server and can reach a record.
	resumed, resumable continuations
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
		e.gateway.control.set.FirstStart = true
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
	v := &fleetServer{registry: origin.NewRegistry(), gone: make(chan struct{}), hiddenFrom: map[*fleetEntry]bool{}}
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
	e.gateway.control.source = fleetSource{sim: s, entry: e}
	return e
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
		s.change(e, func() { s.addEndpoint(e, v) })
		s.change(e, func() { s.removeEndpoint(e, old) })
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
