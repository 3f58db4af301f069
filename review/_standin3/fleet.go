package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// Figures of the site and of the cases with streams.
const (
	heartbeat   = 1200 * time.Millisecond
	drainTime   = 2 * time.Second
	settleTime  = 13 * time.Second // until the entries use their share of the retries
	streamCount = 36
	chatEvents  = 73
	chatGap     = 90 * time.Millisecond
	// beforeEnd is how long before the end of a server the last step of replace begins.
	beforeEnd = 900 * time.Millisecond
)

// modelHost is a side machine with its model server.
type modelHost struct {
	host    string
	address string // of the server
	sidecar *process
	server  *platform.Server
}

// startHosts starts the given number of side machines: on each a model server, which the given
// function describes further, and the project's process beside it. It returns the port of these.
func (b *bed) startHosts(n int, describe func(i int, cfg *platform.ServerConfig)) ([]*modelHost, int, error) {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	port, err := sharedPort(names)
	if err != nil {
		return nil, 0, err
	}
	var hosts []*modelHost
	for i, name := range names {
		h := &modelHost{host: name}
		cfg := platform.ServerConfig{ID: fmt.Sprintf("i-%c", 'a'+i), Service: modelService, Zone: zoneOf(i), Model: modelName, MaxAdapters: 9, Address: name + ":0", Born: time.Now().UnixMilli()}
		describe(i, &cfg)
		if b.strict {
			if cfg.Address, err = freeAddress(name); err != nil {
				return hosts, port, err
			}
			if cfg.PublicAddress, err = startStrict(name, cfg.Address); err != nil {
				return hosts, port, err
			}
		}
		if h.server, err = platform.NewServer(cfg); err != nil {
			return hosts, port, err
		}
		h.address = h.server.PublicAddress()
		b.store.Put(h.server.Key(), h.server.Registration("ready"))
		h.sidecar, err = b.start("side-"+h.host, "routed-endpoint", b.sidecarSettings(fmt.Sprintf("side-%d", i+1), fmt.Sprintf("%s:%d", name, port), h.address)...)
		if err != nil {
			return hosts, port, err
		}
		hosts = append(hosts, h)
	}
	return hosts, port, nil
}

func zoneOf(i int) string { return []string{"accra-a", "accra-b", "accra-c"}[i%3] }

// entry is a front machine.
type entry struct {
	*process
	listen, ready string
}

// startEntries starts the given number of entries and waits until they are ready.
func (b *bed) startEntries(n, residencyPort int) ([]*entry, error) {
	var out []*entry
	for i := range n {
		host := fmt.Sprintf("127.0.0.%d", 31+i) // connections of other programs use no ports there
		listen, err := freeAddress(host)
		if err != nil {
			return out, err
		}
		ready, err := freeAddress(host)
		if err != nil {
			return out, err
		}
		name := fmt.Sprintf("entry-%d", i+1)
		store := b.store.Address()
		if i < len(b.stores) {
			store = b.stores[i]
		}
		p, err := b.start(name, "routed-entry", b.entrySettings(name, zoneOf(0), listen, ready, store, residencyPort)...)
		if err != nil {
			return out, err
		}
		out = append(out, &entry{process: p, listen: listen, ready: ready})
	}
	for _, e := range out {
		if err := awaitReady(context.Background(), e.ready); err != nil {
			return out, err
		}
	}
	return out, nil
}

// replace takes a model server through planned work: it says that it leaves, serves for drainTime,
// ends, and starts again in its place, under its id, with other software. Before the end, last is
// called, unless it is nil.
func (b *bed) replace(h *modelHost, software string, last func()) error {
	h.server.Drain()
	b.store.Put(h.server.Key(), h.server.Registration("draining"))
	b.note("%s drains", h.server.Key())
	ends := time.Now().Add(drainTime + 300*time.Millisecond)
	if last != nil {
		time.Sleep(time.Until(ends.Add(-beforeEnd)))
		last()
	}
	time.Sleep(time.Until(ends))
	h.server.Close()
	b.note("%s has ended", h.server.Key())
	time.Sleep(300 * time.Millisecond)
	s, err := platform.NewServer(platform.ServerConfig{
		ID: h.server.Key()[len("servers/"):], Service: modelService, Zone: zoneOf(0), Model: modelName, MaxAdapters: 9, Address: h.address,
		Born: time.Now().UnixMilli(), Version: software, Events: chatEvents, EventGap: chatGap,
	})
	if err != nil {
		return err
	}
	h.server = s
	b.store.Put(s.Key(), s.Registration("ready"))
	b.note("%s has started with software %s", s.Key(), software)
	return nil
}

// mixed returns a breach if more than two streams hold events of two software versions.
func (b *bed) mixed(streams []*stream) []string {
	n := 0
	for _, s := range streams {
		if len(s.versions()) > 1 {
			n++
		}
	}
	b.note("%d of %d streams hold events of two software versions", n, len(streams))
	if n <= 2 {
		return nil
	}
	return []string{fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions", n, len(streams))}
}
