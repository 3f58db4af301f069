package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["late-order"] = lateOrderCase }

const (
	// lateOrderAfter is when the unanswered order is carried out: PROTOCOL.md says seconds
	// later, and the bench 2 to 12 s later.
	lateOrderAfter = 9 * time.Second
	// crashDown is how long the crashed server is down, as on day scale-1 of the site.
	crashDown = 2 * time.Second
)

// lateOrderCase: a server leaves one order unanswered, crashes and starts again under its id. The
// order is carried out in the new lifetime.
func lateOrderCase(b *bed) {
	hosts := []string{"127.0.21.1", "127.0.21.2", "127.0.21.3", "127.0.21.4"}
	b.port = sharedPort(hosts...)
	b.writeConfig(3)
	var servers []*server
	for i, h := range hosts {
		s := startServer(b.st, b.rec, serverConfig{id: fmt.Sprintf("i-%d", i+1), service: modelService, host: h, zone: "accra-a", software: "v1", slots: 64,
			model: modelName, startsWithModel: true, maxAdapters: maxAdapters, modelLoad: modelDisk, adapterLoad: adapterLoad, events: 3, eventGap: 20 * time.Millisecond})
		servers = append(servers, s)
		b.endpoint(fmt.Sprintf("side-accra-a-%d", i+1), s)
	}
	front, ready := b.entry("front-accra-a-1", "127.0.22.1", "accra-a")
	awaitReady(ready)
	ctx := context.Background()
	requests := 0
	ask := func(adapter string) answer {
		requests++
		id := fmt.Sprintf("r%d", requests)
		b.rec.log("sent: %s for %s", id, adapter)
		a := call(ctx, front, hostName, "POST", "/chat/x", id, 5*time.Second, promptHeaders(adapter, fmt.Sprintf("%x", 4096+requests)), "prompt")
		b.rec.log("answered: %s, status %d, %d events, complete %v", id, a.status, len(a.events), a.complete)
		return a
	}
	// Requests for as many adapters as the servers have places for.
	next := 0
	newAdapter := func() string {
		next++
		return fmt.Sprintf("a%d", next)
	}
	began := time.Now()
	for held(servers) < maxAdapters*len(servers) {
		if time.Since(began) > 40*time.Second {
			panic(cannotRun{fmt.Errorf("the servers hold only %d adapters", held(servers))})
		}
		ask(newAdapter())
	}
	// One more: a server has to drop an adapter for it. Its order to load gets no answer.
	var mu sync.Mutex
	var hit *server
	if b.trouble {
		for _, s := range servers {
			l := s.current()
			l.mu.Lock()
			l.lateBy = lateOrderAfter
			l.loseOrders = func(o *order) bool {
				mu.Lock()
				defer mu.Unlock()
				if hit != nil || o.Operation != "load" {
					return false
				}
				hit = s
				return true
			}
			l.mu.Unlock()
		}
	}
	before := map[*server][]string{}
	for _, s := range servers {
		before[s] = s.adapters()
	}
	ask(newAdapter())
	extra := fmt.Sprintf("a%d", next)
	mu.Lock()
	crashed := hit
	mu.Unlock()
	if !b.trouble {
		crashed = servers[0]
	}
	if crashed == nil {
		panic(cannotRun{fmt.Errorf("no server was ordered to load %s", extra)})
	}
	if b.trouble {
		crashed.end()
		time.Sleep(crashDown)
		crashed.begin("v1", false)
	}
	// Requests go on: for the adapters that the server held before, for others until all places
	// are taken again, and then for those that are held.
	until := time.Now().Add(lateOrderAfter)
	for _, a := range before[crashed] {
		ask(a)
	}
	for held(servers) < maxAdapters*len(servers) && time.Now().Before(until) {
		ask(newAdapter())
	}
	for time.Now().Before(until) {
		for _, a := range crashed.adapters() {
			ask(a)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for _, s := range servers {
		b.rec.log("server %s holds %v", s.cfg.id, s.adapters())
	}
}

// adapters returns the adapters that a server holds.
func (s *server) adapters() []string {
	l := s.current()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for a := range l.resident {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

func held(servers []*server) int {
	n := 0
	for _, s := range servers {
		n += len(s.adapters())
	}
	return n
}
