package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// lostAll shows streams that clients cannot take up again after all processes of the system have
// lost power once.
func lostAll(b *bed) (int, error) {
	const (
		net     = "127.47"
		contact = 3 * time.Second // contactMs
	)
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
	time.Sleep(contact)
	var (
		mu           sync.Mutex
		taken, goOn  int
		fresh, began int
		clients      sync.WaitGroup
	)
	// From then on all entries are in touch again.
	inTouch := make(chan struct{})
	const streams = 40
	for i := range streams {
		clients.Go(func() {
			at := f.entries[i%5].listen
			adapter := fmt.Sprintf("a%d", i%8+1)
			began := time.Now()
			const wait = 15 * time.Second
			a := b.ask(at, adapter, wait, 0, "", f.servers[0].events)
			if a.last == 0 || a.complete {
				return
			}
			<-inTouch
			on := false
			for try := range 4 {
				left := wait - time.Since(began)
				if left < time.Second || on {
					break
				}
				next := b.ask(f.entries[(i+1+try)%5].listen, adapter, left, a.last, a.id, f.servers[0].events)
				on = next.last > a.last
				time.Sleep(min(max(next.retryAfter, 500*time.Millisecond), left/3))
			}
			mu.Lock()
			defer mu.Unlock()
			taken++
			if on {
				goOn++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	b.note("power_off_all: all entries and all processes beside the model servers are killed")
	for _, e := range f.entries {
		e.kill(time.Second)
	}
	for _, p := range f.sidecars {
		p.kill(time.Second)
	}
	time.Sleep(time.Second + contact + 300*time.Millisecond)
	b.note("all entries are in touch")
	close(inTouch)
	for i := range 20 { // new streams
		clients.Go(func() {
			begun, _ := f.stream(fmt.Sprintf("a%d", i%8+1), f.entries[i%5].listen, func(int) string { return f.entries[(i+1)%5].listen })
			mu.Lock()
			defer mu.Unlock()
			fresh++
			if begun {
				began++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	b.note("streams taken up again at entries in touch: %d, of which go on: %d; new streams there: %d, of which begin: %d", taken, goOn, fresh, began)
	switch {
	case began == 0:
		return 0, errors.New("no new stream begins")
	case taken < 12:
		return 0, errors.New("fewer than 12 streams were taken up again")
	case float64(goOn)/float64(taken) < 0.5*float64(began)/float64(fresh):
		b.note("LOST is broken")
		return broken, nil
	}
	b.note("LOST held")
	return held, nil
}
