package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

func init() { cases["encoded"] = playEncoded }

const (
	saleCount = 200
	saleGap   = 50 * time.Millisecond
	// lostShare is one in how many answers two of four servers lose.
	lostShare = 4
)

// payServer is a plain server that counts how often each request has run there.
type payServer struct {
	b    *bed
	id   string
	lose bool

	mu   sync.Mutex
	runs map[string]int // by request id
	seen int
}

func (s *payServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Fescuecourse-Request-Id")
	if want := r.Header.Get("X-Fescuecourse-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // the caller may be gone
	s.mu.Lock()
	s.runs[id]++
	s.seen++
	lost := s.lose && s.seen%lostShare == 0
	s.mu.Unlock()
	s.b.note("%s runs %s %s %s, answer lost %v", s.id, r.Method, r.RequestURI, id, lost)
	time.Sleep(30 * time.Millisecond)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Fescuecourse-Request-Id", id)
	w.Header().Set("X-Fescuecourse-Server-Stamp", s.id+".stamp")
	_, _ = fmt.Fprintf(w, "%s ran %s", s.id, id)
}

// playEncoded sends payments whose paths have an encoded slash, so that only the route of payments,
// which may not be repeated, begins them. Some answers of the servers are lost.
func playEncoded(b *bed, trouble bool) ([]string, error) {
	b.putConfig(1, append(siteRoutes(),
		route{Name: "pay", Host: siteHost, Prefix: "/pay/", Kind: "non_idempotent", TimeoutMS: 1000, TargetMS: 150, Priority: 2, Service: plainService, MaxAttempts: 1},
		route{Name: "pay-check", Host: siteHost, Prefix: "/pay/check/", Kind: "idempotent", TimeoutMS: 1000, TargetMS: 150, Priority: 2, Service: plainService, MaxAttempts: 2},
	))
	_, port, err := b.startHosts(3, func(int, *platform.ServerConfig) {})
	if err != nil {
		return nil, err
	}
	var servers []*payServer
	for i := range 4 {
		s := &payServer{b: b, id: fmt.Sprintf("i-%d", i+1), lose: trouble && i%2 == 0, runs: map[string]int{}}
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 51+i))
		if err != nil {
			return nil, err
		}
		srv := &http.Server{Handler: s}
		go func() { _ = srv.Serve(lis) }()
		defer srv.Close()
		servers = append(servers, s)
		b.store.Put("servers/"+s.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":%d}`, plainService, lis.Addr(), zoneOf(0), time.Now().UnixMilli()))
	}
	entries, err := b.startEntries(2, port)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	c := newClients(b)
	var wg sync.WaitGroup
	for i := range saleCount {
		wg.Go(func() { c.pay(entries[i%2], "/pay/check%2F"+fmt.Sprint(1000+i)) })
		time.Sleep(saleGap)
	}
	wg.Wait()
	runs := map[string]int{}
	for _, s := range servers {
		for id, n := range s.runs {
			runs[id] += n
		}
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			b.note("%s has run %d times", id, n)
		}
	}
	b.note("%d of %d payments have run more than once", twice, saleCount)
	if twice == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("TWICE: %d of %d requests that aren't idempotent have run more than once", twice, saleCount)}, nil
}

func (c *clients) pay(e *entry, path string) {
	id := c.id("p")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.listen+path, strings.NewReader("amount=1"))
	if err != nil {
		c.b.note("%s: %v", id, err)
		return
	}
	req.Host = siteHost
	req.Header.Set("X-Fescuecourse-Request-Id", id)
	req.Header.Set("X-Fescuecourse-Deadline-Ms", "1000")
	resp, err := c.http.Do(req)
	if err != nil {
		c.b.note("%s at %s: %v", id, e.name, err)
		return
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	c.b.note("%s at %s: %d %s", id, e.name, resp.StatusCode, text)
}
