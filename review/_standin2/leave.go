package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leave"] = leaveCase }

// leaveCase: a model server leaves while an entry is stopped, both as planned. The server takes no
// new channels any more, and still sends the streams that run there to their ends.
func leaveCase(b *bed) {
	hosts := []string{"127.0.71.1", "127.0.71.2"}
	b.port = sharedPort(hosts...)
	b.writeConfig(3)
	startModel := func(i int) *server {
		s := startServer(b.st, b.rec, serverConfig{id: fmt.Sprintf("i-%d", i+1), service: modelService, host: hosts[i], zone: "accra-a", software: "v1", slots: 64,
			model: modelName, startsWithModel: true, maxAdapters: maxAdapters, modelLoad: modelLoad, adapterLoad: adapterLoad, events: 60, eventGap: 100 * time.Millisecond})
		b.endpoint(fmt.Sprintf("side-accra-a-%d", i+1), s)
		return s
	}
	leaver := startModel(0)
	var fronts []string
	var entries []int
	for i, n := range []string{"front-accra-a-1", "front-accra-a-2"} {
		front, ready := b.entry(n, fmt.Sprintf("127.0.72.%d", i+1), "accra-a")
		fronts, entries = append(fronts, front), append(entries, len(b.procs)-1)
		awaitReady(ready)
	}
	ask := func(front int, adapter, id string) answer {
		b.rec.log("sent: %s for %s to entry %d", id, adapter, front+1)
		a := call(context.Background(), fronts[front], hostName, "POST", "/chat/x", id, 15*time.Second, promptHeaders(adapter, "91bd3f06"), "prompt")
		b.rec.log("answered: %s, status %d, %d events, whole %v, after %.1f s", id, a.status, len(a.events), a.complete, a.took.Seconds())
		return a
	}
	// Streams of one adapter, which only the first server holds.
	const streams = 15
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, cut := 0, 0
	for n := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			a := ask(0, "a1", fmt.Sprintf("r%d", n))
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && a.complete && len(a.events) == leaver.cfg.events {
				whole++
			} else {
				cut++
			}
		})
	}
	time.Sleep(1600 * time.Millisecond)
	// Another server, which gets all other requests and whose places are in use.
	startModel(1)
	time.Sleep(1200 * time.Millisecond)
	done := make(chan struct{})
	if b.trouble {
		leaver.drain()
	}
	var others sync.WaitGroup
	for k := range maxAdapters {
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				ask(1, fmt.Sprintf("a%d", 11+k), fmt.Sprintf("o%d-%d", k, n))
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if b.trouble {
		b.rec.log("front-accra-a-1 gets SIGTERM")
		b.procs[entries[0]].Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(1300 * time.Millisecond)
	if b.trouble {
		b.rec.log("server %s takes no new channels; its streams go on", leaver.cfg.id)
		leaver.close()
	}
	wg.Wait()
	alive := !leaver.current().hasEnded()
	b.rec.log("%d of %d streams were whole, %d were cut; the server that ran them had not ended: %v", whole, streams, cut, alive)
	if cut > 0 && alive {
		b.rec.broken("LOST: %d of %d streams are cut around planned work, which their server would have sent to the end", cut, streams)
	}
	close(done)
	others.Wait()
}

// close makes the server take no new channels. Idle ones are closed, running requests go on.
func (s *server) close() {
	l := s.current()
	l.lis.Close()
	l.srv.SetKeepAlivesEnabled(false)
}

func (l *lifetime) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}
