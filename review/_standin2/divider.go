package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["divider"] = dividerCase }

const (
	// serverLimit is what each plain server names, in requests a second.
	serverLimit = 6.0
	// window is the window of the rule, and contact is contactMs.
	window  = 4 * time.Second
	contact = 3 * time.Second
	// turnedAwayFor is how long the store turns one entry away, as in the site file.
	turnedAwayFor = 9 * time.Second
)

// dividerCase: plain servers in need name a limit. Empty model servers are added while the store
// turns one entry away.
func dividerCase(b *bed) {
	const before, added = 9, 3
	var hosts []string
	for i := range before + added {
		hosts = append(hosts, fmt.Sprintf("127.0.51.%d", i+1))
	}
	b.port = sharedPort(hosts...)
	b.writeConfig(3)
	zones := []string{"accra-a", "accra-b", "accra-c"}
	startModel := func(i int) *server {
		s := startServer(b.st, b.rec, serverConfig{id: fmt.Sprintf("i-%x", 0x9e16b79e+i*7919), service: modelService, host: hosts[i], zone: zones[i%3], software: "v1", slots: 64,
			model: modelName, startsWithModel: i < before, maxAdapters: maxAdapters, modelLoad: modelLoad, adapterLoad: adapterLoad, events: 3, eventGap: 20 * time.Millisecond})
		b.endpoint(fmt.Sprintf("side-%s-%d", zones[i%3], i/3+1), s)
		return s
	}
	for i := range before {
		startModel(i)
	}
	for i := range 3 {
		startServer(b.st, b.rec, serverConfig{id: fmt.Sprintf("i-%x", 0x5840f93b+i*104729), service: plainService, host: fmt.Sprintf("127.0.52.%d", i+1),
			zone: zones[i], software: "v1", slots: 6, work: 30 * time.Millisecond, limit: serverLimit})
	}
	names := []string{"front-accra-a-1", "front-accra-b-1"}
	var fronts []string
	for i, n := range names {
		front, ready := b.entry(n, fmt.Sprintf("127.0.53.%d", i+1), zones[i])
		fronts = append(fronts, front)
		awaitReady(ready)
	}
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	b.rec.arrival = func(l *lifetime, id string, _ bool) {
		if l.s.cfg.limit == 0 {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		arrivals[l.s.cfg.id] = append(arrivals[l.s.cfg.id], time.Now())
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for entry, front := range fronts {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(65 * time.Millisecond):
				}
				wg.Go(func() {
					id := fmt.Sprintf("r%d-%d", entry+1, n)
					b.rec.log("sent: %s to %s", id, names[entry])
					a := call(context.Background(), front, hostName, "GET", "/code/x", id, time.Second, nil, "")
					b.rec.log("answered: %s, status %d, stamp %q, Retry-After %q", id, a.status, a.stamp, a.retry)
				})
			}
		})
	}
	time.Sleep(7 * time.Second)
	if b.trouble {
		b.rec.log("the store turns %s away (503)", names[0])
		b.st.turnAway(names[0], true)
	}
	time.Sleep(100 * time.Millisecond)
	for i := before; i < before+added; i++ {
		startModel(i)
	}
	time.Sleep(turnedAwayFor - 100*time.Millisecond)
	if b.trouble {
		b.rec.log("the store serves %s again", names[0])
		b.st.turnAway(names[0], false)
	}
	time.Sleep(3 * time.Second)
	close(done)
	wg.Wait()
	allowed := 1.5*serverLimit*window.Seconds() + 5
	for id, list := range arrivals {
		most, at := 0, 0.0
		for i, t := range list {
			if t.Sub(list[0]) < contact {
				continue
			}
			n := slices.IndexFunc(list[i:], func(o time.Time) bool { return o.Sub(t) >= window })
			if n < 0 {
				n = len(list) - i
			}
			if n > most {
				most, at = n, t.Sub(b.rec.began).Seconds()
			}
		}
		b.rec.log("server %s: at most %d requests in %s, from %.3f s on; %.0f are allowed", id, most, window, at, allowed)
		if float64(most) > allowed {
			b.rec.broken("LIMIT: server %s gets %d requests in %s, from %.3f s on; %.0f are allowed", id, most, window, at, allowed)
		}
	}
}
