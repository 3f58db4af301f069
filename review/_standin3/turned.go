package main

import (
	"context"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

func init() { cases["turned"] = playTurned }

// gate is the path of one machine to the platform's store, which may turn the machine away.
type gate struct {
	turnsAway atomic.Bool
	proxy     *httputil.ReverseProxy
	// waiting ends when the machine is turned away.
	waiting context.Context
	cut     context.CancelFunc
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.turnsAway.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if g.waiting.Err() == nil {
		defer context.AfterFunc(g.waiting, cancel)()
	}
	g.proxy.ServeHTTP(w, r.WithContext(ctx))
}

// turnAway answers all calls with 503 from now on, also those that wait. It is called once.
func (g *gate) turnAway() {
	g.turnsAway.Store(true)
	g.cut()
}

// startGate starts the path of a machine to the store on the given host.
func (b *bed) startGate(host string) (g *gate, address string, err error) {
	waiting, cut := context.WithCancel(context.Background())
	g = &gate{waiting: waiting, cut: cut, proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: b.store.Address()})}
	g.proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	lis, err := listen(host)
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(lis, g) }() // ends with this program
	return g, lis.Addr().String(), nil
}

// turnedAwayTime is how long the store turns one entry away, of 9 s that the site names.
const turnedAwayTime = 8 * time.Second

// playTurned replaces the software of two of four model servers in turn, each in its place and under
// its id, while the store turns one of three entries away.
func playTurned(b *bed, trouble bool) ([]string, error) {
	b.putConfig(1, siteRoutes())
	hosts, port, err := b.startHosts(4, func(_ int, cfg *platform.ServerConfig) {
		cfg.Version, cfg.Events, cfg.EventGap = "v1", chatEvents, chatGap
	})
	if err != nil {
		return nil, err
	}
	way, address, err := b.startGate("127.0.0.61")
	if err != nil {
		return nil, err
	}
	b.stores = []string{address}
	entries, err := b.startEntries(3, port)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	c := newClients(b)
	var wg sync.WaitGroup
	if trouble {
		way.turnAway()
		b.note("the store turns entry-1 away")
		wg.Go(func() {
			time.Sleep(turnedAwayTime)
			way.turnsAway.Store(false)
			b.note("the store serves entry-1 again")
		})
	}
	streams := make([]*stream, streamCount)
	for i := range streams {
		wg.Go(func() {
			time.Sleep(1500*time.Millisecond + time.Duration(i)*10*time.Millisecond)
			first := i % 6 / 4 * (1 + i%2) // two thirds at entry-1
			streams[i] = c.stream("/chat/x", modelName, 15*time.Second, entries[first], entries[(first+1)%3])
		})
	}
	for _, h := range []*modelHost{hosts[0], hosts[3]} {
		if err := b.replace(h, "v2", nil); err != nil {
			return nil, err
		}
		time.Sleep(300 * time.Millisecond)
	}
	wg.Wait()
	return b.mixed(streams), nil
}
