package soak

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/wait"
	"github.com/fescuecourse/fescuecourse/standin/fault"
	"github.com/fescuecourse/fescuecourse/standin/platform"
)

const (
	modelName   = "base"
	modelPool   = "pool"
	plainPool   = "desk"
	adapters    = 40
	places      = 5
	streamSize  = 12
	eventGap    = 15 * time.Millisecond
	adapterLoad = 60 * time.Millisecond
	grace       = 4 * time.Second
	hostName    = "h.example"
	zoneName    = "a"
)

// world is the system under test with the fakes around it.
type world struct {
	o     *Options
	store *platform.Store
	relay *fault.Relay // between all processes and the store
	// links are between the entries and the servers with the processes beside them.
	links   []*fault.Relay
	entries []*entryProcess
	side    []*process
	port    int

	mu       sync.Mutex
	models   []*platform.Server
	plain    []*platform.Server
	all      []*platform.Server // also those that have ended
	born     int64
	config   int64
	versions map[string]int
}

type entryProcess struct {
	*process
	front string
	ready string
}

func newWorld(o *Options) (*world, error) {
	w := &world{o: o, store: platform.NewStore(), versions: map[string]int{}}
	relay, err := fault.NewRelay(w.store.Address())
	if err != nil {
		return nil, err
	}
	w.relay = relay
	if w.port, err = commonPort(o.Servers); err != nil {
		return nil, err
	}
	w.writeConfig()
	for i := range o.Servers {
		if err := w.addModelServer(i); err != nil {
			return w, err
		}
	}
	for i := range plainServers {
		if err := w.addPlainServer(i); err != nil {
			return w, err
		}
	}
	for i := range o.Entries {
		if err := w.addEntry(i); err != nil {
			return w, err
		}
	}
	return w, nil
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

// link puts a relay on an address in front of a target and returns its address.
func (w *world) link(address, target string) (string, error) {
	r, err := fault.NewRelayAt(address, target)
	if err != nil {
		return "", err
	}
	w.links = append(w.links, r)
	return r.Addr(), nil
}

// portTries bounds the search for a port that is free on all hosts. Another soak on
// the machine uses the same hosts.
const portTries = 20

// commonPort returns a port that is free now on the hosts of all model servers and of
// the relays in front of them.
func commonPort(servers int) (int, error) {
	for range portTries {
		port, err := freePort("127.0.0.1")
		if err != nil {
			return 0, err
		}
		if freeOnAll(port, servers) {
			return port, nil
		}
	}
	return 0, errors.New("no port is free on all hosts")
}

func freeOnAll(port, servers int) bool {
	for i := range servers {
		for _, host := range []string{modelHost(i), relayHost(i)} {
			lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if err != nil {
				return false
			}
			lis.Close()
		}
	}
	return true
}

func modelHost(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

func relayHost(i int) string { return fmt.Sprintf("127.0.4.%d", i+1) }

// newServer starts a server and enters it in the store under its public address.
func (w *world) newServer(address, public, service, model string) (*platform.Server, error) {
	w.mu.Lock()
	w.born++
	born := w.born
	w.mu.Unlock()
	s, err := platform.NewServer(platform.ServerConfig{
		ID: fmt.Sprintf("i-%d", born), Service: service, Zone: zoneName, Address: address, PublicAddress: public, Model: model,
		MaxAdapters: places, LoadTime: adapterLoad, Events: streamSize, EventGap: eventGap, Born: born,
	})
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for adapter, version := range w.versions {
		s.SetLatestVersion(adapter, version)
	}
	w.all = append(w.all, s)
	w.store.Put(s.Key(), s.Registration("ready"))
	return s, nil
}

// address returns an address on a host of its own with a port that is free now.
func address(host string) (string, error) {
	port, err := freePort(host)
	return fmt.Sprintf("%s:%d", host, port), err
}

// addPlainServer starts a plain server behind a relay.
func (w *world) addPlainServer(i int) error {
	own, err := address(fmt.Sprintf("127.0.2.%d", i+1))
	if err != nil {
		return err
	}
	public, err := w.link(fmt.Sprintf("127.0.5.%d:0", i+1), own)
	if err != nil {
		return err
	}
	s, err := w.newServer(own, public, plainPool, "")
	if err != nil {
		return err
	}
	w.plain = append(w.plain, s)
	return nil
}

// addModelServer starts a model server on an address of its own and the process
// beside it, both behind relays on one other host, because entries find the process
// by the host of the server.
func (w *world) addModelServer(i int) error {
	host, publicHost := modelHost(i), relayHost(i)
	if _, err := w.link(fmt.Sprintf("%s:%d", publicHost, w.port), fmt.Sprintf("%s:%d", host, w.port)); err != nil {
		return err
	}
	own, err := address(host)
	if err != nil {
		return err
	}
	public, err := w.link(publicHost+":0", own)
	if err != nil {
		return err
	}
	s, err := w.newServer(own, public, modelPool, modelName)
	if err != nil {
		return err
	}
	w.models = append(w.models, s)
	p, err := newProcess(w.o, fmt.Sprintf("side-%d", i+1), "routed-endpoint",
		fmt.Sprintf("id = side-%d", i+1),
		fmt.Sprintf("listen = %s:%d", host, w.port),
		"kv = "+w.relay.Addr(), "server = "+s.Address(), "service = "+modelPool)
	if err != nil {
		return err
	}
	w.side = append(w.side, p)
	return nil
}

func (w *world) addEntry(i int) error {
	host := fmt.Sprintf("127.0.3.%d", i+1)
	front, err := freePort(host)
	if err != nil {
		return err
	}
	ready, err := freePort(host)
	if err != nil {
		return err
	}
	e := &entryProcess{front: fmt.Sprintf("%s:%d", host, front), ready: fmt.Sprintf("%s:%d", host, ready)}
	e.process, err = newProcess(w.o, fmt.Sprintf("entry-%d", i+1), "routed-entry",
		fmt.Sprintf("id = entry-%d", i+1), "zone = "+zoneName,
		"listen = "+e.front, "ready-listen = "+e.ready, "kv = "+w.relay.Addr(),
		fmt.Sprintf("residency-port = %d", w.port), "grace = "+grace.String(), "retry-ratio = 0.2")
	if err != nil {
		return err
	}
	w.entries = append(w.entries, e)
	return nil
}

// writeConfig writes the next version of the configuration.
func (w *world) writeConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config += 2
	c := &platform.Config{
		Version: w.config, ModelService: modelPool, Model: modelName,
		Adapters: adapters, MaxAdapters: places, PlainService: plainPool,
	}
	for _, r := range soakRoutes {
		c.Routes = append(c.Routes, platform.Route{
			Name: r.prefix, Host: hostName, Prefix: r.prefix, Kind: r.kind,
			TimeoutMS: routeTimeoutMS, TargetMS: routeTargetMS, Priority: 1,
			Service: r.service, MaxAttempts: r.attempts, Resumable: r.resumable,
		})
	}
	w.store.PutConfig(c)
}

// Times of the routes.
const (
	routeTimeoutMS = 4000
	routeTargetMS  = 500
)

type soakRoute struct {
	prefix    string
	kind      string
	service   string
	attempts  int
	resumable bool
}

var soakRoutes = []soakRoute{
	{prefix: "/once/", kind: "streaming", service: modelPool, attempts: 1},
	{prefix: "/resume/", kind: "streaming", service: modelPool, attempts: 3, resumable: true},
	{prefix: "/sale/", kind: "non_idempotent", service: plainPool, attempts: 1},
	{prefix: "/look/", kind: "idempotent", service: plainPool, attempts: 2},
}

// nameVersion names a new version of an adapter.
func (w *world) nameVersion(adapter string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[adapter] = max(w.versions[adapter], 1) + 1
	for _, s := range w.all {
		s.SetLatestVersion(adapter, w.versions[adapter])
	}
	w.store.PutVersion(modelName, adapter, w.versions[adapter])
}

// restartServer ends a server abruptly and starts another lifetime on its address.
func (w *world) restartServer(list []*platform.Server, i int) error {
	w.mu.Lock()
	old := list[i]
	w.mu.Unlock()
	old.Close()
	w.store.Remove(old.Key())
	service, model := plainPool, ""
	if len(w.models) > 0 && &list[0] == &w.models[0] {
		service, model = modelPool, modelName
	}
	s, err := w.newServer(old.Address(), old.PublicAddress(), service, model)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	list[i] = s
	return nil
}

// awaitReady waits until every entry reports ready.
func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, e := range w.entries {
		for {
			ok, err := platform.Ready(ctx, e.ready)
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

// close ends everything that the soak started.
func (w *world) close() {
	for _, e := range w.entries {
		e.finish()
	}
	for _, p := range w.side {
		p.finish()
	}
	for _, s := range w.all {
		s.Close()
	}
	for _, l := range w.links {
		l.Close()
	}
	w.relay.Close()
	w.store.Close()
}
