package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// inPlace shows streams that hold events of two software versions: a server crashes and starts
// again under its id with newer software, while the store turns some entries away. With
// TROUBLE=crash only the server crashes.
func inPlace(b *bed) (int, error) {
	const (
		net     = "127.44"
		servers = 6
		entries = 5
		knowing = 2 // the store turns the other entries away
	)
	f, err := newFleet(b, net, servers)
	if err != nil {
		return 0, err
	}
	g, err := newGate(b.store.Address())
	if err != nil {
		return 0, err
	}
	b.writeConfig()
	for range servers {
		if err := f.addServer(net, "v1", true); err != nil {
			return 0, err
		}
	}
	for i := range entries {
		kv := b.store.Address()
		if i >= knowing {
			kv = g.address()
		}
		if err := f.addEntry(net, kv); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	// The clients of 54 adapters, as many as the servers hold, ask all the time, two for each
	// adapter, at all entries.
	var (
		ended                atomic.Bool
		mu                   sync.Mutex
		begun, taken, joined int
		clients              sync.WaitGroup
	)
	defer func() {
		ended.Store(true)
		clients.Wait()
	}()
	for i := range 2 * servers * maxAdapters {
		clients.Go(func() {
			for n := i; !ended.Load(); n++ {
				elsewhere := func(try int) string { return f.entries[(n+1+try)%entries].listen }
				ok, t := f.stream(fmt.Sprintf("a%d", i%(servers*maxAdapters)+1), f.entries[n%entries].listen, elsewhere)
				mu.Lock()
				if ok {
					begun++
				}
				if t != nil {
					taken++
					if t.joined {
						joined++
					}
				}
				mu.Unlock()
				if !ok {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	for _, s := range f.servers {
		if !s.full(20 * time.Second) {
			return 0, fmt.Errorf("server %s did not get nine adapters", s.id)
		}
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		b.note("platform_down nodes busy: the store turns %d of %d entries away", entries-knowing, entries)
		g.set(true)
	}
	time.Sleep(500 * time.Millisecond)
	if b.trouble || os.Getenv("TROUBLE") == "crash" {
		s := f.servers[1]
		s.crash("srv_crash")
		time.Sleep(time.Second)
		s.mu.Lock()
		s.software = "v2" // it starts with the software that is installed by now
		s.mu.Unlock()
		if err := s.begin(false); err != nil {
			return 0, err
		}
	}
	time.Sleep(7 * time.Second)
	if b.trouble {
		b.note("the store serves all entries again")
		g.set(false)
	}
	time.Sleep(2 * time.Second)
	ended.Store(true)
	clients.Wait()
	b.note("streams begun: %d, taken up again by their clients: %d, that hold events of two software versions: %d", begun, taken, joined)
	if joined > 2 {
		b.note("ORDER is broken")
		return broken, nil
	}
	b.note("ORDER held")
	return held, nil
}
