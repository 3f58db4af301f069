package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/wait"
	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// caller sends requests one after the other, on connections that it keeps open
// until the entry is gone.
type caller struct {
	w      *world
	h      *history
	rng    *rand.Rand
	client *http.Client
	name   string
	count  int
}

func newCaller(w *world, h *history, seed uint64, i int) *caller {
	return &caller{
		w: w, h: h,
		rng:    rand.New(rand.NewPCG(seed, uint64(i)+1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
		name:   fmt.Sprintf("c%d", i),
	}
}

const callerBudget = 3 * time.Second

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.call(ctx)
		wait.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(40*time.Millisecond)))
	}
	c.client.CloseIdleConnections()
}

// call sends one request and records what came back.
func (c *caller) call(ctx context.Context) {
	c.count++
	r := soakRoutes[c.rng.IntN(len(soakRoutes))]
	rec := &record{id: fmt.Sprintf("%s-%d", c.name, c.count), route: r, sent: time.Now()}
	e := c.w.entry(c.rng)
	callCtx, cancel := context.WithTimeout(ctx, callerBudget+time.Second)
	defer cancel()
	method, body := http.MethodPost, strings.Repeat("x", c.rng.IntN(20_000))
	if r.kind == "idempotent" {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(callCtx, method, "http://"+e.front+r.prefix+"x?n=1", strings.NewReader(body))
	if err != nil {
		return
	}
	req.GetBody = nil
	head := platform.ClientRequest{ID: rec.id, Host: hostName, Timeout: callerBudget}
	if r.service == modelPool {
		rec.adapter = adapterName(c.rng)
		head.Model, head.Adapter, head.UniqueSegment = modelName, rec.adapter, c.count
	}
	head.Apply(req)
	resp, err := c.client.Do(req)
	if err == nil {
		rec.status = resp.StatusCode
		rec.stamped = platform.HasServerStamp(resp.Header)
		text, readErr := io.ReadAll(resp.Body)
		rec.body, rec.whole = string(text), readErr == nil
		resp.Body.Close()
	}
	if ctx.Err() == nil {
		c.h.add(rec)
	}
}
