package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
)

// Parameters of the demo's load.
const (
	demoRequests    = 400
	demoConcurrency = 16
	maxLatencyUS    = int64(60 * time.Second / time.Microsecond)
)

// result collects what came back.
type result struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	outcomes map[string]int
	adapters map[string]bool
	broken   []string
}

// Run starts a cluster, sends requests and checks the answers. It returns an
// error if a promise was broken.
func Run(ctx context.Context, opts Options, seed uint64, out io.Writer) error {
	c, err := Start(ctx, opts)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "running %d entries, %d model servers, %d service servers\n", opts.Entries, opts.ModelServers, opts.ServiceServers)
	res := &result{latency: hdrhistogram.New(1, maxLatencyUS, 3), outcomes: map[string]int{}, adapters: map[string]bool{}}
	began := time.Now()
	c.load(ctx, seed, res)
	took := time.Since(began)
	if err := c.Stop(); err != nil {
		return err
	}
	c.print(out, res, took)
	if len(res.broken) > 0 {
		return errors.Newf("%d answers broke a promise, the first: %s", len(res.broken), res.broken[0])
	}
	return nil
}

func (c *Cluster) load(ctx context.Context, seed uint64, res *result) {
	rng := rand.New(rand.NewPCG(seed, 0))
	work := make(chan request)
	var wg sync.WaitGroup
	for range demoConcurrency {
		wg.Go(func() {
			for r := range work {
				res.add(r, c.send(ctx, r))
			}
		})
	}
	for i := range demoRequests {
		work <- c.pick(rng, i)
	}
	close(work)
	wg.Wait()
}

// request is one request of the demo.
type request struct {
	entry  string
	team   Team
	model  ident.Adapter
	prompt string
	tokens int
}

func (c *Cluster) pick(rng *rand.Rand, i int) request {
	t := c.Opts.Teams[rng.IntN(len(c.Opts.Teams))]
	a := ident.Adapter{Team: t.Name, Name: AdapterName(rng.IntN(t.Adapters)), Version: fmt.Sprint(1 + rng.IntN(2))}
	return request{
		entry: c.Entries[i%len(c.Entries)].Addr(), team: t, model: a,
		prompt: fmt.Sprintf("request %d", i), tokens: 4 + rng.IntN(12),
	}
}

// answer is what came back for one request.
type answer struct {
	outcome string
	adapter string
	text    string
	took    time.Duration
	err     error
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (c *Cluster) send(ctx context.Context, r request) answer {
	body, _ := json.Marshal(completionRequest{Model: r.model.String(), Prompt: r.prompt, MaxTokens: r.tokens}) // plain struct, cannot fail
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.entry+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+r.team.Key)
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	var doc struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		return answer{err: err}
	}
	a := answer{outcome: resp.Header.Get("Fescue-Outcome"), adapter: resp.Header.Get("Fescue-Adapter"), took: time.Since(began)}
	if len(doc.Choices) > 0 {
		a.text = doc.Choices[0].Text
	}
	return a
}

func (r *result) add(req request, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.err != nil {
		r.broken = append(r.broken, a.err.Error())
		return
	}
	r.outcomes[a.outcome]++
	if a.outcome != ident.Answered.String() {
		return
	}
	r.adapters[a.adapter] = true
	_ = r.latency.RecordValue(a.took.Microseconds()) // out of range only above a minute
	if a.adapter != req.model.String() {
		r.broken = append(r.broken, fmt.Sprintf("asked for %s, got %s", req.model, a.adapter))
	}
	if want := expectedText(req); a.text != want {
		r.broken = append(r.broken, fmt.Sprintf("%s: got %q, want %q", req.model, a.text, want))
	}
}

func expectedText(r request) string {
	prompt, _ := json.Marshal(r.prompt) // a string, cannot fail
	text := ""
	for i := range r.tokens {
		text += fakeengine.Word(r.model.String(), string(prompt), i)
	}
	return text
}

func (c *Cluster) print(out io.Writer, r *result, took time.Duration) {
	loads, evictions := 0, 0
	for _, e := range c.Engines {
		s := e.Stats()
		loads += s.Loads
		evictions += s.Evictions
		if s.EvictedUnderRun > 0 {
			r.broken = append(r.broken, "adapter evicted under a running request")
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests/s\t%.0f\n", float64(demoRequests)/took.Seconds())
	fmt.Fprintf(w, "latency p50, p95, p99 (ms)\t%.1f, %.1f, %.1f\n", ms(r.latency, 50), ms(r.latency, 95), ms(r.latency, 99))
	fmt.Fprintf(w, "adapters answered\t%d\n", len(r.adapters))
	fmt.Fprintf(w, "loads, evictions\t%d, %d\n", loads, evictions)
	fmt.Fprintf(w, "answered, not-run, unknown\t%d, %d, %d\n", r.outcomes["answered"], r.outcomes["not-run"], r.outcomes["unknown"])
	fmt.Fprintf(w, "broken promises\t%d\n", len(r.broken))
	_ = w.Flush() // standard output
}

func ms(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
