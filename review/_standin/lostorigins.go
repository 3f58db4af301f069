package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// lostOrigins shows streams that clients cannot take up again, at entries that nothing has
// happened to, after another entry and the processes beside the model servers were killed.
// With TROUBLE=all, all entries and processes are lost.
func lostOrigins(b *bed) (int, error) {
	if os.Getenv("TROUBLE") == "all" {
		return lostAll(b)
	}
	const net = "127.42"
	f, err := newFleet(b, net, 4)
	if err != nil {
		return 0, err
	}
	b.writeConfig()
	// Two software versions serve side by side, each at two servers.
	for i := range 4 {
		if err := f.addServer(net, fmt.Sprintf("v%d", i%2+1), true); err != nil {
			return 0, err
		}
	}
	for range 5 {
		if err := f.addEntry(net, b.store.Address()); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // contactMs is 3 s
	var (
		mu           sync.Mutex
		taken, goOn  int
		fresh, began int
		clients      sync.WaitGroup
	)
	elsewhere := func(i int) func(int) string {
		return func(try int) string { return f.entries[1+(i+try)%4].listen }
	}
	leave := make(chan struct{})
	for i := range 24 { // at the first entry
		clients.Go(func() {
			begun, t := f.streamUntil(fmt.Sprintf("a%d", i%8+1), f.entries[0].listen, elsewhere(i), leave)
			mu.Lock()
			defer mu.Unlock()
			if begun && t != nil {
				taken++
				if t.goesOn {
					goOn++
				}
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	for i := range 40 { // new streams at the other entries, before and after
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			begun, _ := f.stream(fmt.Sprintf("a%d", i%8+1), f.entries[1+i%4].listen, elsewhere(i))
			mu.Lock()
			defer mu.Unlock()
			fresh++
			if begun {
				began++
			}
		})
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		b.note("herd_kill: front %s and all processes beside the model servers are killed", f.entries[0].name)
		f.entries[0].kill(restartDelay)
		for _, p := range f.sidecars {
			p.kill(restartDelay)
		}
	} else {
		b.note("the clients of front %s close their channels", f.entries[0].name)
		close(leave)
	}
	clients.Wait()
	b.note("streams taken up again at the other entries: %d, of which go on: %d; new streams there: %d, of which begin: %d", taken, goOn, fresh, began)
	if taken < 12 {
		return 0, errors.New("fewer than 12 streams were taken up again")
	}
	if float64(goOn)/float64(taken) < 0.5*float64(began)/float64(fresh) {
		b.note("LOST is broken")
		return broken, nil
	}
	b.note("LOST held")
	return held, nil
}
