package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

func init() { cases["bytes"] = playBytes }

const (
	// oddClients is the number of clients that name adapters in other bytes than text in UTF-8.
	oddClients = 24
	oddGap     = 120 * time.Millisecond
	// begunStreams is the number of streams that run at the entry that is killed, and newStreams
	// that of streams that begin at the other entries meanwhile.
	begunStreams = 24
	newStreams   = 24
	oddTime      = 22 * time.Second
	// streamEvents at streamGap are a stream of 6.6 s.
	streamEvents = 73
	streamGap    = 90 * time.Millisecond
	resumeGap    = 700 * time.Millisecond
)

// playBytes lets a few clients ask one of three entries for adapters whose names are no text in
// UTF-8, while streams begin there beside two software versions. Then the entry is killed, and the
// clients take the streams up again at the others.
func playBytes(b *bed, trouble bool) ([]string, error) {
	b.putConfig(1, siteRoutes())
	b.strict = true
	_, port, err := b.startHosts(4, func(i int, cfg *platform.ServerConfig) {
		cfg.Events, cfg.EventGap, cfg.LoadTime = streamEvents, streamGap, 250*time.Millisecond
		cfg.Version = []string{"v1", "v2"}[i%2]
	})
	if err != nil {
		return nil, err
	}
	entries, err := b.startEntries(3, port)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(context.Background(), oddTime)
	defer cancel()
	c := newClients(b)
	var wg sync.WaitGroup
	for i := range oddClients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * oddGap) // they come one after the other
			for n := 0; ctx.Err() == nil && entries[0].running(); n++ {
				name := fmt.Sprintf("a%d", 1+i%4)
				if trouble {
					name = fmt.Sprintf("\xe9%d", 100*i+n) // a letter in Latin-1
				}
				b.note("client %d for adapter %q: %s", i, name, oddRequest(ctx, entries[0].listen, c.id("o"), name))
			}
		})
	}
	time.Sleep(4 * time.Second)
	begun, fresh := make([]*stream, begunStreams), make([]*stream, newStreams)
	again := []*entry{entries[0]}
	for range 6 {
		again = append(again, entries[1], entries[2])
	}
	for i := range begun {
		wg.Go(func() { begun[i] = c.stream("/chat/x", modelName, 15*time.Second, again...) })
	}
	time.Sleep(2 * time.Second)
	b.note("entry-1 is killed")
	entries[0].kill()
	for i := range fresh {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			fresh[i] = c.stream("/chat/x", modelName, 15*time.Second, entries[1+i%2])
		})
	}
	wg.Wait()
	taken, on, began := 0, 0, 0
	for _, s := range begun {
		if len(s.tries) > 1 && len(s.ids) > 0 {
			taken++
			if s.whole {
				on++
			}
		}
	}
	for _, s := range fresh {
		if len(s.events) > 0 {
			began++
		}
	}
	b.note("of %d streams that were taken up again %d went on; of %d new ones %d began", taken, on, newStreams, began)
	if taken < 12 {
		return nil, fmt.Errorf("only %d streams were taken up again", taken)
	}
	if float64(on)/float64(taken) >= float64(began)/float64(newStreams)/2 {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d streams that clients took up again went on, %d of %d new ones began", on, taken, began, newStreams)}, nil
}

// oddRequest asks for a stream on a channel of its own and returns how it was answered.
func oddRequest(ctx context.Context, address, id, adapter string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return "no channel"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_, err = fmt.Fprintf(conn, "POST /chat/x HTTP/1.1\r\nHost: %s\r\nX-Fescuecourse-Request-Id: %s\r\nX-Fescuecourse-Deadline-Ms: 15000\r\n"+
		"X-Fescuecourse-Model: %s/%s\r\nX-Fescuecourse-Token-Count: 826,292\r\nX-Fescuecourse-Prompt-Prefix: a1:198,b%s:628\r\nContent-Length: 6\r\n\r\nprompt",
		siteHost, id, modelName, adapter, id[2:])
	if err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	var text strings.Builder
	_, _ = bufio.NewReader(resp.Body).WriteTo(&text)
	return fmt.Sprintf("status %d %.80q", resp.StatusCode, text.String())
}
