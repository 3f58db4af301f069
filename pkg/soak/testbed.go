package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/wait"
	"github.com/fescuecourse/fescuecourse/standin/fault"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
	"github.com/fescuecourse/fescuecourse/standin/platform"
)

const (
	modelName     = "base"
	modelService  = "pool"
	plainService  = "desk"
	adapters      = 40
	maxAdapters   = 5
	streamEvents  = 24
	eventInterval = 25 * time.Millisecond
	adapterLoad   = 60 * time.Millisecond
	grace         = 4 * time.Second
	hostName      = "h.example"
	zoneName      = "a"
)

// testbed is the system under test and the fake servers around it.
type testbed struct {
	o          *Options
	started    time.Time
	store      *platform.Store
	storeRelay *fault.Relay // between the processes and the metadata store
	// links are between the entries and the servers and their sidecars.
	links   []link
	entries []*entryProcess
	hosts   []*modelHost
	port    int
	// newestSoftware is the number of the newest software version of the model servers.
	newestSoftware int
	// keys are the API keys of the teams.
	keys *keyring
	delayed
	// placement is held while model servers are added, drained or restarted.
	placement sync.Mutex

	mu            sync.Mutex
	sidecars      []*process // including stopped ones
	plainServers  []*platform.Server
	allServers    []*platform.Server // including stopped ones
	stopped       map[*platform.Server]bool
	startNumber   int64
	configVersion int64
	versions      map[string]int // of the adapters
	weights       int            // version of the base model's weights
}

type entryProcess struct {
	*process
	listen      string
	readyListen string
}

func newTestbed(o *Options) (*testbed, error) {
	tb := &testbed{o: o, started: time.Now(), store: platform.NewStore(), versions: map[string]int{}, stopped: map[*platform.Server]bool{}, keys: newKeyring(), newestSoftware: 2, weights: 1}
	storeRelay, err := fault.NewRelay(tb.store.Address())
	if err != nil {
		return nil, err
	}
	tb.storeRelay = storeRelay
	if tb.port, err = sharedPort(o.Servers + spareHosts); err != nil {
		return nil, err
	}
	tb.writeConfig()
	for i := range o.Servers + spareHosts {
		if err := tb.addHost(i); err != nil {
			return tb, err
		}
	}
	for i := range o.Servers {
		if err := tb.startModelServer(tb.hosts[i], softwareVersion(1+i%2)); err != nil {
			return tb, err
		}
	}
	for i := range plainServerCount {
		if err := tb.addPlainServer(i); err != nil {
			return tb, err
		}
	}
	for i := range o.Entries {
		if err := tb.addEntry(i); err != nil {
			return tb, err
		}
	}
	return tb, nil
}

func freePort(host string) (int, error) {
	lis, err := net.Listen("tcp", host+":0")
	if err != nil {
		return 0, errors.Wrap(err, "find a free port")
	}
	defer lis.Close()
	_, port, err := net.SplitHostPort(lis.Addr().String())
	if err != nil {
		return 0, errors.Wrap(err, "find a free port")
	}
	n, err := strconv.Atoi(port)
	return n, errors.Wrap(err, "find a free port")
}

// addServerRelay starts a relay that listens on an address and forwards to a
// target. Its faults are recorded in d. It returns the relay's address.
func (tb *testbed) addServerRelay(address, target string, d *disturbance) (string, error) {
	r, err := fault.NewRelayAt(address, target)
	if err != nil {
		return "", err
	}
	tb.links = append(tb.links, link{Relay: r, disturbance: d})
	return r.Addr(), nil
}

// portAttempts bounds the search for a port that is free on all hosts. A port may be
// taken because another soak test on this computer uses the same loopback hosts.
const portAttempts = 20

