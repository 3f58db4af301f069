package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const plainService = "till-app"

// plainServer is a stand-in for one server without models. It notes what it runs.
type plainServer struct {
	b    *bed
	id   string
	lis  net.Listener
	mu   sync.Mutex
	runs map[string]string // by request id: method and target
}

func (b *bed) startPlain(id, host, zone string) (*plainServer, error) {
	lis, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	p := &plainServer{b: b, id: id, lis: lis, runs: map[string]string{}}
	go func() { _ = http.Serve(lis, http.HandlerFunc(p.serve)) }()
	go func() {
		for n := 1; ; n++ {
			text, _ := json.Marshal(map[string]any{
				"service": plainService, "address": lis.Addr().String(), "zone": zone, "version": "v1", "slots": 6,
				"state": "ready", "coldRemainingMs": 0, "sequence": n, "born": b.began.UnixMilli(),
			})
			b.store.Put("servers/"+id, string(text))
			time.Sleep(heartbeat)
		}
	}()
	return p, nil
}

func (p *plainServer) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Fescuecourse-Request-Id")
	w.Header().Set("X-Fescuecourse-Request-Id", id)
	w.Header().Set("X-Fescuecourse-Instance-Id", p.id)
	if e := r.Header.Get("X-Fescuecourse-Expect-Instance"); e != "" && e != p.id {
		w.Header().Set("X-Fescuecourse-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.b.note("server %s: runs %s: %s %s, host %s", p.id, id, r.Method, r.RequestURI, r.Host)
	p.mu.Lock()
	p.runs[id] = r.Method + " " + r.RequestURI
	p.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("X-Fescuecourse-Server-Stamp", p.id+".1")
	fmt.Fprintf(w, "done %s", id)
}

// writePlainConfig stores a configuration with one route, and a further one for all other paths
// of the host if catchAll is set.
func (b *bed) writePlainConfig(version int, catchAll bool) {
	route := func(name, prefix, kind string, attempts int) any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeoutMs": 1000,
			"targetLatencyMs": 150, "priority": 2, "service": plainService, "maxAttempts": attempts,
		}
	}
	routes := []any{route("sale", "/sale/", "non_idempotent", 1)}
	if catchAll {
		routes = append(routes, route("rest", "/", "non_idempotent", 1))
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // these types cannot fail
	}
	b.store.Put("op/config", string(text))
	b.note("operator: configuration %d written, route for all other paths: %v", version, catchAll)
}

// post sends one request with the given target on a new channel and returns the status.
func (b *bed) post(entry, id, target string) (int, error) {
	conn, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	body := strings.Repeat("x", 600)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Fescuecourse-Request-Id: %s\r\nX-Fescuecourse-Deadline-Ms: 1000\r\nContent-Length: %d\r\n\r\n%s", target, hostName, id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// changedPath shows requests that servers run with another path than the client's, after a
// change of the configuration has added a route.
func changedPath(b *bed) (int, error) {
	b.port = 7380 // no process listens there: the servers have no models
	b.writePlainConfig(1, false)
	var servers []*plainServer
	for i := range 3 {
		p, err := b.startPlain(fmt.Sprintf("i-%08x", 0x3c41d7e1*(i+1)), fmt.Sprintf("127.48.0.%d", i+1), zones[i])
		if err != nil {
			return 0, err
		}
		servers = append(servers, p)
	}
	var entries []*entry
	for i := range 2 {
		e, err := b.addEntry(fmt.Sprintf("front-%s-1", zones[i]), fmt.Sprintf("127.48.1.%d", i+1), b.store.Address())
		if err != nil {
			return 0, err
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		if err := e.awaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	sent := map[string]string{}
	served := 0
	send := func(n int) {
		for i := range n {
			for _, form := range []string{"/sale/%d?x=%d", "//sale/%d?x=%d"} {
				target, id := fmt.Sprintf(form, i, i), fmt.Sprintf("r%06x", requests.Add(1))
				sent[id] = "POST " + target
				status, err := b.post(entries[i%2].listen, id, target)
				b.note("client: %s: POST %s: status %d, %v", id, target, status, err)
				if status == http.StatusOK {
					served++
				}
			}
		}
	}
	send(5)
	if b.trouble {
		b.note("config_change: a route for all other paths of the host is added")
		b.writePlainConfig(2, true)
	}
	time.Sleep(3 * time.Second) // configApplyMs is 2 s
	send(10)
	if served == 0 {
		return 0, errors.New("no request was served")
	}
	changed := 0
	for _, p := range servers {
		p.mu.Lock()
		for id, run := range p.runs {
			if sent[id] != run {
				b.note("UNASKED is broken: the client of %s sent %q, server %s ran %q", id, sent[id], p.id, run)
				changed++
			}
		}
		p.mu.Unlock()
	}
	b.note("requests served: %d, run with another path: %d", served, changed)
	if changed > 0 {
		return broken, nil
	}
	b.note("UNASKED held")
	return held, nil
}
