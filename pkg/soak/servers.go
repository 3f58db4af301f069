package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/fault"
	"github.com/fescuecourse/fescuecourse/standin/platform"
)

const (
	// spareHosts is the number of hosts beyond those of the first model servers, for
	// servers that are added before old ones have drained.
	spareHosts = 2
	// drainTime is how long a server serves after it has reported that it drains.
	drainTime = 1500 * time.Millisecond
	// maxSoftwareVersions is the number of software versions that serve side by side.
	maxSoftwareVersions = 3
	// newVersionShare is the fraction of releases that bring a new software version. The
	// others add a server of the newest version.
	newVersionShare = 0.25
)

// modelHost is a host for one model server and its sidecar, both behind relays on
// another host, because entries find the sidecar by the host of the server.
type modelHost struct {
	disturbance

	number          int
	address, public string
	// sidecar and server are nil while the host is free.
	sidecar  *process
	server   *platform.Server
	draining bool
}

// runningServer is a model server that runs on a host and does not drain.
type runningServer struct {
	host    *modelHost
	server  *platform.Server
	sidecar *process
}

// link is a relay in front of a server or a sidecar.
type link struct {
	*fault.Relay
	*disturbance
}

func (l link) reset() {
	l.mark()
	l.CloseConnections()
}

func (l link) blackhole() {
	l.mark()
	l.Blackhole()
}

func (l link) blackholeResponses() {
	l.mark()
	l.BlackholeResponses()
}

// slow delays all data and returns a function that ends this.
func (l link) slow(d time.Duration) func() {
	end := l.begin()
	l.SetDelay(d)
	return func() {
		l.SetDelay(0)
		end()
	}
}