// sharedPort returns a port that is currently free on the hosts of all model servers
// and of the relays in front of them.
func sharedPort(servers int) (int, error) {
	for range portAttempts {
		port, err := freePort("127.0.0.1")
		if err != nil {
			return 0, err
		}
		if portFreeOnAll(port, servers) {
			return port, nil
		}
	}
	return 0, errors.New("no port is free on all hosts")
}

func portFreeOnAll(port, servers int) bool {
	for i := range servers {
		for _, host := range []string{modelHostName(i), relayHost(i)} {
			lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if err != nil {
				return false
			}
			lis.Close()
		}
	}
	return true
}

// newServer starts a server and registers it in the store with its public address.
func (tb *testbed) newServer(cfg platform.ServerConfig) (*platform.Server, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.startNumber++
	cfg.ID, cfg.Born, cfg.Zone = fmt.Sprintf("i-%d", tb.startNumber), tb.startNumber, zoneName
	cfg.MaxAdapters, cfg.LoadTime, cfg.Events, cfg.EventGap = maxAdapters, adapterLoad, streamEvents, eventInterval
	cfg.WeightsVersion = tb.weights
	s, err := platform.NewServer(cfg)
	if err != nil {
		return nil, err
	}
	for adapter, version := range tb.versions {
		s.SetLatestVersion(adapter, version)
	}
	tb.allServers = append(tb.allServers, s)
	tb.store.Put(s.Key(), s.Registration("ready"))
	return s, nil
}

// address returns an address (host:port) with a port that is currently free on host.
func address(host string) (string, error) {
	port, err := freePort(host)
	return fmt.Sprintf("%s:%d", host, port), err
}

// addPlainServer starts a plain server behind a relay.
func (tb *testbed) addPlainServer(i int) error {
	own, err := address(fmt.Sprintf("127.0.2.%d", i+1))
	if err != nil {
		return err
	}
	public, err := tb.addServerRelay(fmt.Sprintf("127.0.5.%d:0", i+1), own, &disturbance{})
	if err != nil {
		return err
	}
	s, err := tb.newServer(platform.ServerConfig{Address: own, PublicAddress: public, Service: plainService})
	if err != nil {
		return err
	}
	tb.plainServers = append(tb.plainServers, s)
	return nil
}

func (tb *testbed) addEntry(i int) error {
	host := fmt.Sprintf("127.0.3.%d", i+1)
	listen, err := freePort(host)
	if err != nil {
		return err
	}
	readyListen, err := freePort(host)
	if err != nil {
		return err
	}
	e := &entryProcess{listen: fmt.Sprintf("%s:%d", host, listen), readyListen: fmt.Sprintf("%s:%d", host, readyListen)}
	e.process, err = newProcess(tb.o, fmt.Sprintf("entry-%d", i+1), "routed-entry",
		fmt.Sprintf("id = entry-%d", i+1), "zone = "+zoneName,
		"listen = "+e.listen, "ready-listen = "+e.readyListen, "kv = "+tb.storeRelay.Addr(),
		fmt.Sprintf("residency-port = %d", tb.port), "grace = "+grace.String(), "retry-ratio = 0.2")
	if err != nil {
		return err
	}
	tb.entries = append(tb.entries, e)
	return nil
}

// writeConfig stores a new version of the configuration.
func (tb *testbed) writeConfig() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.configVersion += 2
	c := &platform.Config{
		Version: tb.configVersion, ModelService: modelService, Model: modelName,
		Adapters: adapters, MaxAdapters: maxAdapters, PlainService: plainService,
		Tenants: tb.keys.tenants(),
	}
	for _, r := range testRoutes {
		c.Routes = append(c.Routes, platform.Route{
			Name: r.prefix, Host: hostName, Prefix: r.prefix, Kind: r.kind,
			TimeoutMS: routeTimeoutMS, TargetMS: routeTargetMS, Priority: 1,
			Service: r.service, MaxAttempts: r.attempts, Resumable: r.resumable,
		})
	}
	tb.store.PutConfig(c)
}

