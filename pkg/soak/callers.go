package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/upstream"
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

const (
	// callerTimeout is the deadline that a caller gives with each request.
	callerTimeout = 3 * time.Second
	// streamTimeout is the time in which a caller resumes a broken stream.
	streamTimeout = 6 * time.Second
	// maxStreamAttempts is the number of attempts of a caller at one stream.
	maxStreamAttempts = 6
	// resumePause is the pause before a caller resumes a stream.
	resumePause = 100 * time.Millisecond
)

// run sends requests until ctx ends, with exponentially distributed pauses.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.call(ctx)
		wait.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(40*time.Millisecond)))
	}
	c.client.CloseIdleConnections()
}

// call sends one request or takes one stream to its end, and records the responses,
// except when ctx ends first.
func (c *caller) call(ctx context.Context) {
	r := randomRoute(c.rng)
	t := &target{route: r, entry: c.tb.randomEntry(c.rng), key: c.tb.keys.pick(c.rng, r.service)}
	if r.service == modelService {
		t.adapter, t.prompt = requestedAdapter(c.rng), prompt(c.rng, c.name, c.count)
	}
	stream := &streamRecord{}
	end := time.Now().Add(streamTimeout)
	for attempts := 1; ; attempts++ {
		rec := c.attempt(ctx, t, stream)
		if ctx.Err() != nil {
			return
		}
		stream.add(rec)
		c.h.add(rec)
		begun := stream.begunBy != nil
		if !r.resumable || !begun || rec.answered() || rec.denied() || attempts == maxStreamAttempts || time.Now().After(end) {
			break
		}
		t.entry = c.tb.otherEntry(c.rng, t.entry)
		wait.For(ctx, resumePause)
	}
	c.h.addStream(stream)
}

// target is what a caller asks for, and the entry that it asks.
type target struct {
	route   testRoute
	entry   *entryProcess
	adapter string
	key     *testKey
	prompt  []platform.PromptPart
}

// attempt sends one request, which goes on with a stream that has begun. It waits for
// the response beyond the deadline, so that it sees how a response ends that a stopped
// entry continues.
func (c *caller) attempt(ctx context.Context, t *target, s *streamRecord) *requestRecord {
	c.count++
	rec := &requestRecord{
		id: fmt.Sprintf("%s-%d", c.name, c.count), route: t.route, adapter: t.adapter, key: t.key, sent: time.Now(), lastEvent: s.lastEvent,
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout+maxFaultDuration)
	defer cancel()
	req, err := c.request(ctx, t, rec, s)
	if err != nil {
		return rec
	}
	resp, err := c.client.Do(req)
	if err == nil {
		rec.status = resp.StatusCode
		rec.hasServerStamp = platform.HasServerStamp(resp.Header)
		text, readErr := io.ReadAll(resp.Body)
		rec.body, rec.complete = string(text), readErr == nil
		rec.closed = rec.complete && upstream.FramingOf(resp) == upstream.FramedByClose
		resp.Body.Close()
	}
	if t.route.service == modelService {
		rec.undisturbed = c.tb.undisturbed(t.entry, s.software(), rec.sent)
	}
	if rec.status == http.StatusOK && t.route.service == modelService {
		rec.events, _ = parseEvents(rec.body)
		if rec.closed && rec.lastEvent+len(rec.events) < streamEvents {
			rec.complete = false // its server may have stopped early, so the caller resumes it
		}
	}
	return rec
}

func (c *caller) request(ctx context.Context, t *target, rec *requestRecord, s *streamRecord) (*http.Request, error) {
	method, body := http.MethodPost, strings.Repeat("x", c.rng.IntN(20_000))
	if t.route.kind == "idempotent" {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.entry.listen+t.route.prefix+"x?n=1", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot send a body a second time.
	req.GetBody = nil
	headers := platform.ClientRequest{ID: rec.id, Host: hostName, Timeout: callerTimeout, Entry: t.entry.name, APIKey: t.key.key}
	if t.route.service == modelService {
		headers.Model, headers.Adapter, headers.Prompt = modelName, t.adapter, t.prompt
	}
	if s.begunBy != nil {
		headers.LastEventID, headers.Resumes = fmt.Sprint(s.lastEvent), s.begunBy.id
	}
	headers.Apply(req)
	return req, nil
}

const (
	// baseModelShare is the fraction of the model requests that ask for the base model
	// without an adapter.
	baseModelShare = 0.05
	// topics is the number of different second parts of prompts.
	topics = 3
	// Token counts of the parts of a prompt. The shared ones are long enough that a
	// server is told to fetch them from another one.
	instructionTokens = 4000
	topicTokens       = 3000
	questionTokens    = 200
)

// requestedAdapter returns the adapter of a model request, or an empty string for the
// base model.
func requestedAdapter(rng *rand.Rand) string {
	if rng.Float64() < baseModelShare {
		return ""
	}
	return adapterName(rng)
}

// prompt returns a prompt whose first part all requests share, whose second part some
// share, and whose last part is the request's own.
func prompt(rng *rand.Rand, caller string, count int) []platform.PromptPart {
	return []platform.PromptPart{
		{ID: "aa", Tokens: instructionTokens},
		{ID: fmt.Sprintf("b%d", rng.IntN(topics)), Tokens: topicTokens},
		{ID: fmt.Sprintf("%x", caller+fmt.Sprint(count)), Tokens: questionTokens},
	}
}
