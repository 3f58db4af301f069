package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// entryMB is memoryMb of an entry on the sheet. The platform kills a process beyond it.
	entryMB = 284
	// largeBody is maxBodyBytes of the configuration, and usualBody that of a prompt on the sheet.
	largeBody = 4 << 20
	usualBody = 18000
	// usualGap is the time between requests to model servers at the only entry of a zone, 13 a
	// second on the sheet; burstGap is that in the site's burst of 1.7 for burstFor.
	usualGap = 77 * time.Millisecond
	burstGap = 45 * time.Millisecond
	burstFor = 3 * time.Second
	sendFor  = 6 * time.Second
)

// memoryCase: clients send long requests, in a burst at first, each within the limits of the
// configuration.
func memoryCase(b *bed) {
	hosts := []string{"127.0.61.1", "127.0.61.2", "127.0.61.3"}
	b.port = sharedPort(hosts...)
	b.writeConfig(3)
	for i, h := range hosts {
		s := startServer(b.st, b.rec, serverConfig{id: fmt.Sprintf("i-%d", i+1), service: modelService, host: h, zone: "accra-c", software: "v1", slots: 64,
			model: modelName, startsWithModel: true, maxAdapters: maxAdapters, modelLoad: modelLoad, adapterLoad: adapterLoad, events: 60, eventGap: 100 * time.Millisecond, firstEvent: 240 * time.Millisecond})
		b.endpoint(fmt.Sprintf("side-accra-c-%d", i+1), s)
	}
	const name = "front-accra-c-1"
	front, ready := b.entry(name, "127.0.62.1", "accra-c")
	entry := b.procs[len(b.procs)-1]
	awaitReady(ready)
	var mu sync.Mutex
	ran := map[string]bool{}
	b.rec.arrival = func(_ *lifetime, id string, _ bool) {
		mu.Lock()
		ran[id] = true
		mu.Unlock()
	}
	// The platform watches the memory of the process.
	done := make(chan struct{})
	var most int64
	killed := false
	var guard sync.WaitGroup
	guard.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			used := memory(entry)
			most = max(most, used)
			if !killed && used > entryMB<<20 {
				killed = true
				b.rec.log("%s holds %d MB, %d are allowed: the platform kills it", name, used>>20, entryMB)
				entry.Process.Kill()
			}
		}
	})
	size := usualBody
	if b.trouble {
		size = largeBody
	}
	body := bytes.Repeat([]byte("p"), size)
	var clients sync.WaitGroup
	unanswered, cut, answered := 0, 0, 0
	n := 0
	for at := time.Duration(0); at < sendFor; n++ {
		start := at
		if at += usualGap; start < burstFor {
			at = start + burstGap
		}
		clients.Go(func() {
			c, err := net.Dial("tcp", front)
			check(err)
			defer c.Close()
			r := bufio.NewReader(c)
			// An earlier request of the client, whose channel is kept.
			if status, _, err := exchange(c, r, "/notes/x", fmt.Sprintf("k%d", n), []byte("x")); err != nil || status != 200 {
				b.rec.log("client %d: its first request got status %d, %v", n, status, err)
				return
			}
			time.Sleep(start)
			id := fmt.Sprintf("r%d", n)
			b.rec.log("sent: %s, %d bytes, on a kept channel", id, len(body))
			status, events, err := exchange(c, r, "/chat/x", id, body)
			mu.Lock()
			defer mu.Unlock()
			b.rec.log("answered: %s, status %d, %d events, ran %v, %v", id, status, events, ran[id], err)
			switch {
			case err == nil:
				answered++
			case status == 0 && ran[id]:
				unanswered++
			case ran[id]:
				cut++
			}
		})
	}
	clients.Wait()
	close(done)
	guard.Wait()
	b.rec.log("%s held %d MB at most; of the requests %d were answered whole, %d ran and got no answer, %d ran and were cut in the answer", name, most>>20, answered, unanswered, cut)
	if killed && unanswered > 3 {
		b.rec.broken("LOST: %s ends by its memory (%d MB, %d allowed), and %d requests from kept channels that it has passed on to sound servers get no answer, %d more no whole one", name, most>>20, entryMB, unanswered, cut)
	}
}

// exchange sends a request on a channel and reads the answer. It returns the status, or 0 if there
// was none, the number of events, and an error unless the answer is whole.
func exchange(c net.Conn, r *bufio.Reader, path, id string, body []byte) (status, events int, err error) {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n%sRequest-Id: %s\r\n%sDeadline-Ms: 15000\r\nContent-Length: %d\r\n", path, hostName, pre, id, pre, len(body))
	for k, v := range promptHeaders("a1", "91bd3f06") {
		fmt.Fprintf(&head, "%s: %s\r\n", k, v)
	}
	head.WriteString("\r\n")
	c.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := c.Write(append([]byte(head.String()), body...)); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, 0, err
	}
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	return resp.StatusCode, strings.Count(text.String(), "id: "), err
}
