package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// staleOrder shows an order that gets no response, is carried out some seconds later, and
// reaches the next lifetime of its server, which has the same id.
func staleOrder(b *bed) (int, error) {
	const (
		net     = "127.41"
		servers = 6
		rare    = "a55" // the adapter that no server has room for
	)
	f, err := newFleet(b, net, servers)
	if err != nil {
		return 0, err
	}
	b.writeConfig()
	lost := make(chan *modelServer, 1)
	for range servers {
		if err := f.addServer(net, "v1", true); err != nil {
			return 0, err
		}
		s := f.servers[len(f.servers)-1]
		s.lateBy = 8 * time.Second
		var done atomic.Bool
		s.mu.Lock()
		s.loseOrder = func(o *order) bool {
			if !b.trouble || o.Operation != "load" || o.Adapter != rare || !done.CompareAndSwap(false, true) {
				return false
			}
			select {
			case lost <- s:
				return true
			default:
				return false
			}
		}
		s.mu.Unlock()
	}
	for range 2 {
		if err := f.addEntry(net, b.store.Address()); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	// The clients of 54 adapters, as many as the servers hold, ask all the time. Those of the
	// last one pause once.
	var (
		ended, paused atomic.Bool
		clients       sync.WaitGroup
	)
	last := fmt.Sprintf("a%d", servers*maxAdapters)
	for i := 1; i <= servers*maxAdapters; i++ {
		name := fmt.Sprintf("a%d", i)
		clients.Go(func() {
			for n := i; !ended.Load(); n++ {
				if name == last && paused.Load() {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				a := b.ask(f.entries[n%2].listen, name, 15*time.Second, 0, "", f.servers[0].events)
				if !a.complete {
					time.Sleep(max(a.retryAfter, 200*time.Millisecond))
				}
			}
		})
		// One after the other, so that each adapter is loaded once.
		for began := time.Now(); f.holders(name) == 0 && time.Since(began) < 3*time.Second; {
			time.Sleep(20 * time.Millisecond)
		}
	}
	defer func() {
		ended.Store(true)
		for _, s := range f.servers {
			s.crash("end of the case")
		}
		clients.Wait()
	}()
	for _, s := range f.servers {
		if !s.full(20 * time.Second) {
			return 0, fmt.Errorf("server %s did not get nine adapters", s.id)
		}
	}
	b.note("each server holds nine adapters")
	time.Sleep(time.Second) // the stream of the last adapter begins
	paused.Store(true)
	for began := time.Now(); f.uses(last); time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			return 0, errors.New("the last adapter stays in use")
		}
	}
	time.Sleep(time.Second)
	clients.Go(func() { b.ask(f.entries[0].listen, rare, 2*time.Second, 0, "", f.servers[0].events) })
	if b.trouble {
		var s *modelServer
		select {
		case s = <-lost:
		case <-time.After(2 * time.Second):
			return 0, errors.New("no order for the rare adapter")
		}
		time.Sleep(200 * time.Millisecond)
		s.crash("srv_crash")
		time.Sleep(time.Second)
		if err := s.begin(false); err != nil {
			return 0, err
		}
	} else {
		time.Sleep(1200 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	paused.Store(false)
	time.Sleep(7 * time.Second)
	overfull := 0
	for _, s := range f.servers {
		s.mu.Lock()
		for _, text := range s.overfull {
			b.note("LIMIT is broken: server %s was ordered to %s; its two crashes cut %d streams", s.id, text, len(s.cut))
			overfull++
		}
		s.mu.Unlock()
	}
	if overfull > 0 {
		return broken, nil
	}
	b.note("LIMIT held")
	return held, nil
}

// full waits until the server holds as many adapters as it can and none is coming.
func (s *modelServer) full(within time.Duration) bool {
	for began := time.Now(); time.Since(began) < within; time.Sleep(50 * time.Millisecond) {
		s.mu.Lock()
		n, coming := len(s.adapters), len(s.coming)
		s.mu.Unlock()
		if n == maxAdapters && coming == 0 {
			return true
		}
	}
	return false
}

// holders returns the number of servers that hold an adapter.
func (f *fleet) holders(adapter string) int {
	n := 0
	for _, s := range f.servers {
		s.mu.Lock()
		if s.adapters[adapter] {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// uses reports whether a request runs for an adapter at any server.
func (f *fleet) uses(adapter string) bool {
	for _, s := range f.servers {
		s.mu.Lock()
		n := s.running[adapter]
		s.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}
