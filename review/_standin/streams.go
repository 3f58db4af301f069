package main

import (
	"fmt"
	"time"
)

// fleet is a deployment with several entries and model servers.
type fleet struct {
	b        *bed
	servers  []*modelServer
	sidecars []*process
	entries  []*entry
}

var zones = []string{"accra-a", "accra-b", "accra-c"}

// newFleet prepares a deployment on loopback addresses that begin with net.
func newFleet(b *bed, net string, servers int) (*fleet, error) {
	var hosts []string
	for i := range servers {
		hosts = append(hosts, fmt.Sprintf("%s.0.%d", net, i+1))
	}
	port, err := freePort(hosts...)
	b.port = port
	return &fleet{b: b}, err
}

// addServer starts a model server and the process beside it.
func (f *fleet) addServer(net, software string, withModel bool) error {
	i := len(f.servers)
	host, zone := fmt.Sprintf("%s.0.%d", net, i+1), zones[i%len(zones)]
	s, err := f.b.newServer(fmt.Sprintf("i-%08x", 0x51a0c3d7*(i+1)), host, zone, software)
	if err != nil {
		return err
	}
	if !withModel {
		s.modelLoad = storeLoad // a new server has no copy
	}
	if err := s.begin(withModel); err != nil {
		return err
	}
	p, err := f.b.addSidecar(fmt.Sprintf("side-%s-%d", zone, i/len(zones)+1), host, s.address)
	f.servers, f.sidecars = append(f.servers, s), append(f.sidecars, p)
	return err
}

func (f *fleet) addEntry(net, kv string) error {
	i := len(f.entries)
	e, err := f.b.addEntry(fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), fmt.Sprintf("%s.1.%d", net, i+1), kv)
	f.entries = append(f.entries, e)
	return err
}

func (f *fleet) awaitReady() error {
	for _, e := range f.entries {
		if err := e.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// takenUp is one stream that its client took up again.
type takenUp struct {
	first, last *attempt
	// goesOn is true if a later attempt brought the next events.
	goesOn bool
	// joined is true if its events come from two software versions.
	joined bool
}

// stream asks for one stream at the first address. If its channel breaks, the client takes it
// up again at the others, a few times within its time, as it is told when to come back.
func (f *fleet) stream(adapter string, at string, others func(try int) string) (begun bool, again *takenUp) {
	return f.streamUntil(adapter, at, others, nil)
}

// streamUntil is like stream. The client also closes its first channel when leave is closed.
func (f *fleet) streamUntil(adapter string, at string, others func(try int) string, leave <-chan struct{}) (begun bool, again *takenUp) {
	const wait, tries = 15 * time.Second, 5
	began := time.Now()
	a := f.b.askUntil(leave, at, adapter, wait, 0, "", f.servers[0].events)
	if a.last == 0 {
		return false, nil
	}
	t := &takenUp{first: a, last: a, joined: len(a.software) > 1}
	if a.complete {
		if t.joined {
			return true, t
		}
		return true, nil
	}
	software := a.software
	last := a.last
	for try := range tries {
		left := wait - time.Since(began)
		if left < time.Second {
			break
		}
		next := f.b.ask(others(try), adapter, left, last, a.id, f.servers[0].events)
		t.last = next
		if next.last > last {
			t.goesOn = true
			software = append(software, next.software...)
			last = next.last
		}
		if next.complete {
			break
		}
		pause := max(next.retryAfter, 300*time.Millisecond)
		time.Sleep(min(pause, left/3))
	}
	for _, v := range software {
		t.joined = t.joined || v != software[0]
	}
	return true, t
}
