package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

func init() { cases["names"] = playNames }

const (
	// namesClients is the number of clients at each entry.
	namesClients = 300
	namesTime    = 60 * time.Second
	// nameBytes is the length of the name of an adapter; the head stays inside maxHeaderBytes.
	nameBytes = 15000
	// namesDeadline is how long the clients wait.
	namesDeadline = 500 * time.Millisecond
	// sideMemoryMB is memoryMb of a side machine of the site.
	sideMemoryMB = 216
)

// adapterCount is the number of adapters of the model, which are named a1, a2, and so on.
const adapterCount = 3000

// strictServer is the way to a model server. Orders for adapters that do not exist get 400.
type strictServer struct {
	proxy   *httputil.ReverseProxy
	refused atomic.Int64
}

func (s *strictServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/order" {
		s.proxy.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o struct {
		Adapter string `json:"adapter"`
	}
	if json.Unmarshal(body, &o) != nil || o.Adapter != "" && !exists(o.Adapter) {
		s.refused.Add(1)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.proxy.ServeHTTP(w, r)
}

func exists(adapter string) bool {
	number, ok := strings.CutPrefix(adapter, "a")
	n, err := strconv.Atoi(number)
	return ok && err == nil && n >= 1 && n <= adapterCount
}

// startStrict starts the way to a model server on the given host.
func startStrict(host, server string) (address string, err error) {
	lis, err := listen(host)
	if err != nil {
		return "", err
	}
	s := &strictServer{proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: server})}
	s.proxy.ErrorLog = log.New(io.Discard, "", 0)
	s.proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	go func() { _ = (&http.Server{Handler: s, ErrorLog: s.proxy.ErrorLog}).Serve(lis) }() // ends with this program
	return lis.Addr().String(), nil
}

// playNames lets clients ask for adapters that do not exist, each time for another one.
func playNames(b *bed, trouble bool) ([]string, error) {
	b.putConfig(1, siteRoutes())
	b.strict = true
	hosts, port, err := b.startHosts(3, func(_ int, cfg *platform.ServerConfig) { cfg.Events, cfg.EventGap = 13, 50*time.Millisecond })
	if err != nil {
		return nil, err
	}
	entries, err := b.startEntries(2, port)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), namesTime)
	defer cancel()
	c := newClients(b)
	var wg sync.WaitGroup
	var sent atomic.Int64
	var answers sync.Map
	for i := range 2 * namesClients {
		wg.Go(func() {
			for ctx.Err() == nil {
				name := "a1" // exists
				if trouble {
					name = fmt.Sprintf("a%s%d", strings.Repeat("n", nameBytes), sent.Load())
				}
				n, _ := answers.LoadOrStore(askFor(ctx, entries[i%2].listen, c.id("n"), name), &atomic.Int64{})
				n.(*atomic.Int64).Add(1)
				sent.Add(1)
			}
		})
	}
	wg.Wait()
	answers.Range(func(what, n any) bool {
		b.note("%d times %s", n.(*atomic.Int64).Load(), what)
		return true
	})
	b.note("%d requests were sent", sent.Load())
	var breaches []string
	for _, p := range b.procs {
		if !p.running() {
			breaches = append(breaches, "Fault: "+p.name+" has ended")
		}
	}
	for _, e := range entries {
		b.note("%s used %d MiB at most, of %d", e.name, peakMB(e.process), entryMemoryMB)
	}
	for _, h := range hosts {
		peak := peakMB(h.sidecar)
		b.note("%s used %d MiB at most, of %d", h.sidecar.name, peak, sideMemoryMB)
		if peak > sideMemoryMB {
			breaches = append(breaches, fmt.Sprintf("Fault: %s used %d MiB of memory, its machine has %d MB; the platform kills it", h.sidecar.name, peak, sideMemoryMB))
		}
	}
	return breaches, nil
}

// askFor asks for a stream of an adapter on a channel of its own and returns how it was answered.
func askFor(ctx context.Context, address, id, adapter string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return "no channel"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * namesDeadline))
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_, err = fmt.Fprintf(conn, "POST /chat/x HTTP/1.1\r\nHost: %s\r\nX-Fescuecourse-Request-Id: %s\r\nX-Fescuecourse-Deadline-Ms: %d\r\n"+
		"X-Fescuecourse-Model: %s/%s\r\nX-Fescuecourse-Token-Count: 826,292\r\nX-Fescuecourse-Prompt-Prefix: a1:198,b%s:628\r\nContent-Length: 6\r\n\r\nprompt",
		siteHost, id, namesDeadline.Milliseconds(), modelName, adapter, id[2:])
	if err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	resp.Body.Close()
	return fmt.Sprintf("status %d", resp.StatusCode)
}