// Timeout and target latency of the routes, in milliseconds.
const (
	routeTimeoutMS = 4000
	routeTargetMS  = 500
)

type testRoute struct {
	prefix    string
	kind      string
	service   string
	attempts  int
	resumable bool
	// weight is the share of the route in the requests, relative to the other routes.
	weight int
}

var testRoutes = []testRoute{
	{prefix: "/once/", kind: "streaming", service: modelService, attempts: 1, weight: 1},
	{prefix: "/resume/", kind: "streaming", service: modelService, attempts: 3, resumable: true, weight: 3},
	{prefix: "/sale/", kind: "non_idempotent", service: plainService, attempts: 1, weight: 1},
	{prefix: "/look/", kind: "idempotent", service: plainService, attempts: 2, weight: 1},
}

// randomRoute draws a route by the weights.
func randomRoute(rng *rand.Rand) testRoute {
	var weighted []testRoute
	for _, r := range testRoutes {
		weighted = append(weighted, slices.Repeat([]testRoute{r}, r.weight)...)
	}
	return weighted[rng.IntN(len(weighted))]
}

// publishVersion makes a new version of an adapter the current one.
func (tb *testbed) publishVersion(adapter string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.versions[adapter] = max(tb.versions[adapter], 1) + 1
	for _, s := range tb.allServers {
		s.SetLatestVersion(adapter, tb.versions[adapter])
	}
	tb.store.PutVersion(modelName, adapter, tb.versions[adapter])
}

// publishWeights makes a new version of the base model's weights the current one.
func (tb *testbed) publishWeights() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.weights++
	for _, s := range tb.allServers {
		s.SetLatestWeights(tb.weights)
	}
	tb.store.PutWeightsVersion(modelName, tb.weights)
}

// rewriteDelay is the time in which the operator and the servers write their items
// again after the store has returned to a copy.
const rewriteDelay = 300 * time.Millisecond

// restoreStore returns the store to an earlier copy. The operator and the running
// servers then write their items again, and the items of servers that are gone expire.
func (tb *testbed) restoreStore(c kvstore.Copy) {
	tb.store.Restore(c)
	time.Sleep(rewriteDelay)
	tb.writeConfig()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for adapter, version := range tb.versions {
		tb.store.PutVersion(modelName, adapter, version)
	}
	if tb.weights > 1 {
		tb.store.PutWeightsVersion(modelName, tb.weights)
	}
	for _, s := range tb.allServers {
		if tb.stopped[s] {
			tb.store.Remove(s.Key())
			continue
		}
		tb.store.Put(s.Key(), s.Registration(s.State()))
	}
}

// restartPlainServer stops a plain server abruptly and starts a new instance on its
// address.
func (tb *testbed) restartPlainServer(i int) {
	tb.mu.Lock()
	old := tb.plainServers[i]
	tb.mu.Unlock()
	tb.markStopped(old)
	old.Close()
	tb.store.Remove(old.Key())
	s, err := tb.newServer(platform.ServerConfig{Address: old.Address(), PublicAddress: old.PublicAddress(), Service: plainService})
	if err != nil {
		return // its address may still be in use
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.plainServers[i] = s
}

// awaitReady waits until every entry reports that it is ready.
func (tb *testbed) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, e := range tb.entries {
		for {
			ok, err := platform.Ready(ctx, e.readyListen)
			if ok {
				break
			}
			if ctx.Err() != nil {
				return errors.Newf("%s did not become ready: %v", e.name, err)
			}
			wait.For(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// close stops all processes, servers and relays of the test.
func (tb *testbed) close() {
	tb.wg.Wait()
	for _, e := range tb.entries {
		e.stop()
	}
	for _, p := range tb.sidecars {
		p.stop()
	}
	for _, s := range tb.allServers {
		s.Close()
	}
	for _, l := range tb.links {
		l.Close()
	}
	tb.storeRelay.Close()
	tb.store.Close()
}
