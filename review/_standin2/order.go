package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["drill"] = drillCase }

const (
	// drillAway is how long the store is away in the drill, and rewriteAfter when the operator
	// and the servers have written their items again, counted from its return.
	drillAway    = time.Second
	rewriteAfter = 1200 * time.Millisecond
)

// drillCase: the servers of two services get new software one after the other. Each drains, ends
// and starts again under its id. Meanwhile the store comes back from a copy some seconds old.
func drillCase(b *bed) {
	hosts := []string{"127.0.11.1", "127.0.11.2"}
	b.port = sharedPort(hosts...)
	b.writeConfig(3)
	var models, plain []*server
	for i, h := range hosts {
		s := startServer(b.st, b.rec, serverConfig{id: fmt.Sprintf("i-%d", i+1), service: modelService, host: h, zone: "accra-a", software: "v1", slots: 64,
			model: modelName, startsWithModel: true, maxAdapters: maxAdapters, modelLoad: modelDisk, adapterLoad: adapterLoad, events: 60, eventGap: 100 * time.Millisecond})
		models = append(models, s)
		b.endpoint(fmt.Sprintf("side-accra-a-%d", i+1), s)
		plain = append(plain, startServer(b.st, b.rec, serverConfig{id: fmt.Sprintf("i-%d", i+11), service: plainService, host: fmt.Sprintf("127.0.13.%d", i+1),
			zone: "accra-a", software: "v1", slots: 64, events: 60, eventGap: 100 * time.Millisecond}))
	}
	names := []string{"front-accra-a-1", "front-accra-b-1"}
	var fronts []string
	for i, n := range names {
		front, ready := b.entry(n, fmt.Sprintf("127.0.12.%d", i+1), "accra-a")
		fronts = append(fronts, front)
		awaitReady(ready)
	}
	paths := []string{"/chat/x", "/feed/x"} // to the model servers and to the plain ones
	var all []*clients
	for _, path := range paths {
		all = append(all, b.startClients(fronts, names, path))
	}
	time.Sleep(3 * time.Second)
	var copied snapshot
	for i := range models {
		pair := []*server{models[i], plain[i]}
		time.Sleep(500 * time.Millisecond)
		if i == 0 {
			copied = b.st.copy()
		}
		for _, s := range pair {
			s.drain()
		}
		if b.trouble && i == 1 {
			time.AfterFunc(700*time.Millisecond, func() { b.drill(copied, append(models, plain...)) })
		}
		time.Sleep(2500 * time.Millisecond) // drainMs and a little longer
		for _, s := range pair {
			s.end()
		}
		time.Sleep(200 * time.Millisecond)
		for _, s := range pair {
			s.begin("v2", false)
		}
		if i == 0 {
			time.Sleep(1300 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	for i, c := range all {
		mixed := c.stop()
		b.rec.log("%s: %d streams hold events of two software versions; more than two break ORDER", paths[i], mixed)
		if mixed > 2 {
			b.rec.broken("ORDER: %s: %d streams hold events from servers of two software versions of one service", paths[i], mixed)
		}
	}
}

// drill makes the store go away for a moment and come back from a copy. Then the operator and the
// servers write again what they wrote.
func (b *bed) drill(c snapshot, servers []*server) {
	b.rec.log("the store is away")
	b.st.turnAllAway(true)
	time.Sleep(drillAway)
	b.st.restore(c)
	b.st.turnAllAway(false)
	b.rec.log("the store is back from a copy, revision %d", c.revision)
	time.Sleep(rewriteAfter)
	b.writeConfig(3)
	for _, s := range servers {
		s.register()
	}
}

// clients send streams to all entries until they are stopped.
type clients struct {
	wg    sync.WaitGroup
	done  chan struct{}
	mu    sync.Mutex
	mixed int
}

func (b *bed) startClients(fronts, names []string, path string) *clients {
	c := &clients{done: make(chan struct{})}
	for entry := range fronts {
		c.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-c.done:
					return
				case <-time.After(200 * time.Millisecond):
				}
				c.wg.Go(func() {
					if b.stream(fronts, names, entry, n, path) {
						c.mu.Lock()
						c.mixed++
						c.mu.Unlock()
					}
				})
			}
		})
	}
	return c
}

// stop ends the clients when their streams have ended. It returns the number of streams with
// events of two software versions.
func (c *clients) stop() int {
	close(c.done)
	c.wg.Wait()
	return c.mixed
}

// stream plays one client: a stream and, if it breaks off, one resumption at the other entry. It
// reports whether its events are of two software versions.
func (b *bed) stream(fronts, names []string, entry, number int, path string) bool {
	const budget = 15 * time.Second
	began := time.Now()
	versions := map[string]string{} // to the first event of the version
	last := ""
	first := fmt.Sprintf("%s-%d-%d", path[1:5], entry+1, number)
	for try := range 2 {
		at := (entry + try) % len(fronts)
		id := first
		headers := map[string]string{}
		if path == "/chat/x" {
			headers = promptHeaders(fmt.Sprintf("a%d", number%3+1), fmt.Sprintf("%x", 4096+number))
		}
		if try > 0 {
			id += "-again"
			if last != "" {
				headers["Last-Event-Id"], headers["Resumes"] = last, first
			}
		}
		b.rec.log("sent: %s to %s, after event %q", id, names[at], last)
		a := call(context.Background(), fronts[at], hostName, "POST", path, id, budget-time.Since(began), headers, "prompt")
		for _, e := range a.events {
			_, v, _ := strings.Cut(e.data, "software ")
			if _, seen := versions[v]; !seen {
				versions[v] = fmt.Sprintf("event %s of %s", e.id, id)
			}
			last = e.id
		}
		b.rec.log("answered: %s from %s, status %d, stamp %q, %d events to %s, complete %v, versions %v", id, names[at], a.status, a.stamp, len(a.events), last, a.complete, versions)
		if a.complete && a.status == 200 {
			break
		}
	}
	if len(versions) > 1 {
		b.rec.log("MIXED SOFTWARE: stream %s: %v", first, versions)
	}
	return len(versions) > 1
}
