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

// caller is a client that sends requests one after the other. It keeps its
// connections open until the entry closes them.
type caller struct {
	tb     *testbed
	h      *history
	rng    *rand.Rand
	client *http.Client
	name   string
	count  int
}

func newCaller(tb *testbed, h *history, seed uint64, i int) *caller {
	return &caller{
		tb: tb, h: h,
		rng:    rand.New(rand.NewPCG(seed, uint64(i)+1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
		name:   fmt.Sprintf("c%d", i),
	}
}

// callerTimeout is the deadline that a caller gives with each request.
const callerTimeout = 3 * time.Second

// run sends requests until ctx ends, with exponentially distributed pauses.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.call(ctx)
		wait.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(40*time.Millisecond)))
	}
	c.client.CloseIdleConnections()
}

// call sends one request and records the response, except when ctx ends first.
func (c *caller) call(ctx context.Context) {
	c.count++
	r := testRoutes[c.rng.IntN(len(testRoutes))]
	rec := &requestRecord{id: fmt.Sprintf("%s-%d", c.name, c.count), route: r, sent: time.Now()}
	e := c.tb.randomEntry(c.rng)
	callCtx, cancel := context.WithTimeout(ctx, callerTimeout+time.Second)
	defer cancel()
	method, body := http.MethodPost, strings.Repeat("x", c.rng.IntN(20_000))
	if r.kind == "idempotent" {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(callCtx, method, "http://"+e.listen+r.prefix+"x?n=1", strings.NewReader(body))
	if err != nil {
		return
	}
	// Without GetBody, net/http cannot send a body a second time.
	req.GetBody = nil
	headers := platform.ClientRequest{ID: rec.id, Host: hostName, Timeout: callerTimeout}
	if r.service == modelService {
		rec.adapter = adapterName(c.rng)
		headers.Model, headers.Adapter = modelName, rec.adapter
		headers.Prompt = []platform.PromptPart{{ID: "aa", Tokens: 300}, {ID: fmt.Sprintf("%x", c.count), Tokens: 200}}
	}
	headers.Apply(req)
	resp, err := c.client.Do(req)
	if err == nil {
		rec.status = resp.StatusCode
		rec.hasServerStamp = platform.HasServerStamp(resp.Header)
		text, readErr := io.ReadAll(resp.Body)
		rec.body, rec.complete = string(text), readErr == nil
		resp.Body.Close()
	}
	if ctx.Err() == nil {
		c.h.add(rec)
	}
}