func modelHostName(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

func relayHost(i int) string { return fmt.Sprintf("127.0.4.%d", i+1) }

// addHost prepares a host for a model server and starts its relays.
func (tb *testbed) addHost(i int) error {
	own, err := address(modelHostName(i))
	if err != nil {
		return err
	}
	h := &modelHost{number: i + 1, address: own}
	if _, err := tb.addServerRelay(fmt.Sprintf("%s:%d", relayHost(i), tb.port), fmt.Sprintf("%s:%d", modelHostName(i), tb.port), &h.disturbance); err != nil {
		return err
	}
	if h.public, err = tb.addServerRelay(relayHost(i)+":0", own, &h.disturbance); err != nil {
		return err
	}
	tb.hosts = append(tb.hosts, h)
	return nil
}

// startModelServer starts a server of a software version and its sidecar on a free
// host.
func (tb *testbed) startModelServer(h *modelHost, version string) error {
	s, err := tb.newServer(platform.ServerConfig{
		Address: h.address, PublicAddress: h.public, Service: modelService, Model: modelName, Version: version,
	})
	if err != nil {
		return err
	}
	name := fmt.Sprintf("side-%d", h.number)
	p, err := newProcess(tb.o, name, "routed-endpoint", "id = "+name,
		fmt.Sprintf("listen = %s:%d", modelHostName(h.number-1), tb.port),
		"kv = "+tb.storeRelay.Addr(), "server = "+s.Address(), "service = "+modelService)
	if err != nil {
		return err
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	h.mark()
	h.server, h.sidecar, h.draining = s, p, false
	tb.sidecars = append(tb.sidecars, p)
	return nil
}

// runningServers returns the model servers that run and do not drain.
func (tb *testbed) runningServers() []runningServer {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var out []runningServer
	for _, h := range tb.hosts {
		if h.server != nil && !h.draining {
			out = append(out, runningServer{host: h, server: h.server, sidecar: h.sidecar})
		}
	}
	return out
}

func (tb *testbed) randomModelServer(rng *rand.Rand) runningServer {
	list := tb.runningServers()
	return list[rng.IntN(len(list))]
}

// release adds a server of the newest software version, or of a new one, and drains a
// server of the oldest. It does nothing while no host is free.
func (tb *testbed) release(rng *rand.Rand) {
	tb.placement.Lock()
	defer tb.placement.Unlock()
	free := tb.freeHost()
	running := tb.runningServers()
	if free == nil {
		return
	}
	versions := versionsOf(running)
	if len(versions) < maxSoftwareVersions && rng.Float64() < newVersionShare {
		tb.newestSoftware++
	}
	if err := tb.startModelServer(free, softwareVersion(tb.newestSoftware)); err != nil {
		return // the address may still be in use
	}
	for _, r := range running {
		if r.server.Version() == versions[0] {
			tb.drain(r.host)
			return
		}
	}
}

// versionsOf returns the software versions of servers, oldest first.
func versionsOf(running []runningServer) []string {
	var out []string
	for _, r := range running {
		out = append(out, r.server.Version())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// softwareVersion returns the name of the n-th software version. The names sort in the
// order of the versions.
func softwareVersion(n int) string { return fmt.Sprintf("v1.%03d", n) }

func (tb *testbed) freeHost() *modelHost {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, h := range tb.hosts {
		if h.server == nil {
			return h
		}
	}
	return nil
}

// drain makes the server of a host report that it drains, and stops it and its sidecar
// after drainTime.
func (tb *testbed) drain(h *modelHost) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	h.mark()
	h.draining = true
	s := h.server
	s.Drain()
	tb.store.Put(s.Key(), s.Registration("draining"))
	tb.later(drainTime, func() { tb.removeServer(h) })
}

func (tb *testbed) removeServer(h *modelHost) {
	tb.mu.Lock()
	s, sidecar := h.server, h.sidecar
	tb.mu.Unlock()
	tb.markStopped(s)
	tb.store.Remove(s.Key())
	s.Close()
	sidecar.stop()
	tb.mu.Lock()
	h.server, h.sidecar = nil, nil
	tb.mu.Unlock()
}

func (tb *testbed) markStopped(s *platform.Server) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.stopped[s] = true
}

// restartModelServer stops the server of a host abruptly and starts a new instance with
// the same software on its address.
func (tb *testbed) restartModelServer(h *modelHost) {
	tb.placement.Lock()
	defer tb.placement.Unlock()
	tb.mu.Lock()
	old, draining := h.server, h.draining
	tb.mu.Unlock()
	if old == nil || draining {
		return
	}
	h.mark()
	tb.markStopped(old)
	old.Close()
	tb.store.Remove(old.Key())
	s, err := tb.newServer(platform.ServerConfig{
		Address: h.address, PublicAddress: h.public, Service: modelService, Model: modelName, Version: old.Version(),
	})
	if err != nil {
		return // its address may still be in use
	}
	h.mark()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	h.server = s
}

// undisturbed reports whether an entry, and two model servers of a software version
// with their sidecars, have been free of faults from undisturbedTime before t until
// now. An empty version stands for any.
func (tb *testbed) undisturbed(e *entryProcess, version string, t time.Time) bool {
	if !e.undisturbedAt(t) {
		return false
	}
	n := 0
	for _, r := range tb.runningServers() {
		if (version == "" || r.server.Version() == version) && r.host.undisturbedAt(t) && r.sidecar.undisturbedAt(t) {
			n++
		}
	}
	return n >= 2
}

// prolongDisturbances extends to now the faults of all processes that occurred during a
// fault of the store.
func (tb *testbed) prolongDisturbances(began time.Time) {
	for _, e := range tb.entries {
		e.prolong(began)
	}
	for _, r := range tb.runningServers() {
		r.host.prolong(began)
		r.sidecar.prolong(began)
	}
}

// delayed runs functions at later times. close waits for those that have not run yet.
type delayed struct{ wg sync.WaitGroup }

func (d *delayed) later(after time.Duration, f func()) {
	d.wg.Go(func() {
		time.Sleep(after)
		f()
	})
}
