package main

import (
	"net/http"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

func init() { cases["restore"] = playRestore }

// awayTime is how long the store is away.
const awayTime = 500 * time.Millisecond

// playRestore replaces the software of two of four model servers in turn, each in its place and
// under its id. While the second one leaves, the store returns from a copy that is some seconds
// old, and everyone writes again what they had written.
func playRestore(b *bed, trouble bool) ([]string, error) {
	b.putConfig(1, siteRoutes())
	describe := func(_ int, cfg *platform.ServerConfig) {
		cfg.Version, cfg.Events, cfg.EventGap = "v1", chatEvents, chatGap
	}
	hosts, port, err := b.startHosts(4, describe)
	if err != nil {
		return nil, err
	}
	entries, err := b.startEntries(2, port)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	c := newClients(b)
	copied := b.store.Memory().Copy()
	b.note("the copy of the store is made")
	first, second := hosts[0], hosts[3]
	var wg sync.WaitGroup
	streams := make([]*stream, streamCount)
	for i := range streams {
		wg.Go(func() {
			time.Sleep(1500*time.Millisecond + time.Duration(i)*10*time.Millisecond)
			streams[i] = c.stream("/chat/x", modelName, 15*time.Second, entries[i%2], entries[(i+1)%2])
		})
	}
	if err := b.replace(first, "v2", nil); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	err = b.replace(second, "v2", func() {
		if !trouble {
			return
		}
		b.store.SetFaults(platform.StoreFaults{FailStatus: http.StatusServiceUnavailable})
		time.Sleep(awayTime)
		b.store.Restore(copied)
		b.store.SetFaults(platform.StoreFaults{})
		b.note("the store is back from the copy")
		for i, h := range hosts {
			// Each server writes again with its next heartbeat, the operator after a moment.
			wg.Go(func() {
				time.Sleep(time.Duration(4-i) * heartbeat / 4)
				b.store.Put(h.server.Key(), h.server.Registration(h.server.State()))
				b.note("%s has written its item again", h.server.Key())
			})
		}
		time.Sleep(300 * time.Millisecond)
		b.putConfig(1, siteRoutes())
	})
	if err != nil {
		return nil, err
	}
	wg.Wait()
	return b.mixed(streams), nil
}
