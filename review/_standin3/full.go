package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

func init() { cases["full"] = playFull }

const (
	// fullCrowd is the number of clients with long streams, and calmCrowd that without the
	// disruption. An entry with these settings takes 1,560 channels.
	fullCrowd = 1750
	calmCrowd = 200
	fullTime  = 25 * time.Second
	// fullContact is contactMs of the site, and fullClients the number of clients of which the rule
	// speaks, and one more.
	fullContact   = 3 * time.Second
	fullClients   = 8
	fullClientGap = 200 * time.Millisecond
	readyGap      = time.Second
	// longEvents at longGap are a stream of 11 s, of a time budget of 15 s.
	longEvents = 73
	longGap    = 150 * time.Millisecond
)

// playFull sends one entry more long streams than it takes channels, beside clients that each try a
// new channel for a short request all the time.
func playFull(b *bed, trouble bool) ([]string, error) {
	b.putConfig(1, siteRoutes())
	_, port, err := b.startHosts(9, func(_ int, cfg *platform.ServerConfig) { cfg.Events, cfg.EventGap = longEvents, longGap })
	if err != nil {
		return nil, err
	}
	plain, err := platform.NewServer(platform.ServerConfig{ID: "i-plain", Service: plainService, Zone: zoneOf(0), Born: time.Now().UnixMilli()})
	if err != nil {
		return nil, err
	}
	defer plain.Close()
	b.store.Put(plain.Key(), plain.Registration("ready"))
	entries, err := b.startEntries(1, port)
	if err != nil {
		return nil, err
	}
	e := entries[0]
	ctx, cancel := context.WithTimeout(context.Background(), fullTime)
	defer cancel()
	c := newClients(b)
	var wg sync.WaitGroup
	size := calmCrowd
	if trouble {
		size = fullCrowd
	}
	b.note("%d clients ask for streams of %v", size, longEvents*longGap)
	for range size {
		wg.Go(func() {
			for ctx.Err() == nil {
				crowdRequest(ctx, e.listen, c.id("c"), "")
			}
		})
	}
	var taken, answered, unanswered atomic.Int64
	taken.Store(time.Now().UnixNano()) // when a channel was last taken, or the entry not ready
	for range fullClients {
		wg.Go(func() {
			for ctx.Err() == nil {
				id := c.id("o")
				text, ok := c.short(ctx, e, id)
				if ctx.Err() != nil {
					return
				}
				if ok {
					taken.Store(time.Now().UnixNano())
					answered.Add(1)
				} else {
					unanswered.Add(1)
				}
				b.note("%s: %s", id, text)
				time.Sleep(fullClientGap)
			}
		})
	}
	longest := time.Duration(0)
	wg.Go(func() {
		for ctx.Err() == nil {
			ready, err := platform.Ready(ctx, e.ready)
			now := time.Now()
			if !ready && ctx.Err() == nil {
				b.note("the entry is not ready: %v", err)
				taken.Store(now.UnixNano())
			}
			longest = max(longest, now.Sub(time.Unix(0, taken.Load())))
			time.Sleep(readyGap)
		}
	})
	wg.Wait()
	b.note("short requests on new channels: %d answered, %d not; longest time without an answer, ready all the while: %v", answered.Load(), unanswered.Load(), longest)
	if longest <= fullContact {
		return nil, nil
	}
	return []string{fmt.Sprintf("RECOVER: the entry said that it is ready and took no new channel for %v, while %d clients tried", longest.Round(time.Millisecond), fullClients)}, nil
}

// short sends a short request on a new channel and reports whether it was answered, with whatever.
func (c *clients) short(ctx context.Context, e *entry, id string) (string, bool) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.listen+"/code/x", nil)
	if err != nil {
		return err.Error(), false
	}
	req.Host = siteHost
	req.Header.Set("X-Fescuecourse-Request-Id", id)
	req.Header.Set("X-Fescuecourse-Deadline-Ms", "1000")
	resp, err := client.Do(req)
	if err != nil {
		return err.Error(), false
	}
	resp.Body.Close()
	return fmt.Sprintf("status %d", resp.StatusCode), true
}
