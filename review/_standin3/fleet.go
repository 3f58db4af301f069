package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// settleTime is the time until the entries use their share of the retries.
const settleTime = 13 * time.Second

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
		p, err := b.start(name, "routed-entry", b.entrySettings(name, zoneOf(0), listen, ready, residencyPort)...)
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
