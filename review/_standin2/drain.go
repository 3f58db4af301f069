package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["drain"] = drainCase }

const (
	// namedVersions is the number of adapters of which the operator has named a version. With
	// them, a list of the store has more than one page.
	namedVersions = 1300
	// drainBound is drainMs of the small deployments.
	drainBound = 2 * time.Second
	// rewriteLate is when the servers have written their items again: the pages say within about
	// two seconds of the store's return.
	rewriteLate = 2 * time.Second
)

// drainCase: a plain server leaves. Then the store is away for a moment and comes back from a
// copy from before that. It answers the first watch of each machine with 503. The server writes again
// that it drains.
func drainCase(b *bed) {
	b.port = sharedPort("127.0.31.1")
	b.writeConfig(3)
	for i := range namedVersions {
		b.st.put(fmt.Sprintf("op/version/%s.a%d", modelName, i+1), fmt.Sprintf(`{"model":%q,"adapter":"a%d","version":1}`, modelName, i+1))
	}
	model := startServer(b.st, b.rec, serverConfig{id: "i-1", service: modelService, host: "127.0.31.1", zone: "accra-a", software: "v1", slots: 64,
		model: modelName, startsWithModel: true, maxAdapters: maxAdapters, modelLoad: modelDisk, adapterLoad: adapterLoad, events: 3, eventGap: 20 * time.Millisecond})
	b.endpoint("side-accra-a-1", model)
	var servers []*server
	for i, work := range []time.Duration{24, 30, 36} { // "Servers of one service differ in speed"
		servers = append(servers, startServer(b.st, b.rec, serverConfig{id: fmt.Sprintf("i-%d", 11+i), service: plainService, host: fmt.Sprintf("127.0.32.%d", i+1),
			zone: "accra-a", software: "v1", slots: 6, work: work * time.Millisecond}))
	}
	names := []string{"front-accra-a-1", "front-accra-a-2", "front-accra-b-1", "front-accra-b-2", "front-accra-c-1"}
	var fronts []string
	for i, n := range names {
		front, ready := b.entry(n, fmt.Sprintf("127.0.33.%d", i+1), "accra-a")
		fronts = append(fronts, front)
		awaitReady(ready)
	}
	leaver := servers[0]
	var mu sync.Mutex
	sentAt, sentTo := map[string]time.Time{}, map[string]string{}
	var drainedAt time.Time // when all entries have read that the server drains
	late := 0
	b.rec.arrival = func(l *lifetime, id string, draining bool) {
		mu.Lock()
		defer mu.Unlock()
		if l.s != leaver || !draining || drainedAt.IsZero() || time.Since(drainedAt) < drainBound {
			return
		}
		late++
		b.rec.log("LATE: %s from %s reaches %s %.1f s after all entries have read that it drains (client sent it %.0f ms ago)",
			id, sentTo[id], leaver.cfg.id, time.Since(drainedAt).Seconds(), float64(time.Since(sentAt[id]).Microseconds())/1000)
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for entry, front := range fronts {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(280 * time.Millisecond):
				}
				wg.Go(func() {
					id := fmt.Sprintf("r%d-%d", entry+1, n)
					method, path, body := "GET", "/code/x", ""
					if n%2 == 1 {
						method, path, body = "POST", "/sale/x", "one season pass"
					}
					mu.Lock()
					sentAt[id], sentTo[id] = time.Now(), names[entry]
					mu.Unlock()
					b.rec.log("sent: %s %s %s to %s", id, method, path, names[entry])
					a := call(context.Background(), front, hostName, method, path, id, time.Second, nil, body)
					b.rec.log("answered: %s, status %d, stamp %q, %s", id, a.status, a.stamp, strings.TrimSpace(string(a.body)))
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	copied := b.st.copy()
	time.Sleep(time.Second)
	leaver.drain()
	acknowledged := b.awaitRead(names, b.st.current())
	mu.Lock()
	drainedAt = acknowledged
	mu.Unlock()
	b.rec.log("all entries have read that %s drains", leaver.cfg.id)
	time.Sleep(3 * time.Second)
	if b.trouble {
		b.rec.log("the store is away")
		b.st.turnAllAway(true)
		time.Sleep(drillAway)
		b.st.restore(copied)
		b.st.rejectWatches()
		b.st.turnAllAway(false)
		b.rec.log("the store is back from a copy")
		time.Sleep(rewriteLate)
		b.writeConfig(3)
		for _, s := range append(servers, model) {
			s.register()
		}
	}
	time.Sleep(3 * time.Second)
	close(done)
	wg.Wait()
	b.rec.log("%d requests have reached %s too late", late, leaver.cfg.id)
	if late > 0 {
		b.rec.broken("DRAIN: %d requests reach %s later than drainMs after the machines that sent them on have acknowledged that it drains", late, leaver.cfg.id)
	}
}

// rejectWatches makes the store answer the next call of a watch of each machine with 503.
func (s *store) rejectWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.doors {
		d.rejectWatch.Store(true)
	}
}

func (s *store) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// awaitRead waits until the store has answered a watch or a list of each machine with all changes
// up to a revision. It returns the time of the last of these answers.
func (b *bed) awaitRead(machines []string, revision int64) time.Time {
	for _, m := range machines {
		for b.st.doors[m].read.Load() < revision {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Now()
}
