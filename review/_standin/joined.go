package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// downFor is how long the machine of the entry that is lost stays without power.
const downFor = 2 * time.Second

// knowing is the number of entries that know the new version.
const knowing = 2

// knownFor is how long the system runs before anything happens. An entry and the processes
// beside the servers let a stream of unknown origin go on only if they know the software versions
// of the last 30 s.
const knownFor = 32 * time.Second

// joinedStreams shows streams that hold events of two software versions: an entry that the
// store turns away does not know the new version, and lets streams that began there go on at
// the old one.
func joinedStreams(b *bed) (int, error) {
	const net = "127.43"
	f, err := newFleet(b, net, 4)
	if err != nil {
		return 0, err
	}
	g, err := newGate(b.store.Address())
	if err != nil {
		return 0, err
	}
	b.writeConfig()
	for range 2 {
		if err := f.addServer(net, "v1", true); err != nil {
			return 0, err
		}
	}
	for i := range 5 {
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
	time.Sleep(knownFor)
	var (
		mu            sync.Mutex
		taken, joined int
		clients       sync.WaitGroup
	)
	others := func(i int) func(int) string {
		return func(try int) string { return f.entries[knowing+(i+try)%(5-knowing)].listen }
	}
	leave := make(chan struct{})
	ask := func(i int, at string) {
		clients.Go(func() {
			begun, t := f.streamUntil(fmt.Sprintf("a%d", i), at, others(i), leave)
			mu.Lock()
			defer mu.Unlock()
			if begun && t != nil {
				taken++
				if t.joined {
					joined++
				}
			}
		})
	}
	for i := range 4 { // the other entries serve, too
		ask(i+1, others(i)(0))
	}
	if b.trouble {
		b.note("platform_down nodes busy: the store turns %d of 5 entries away", 5-knowing)
		g.set(true)
	}
	time.Sleep(300 * time.Millisecond)
	for range 2 { // the new servers of a release start
		if err := f.addServer(net, "v2", false); err != nil {
			return 0, err
		}
	}
	time.Sleep(2700 * time.Millisecond)
	for i := range 24 {
		ask(i+5, f.entries[i%knowing].listen)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if b.trouble {
		b.note("herd_kill: the other %d entries lose power, all processes beside the model servers are killed", knowing)
		for _, e := range f.entries[:knowing] {
			e.kill(downFor)
		}
		for _, p := range f.sidecars {
			p.kill(restartDelay)
		}
	} else {
		b.note("the clients of the first %d entries close their channels", knowing)
		close(leave)
	}
	time.Sleep(3500 * time.Millisecond)
	if b.trouble {
		b.note("the store serves all entries again")
		g.set(false)
	}
	clients.Wait()
	b.note("streams taken up again: %d, of which hold events of two software versions: %d", taken, joined)
	if taken < 3 {
		return 0, errors.New("fewer than three streams were taken up again")
	}
	if joined > 2 {
		b.note("ORDER is broken")
		return broken, nil
	}
	b.note("ORDER held")
	return held, nil
}
