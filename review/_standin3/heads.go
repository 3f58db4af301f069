package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

func init() { cases["heads"] = playHeads }

const (
	// crowdSize is the number of clients, which is less than an entry with 4,100 descriptors and
	// 284 MB takes at the same time.
	crowdSize = 1400
	// crowdHead is the size of each head, of 16,384 bytes that the configuration allows.
	crowdHead = 16000
	// entryMemoryMB is memoryMb of a front machine of the site.
	entryMemoryMB = 284
	crowdTime     = 12 * time.Second
	ordinaryGap   = 250 * time.Millisecond
)

// manyHeaders returns header lines of about the given size, each with a short name of its own and
// a value of one byte.
func manyHeaders(total int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var s strings.Builder
	for i := 0; s.Len() < total-8; i++ {
		name, n := []byte{'x'}, i
		for range 3 {
			name = append(name, letters[n%len(letters)])
			n /= len(letters)
		}
		s.Write(name)
		s.WriteString(":1\r\n")
	}
	return s.String()
}

// playHeads sends one entry the streams of a crowd of clients. Each request is inside the limits of
// the configuration; its head has many short headers.
func playHeads(b *bed, trouble bool) ([]string, error) {
	b.putConfig(1, siteRoutes())
	_, port, err := b.startHosts(9, func(_ int, cfg *platform.ServerConfig) { cfg.Events, cfg.EventGap = 13, 250*time.Millisecond })
	if err != nil {
		return nil, err
	}
	entries, err := b.startEntries(1, port)
	if err != nil {
		return nil, err
	}
	e := entries[0]
	extra := ""
	if trouble {
		extra = manyHeaders(crowdHead)
	}
	b.note("%d clients come, each with a head of about %d bytes", crowdSize, len(extra)+300)
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var wg sync.WaitGroup
	c := newClients(b)
	var answers sync.Map // status or error -> *atomic.Int64
	count := func(what string) {
		n, _ := answers.LoadOrStore(what, &atomic.Int64{})
		n.(*atomic.Int64).Add(1)
	}
	for range crowdSize {
		wg.Go(func() {
			for ctx.Err() == nil {
				count(crowdRequest(ctx, e.listen, c.id("c"), extra))
			}
		})
	}
	ordinary := [2]int{}
	wg.Go(func() {
		for ctx.Err() == nil {
			if s := c.stream("/chat/x", modelName, 5*time.Second, e); s.whole {
				ordinary[0]++
			} else {
				ordinary[1]++
			}
			time.Sleep(ordinaryGap)
		}
	})
	wg.Wait()
	answers.Range(func(what, n any) bool {
		b.note("crowd: %d times %s", n.(*atomic.Int64).Load(), what)
		return true
	})
	b.note("an ordinary client: %d streams whole, %d not", ordinary[0], ordinary[1])
	if !e.running() {
		return []string{"Fault: the entry has ended"}, nil
	}
	peak := peakMB(e.process)
	b.note("entry-1 used %d MiB at most, of %d", peak, entryMemoryMB)
	if peak > entryMemoryMB {
		return []string{fmt.Sprintf("Fault: the entry used %d MiB of memory, its machine has %d MB; the platform kills it", peak, entryMemoryMB)}, nil
	}
	return nil, nil
}

// crowdRequest asks for one stream on a channel of its own and reads it to its end. It returns the
// status, or how the request failed.
func crowdRequest(ctx context.Context, address, id, extra string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return "no channel"
	}
	defer conn.Close()
	if end, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(end)
	}
	_, err = fmt.Fprintf(conn, "POST /chat/x HTTP/1.1\r\nHost: %s\r\nX-Fescuecourse-Request-Id: %s\r\nX-Fescuecourse-Deadline-Ms: 15000\r\n"+
		"X-Fescuecourse-Model: %s\r\nX-Fescuecourse-Token-Count: 826,292\r\nX-Fescuecourse-Prompt-Prefix: a1:198,b%s:628\r\n%sContent-Length: 6\r\n\r\nprompt", siteHost, id, modelName, id[2:], extra)
	if err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprintf("status %d, cut", resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Sprintf("status %d", resp.StatusCode)
}
