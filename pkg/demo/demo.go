package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// Parameters of the demo's load.
const (
	demoRequests    = 400
	demoConcurrency = 16
	demoProgress    = 100
)

// ErrViolated reports that an answer or a backend violated a requirement.
var ErrViolated = errors.New("requirements were violated")

// Run starts a cluster, sends requests and checks the answers. It returns
// ErrViolated if a requirement was violated.
func Run(ctx context.Context, opts Options, seed uint64, out io.Writer) error {
	c, err := Start(ctx, opts)
	if err != nil {
		return err
	}
	printSize(out, c)
	r := newRunRecorder()
	began := time.Now()
	c.runClosedLoop(ctx, r, seed, out)
	took := time.Since(began)
	if err := c.Stop(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	found := r.violations(c)
	if err := printDemo(out, c, r, took); err != nil {
		return err
	}
	workload.WriteViolations(out, found)
	if len(found) > 0 {
		return ErrViolated
	}
	return nil
}

func printSize(out io.Writer, c *Cluster) {
	adapters := 0
	for _, t := range c.Opts.Teams {
		adapters += t.Adapters
	}
	fmt.Fprintf(out, "running %d entries, %d model servers with %d adapter slots each, %d service servers, %d teams, %d adapters\n",
		c.Opts.Entries, c.Opts.ModelServers, c.Opts.Slots, c.Opts.ServiceServers, len(c.Opts.Teams), adapters)
}

// runClosedLoop sends the demo's requests with a fixed concurrency.
func (c *Cluster) runClosedLoop(ctx context.Context, r *runRecorder, seed uint64, out io.Writer) {
	client := workload.NewClient()
	defer client.Close()
	source := workload.NewSource(specFor(&c.Opts, 1), seed)
	addrs := c.Addrs()
	work := make(chan workload.Request)
	var wg sync.WaitGroup
	for range demoConcurrency {
		wg.Go(func() {
			for req := range work {
				now := time.Now()
				a := client.Send(ctx, addrs[req.Seq%len(addrs)], &req, now)
				r.add(workload.Sample{Request: req, Answer: a, IntendedStart: now})
			}
		})
	}
	for i := range demoRequests {
		if ctx.Err() != nil {
			break
		}
		work <- source.Interactive(0)
		if (i+1)%demoProgress == 0 {
			fmt.Fprintf(out, "%d of %d requests sent, %d ended\n", i+1, demoRequests, r.count())
		}
	}
	close(work)
	wg.Wait()
}

func printDemo(out io.Writer, c *Cluster, r *runRecorder, took time.Duration) error {
	sum := r.recorder.Sum()
	totals := c.engineTotals()
	adapters := map[string]bool{}
	services, serviceRuns := 0, 0
	for i := range r.samples {
		s := &r.samples[i]
		if s.Request.IsModel() {
			adapters[s.Answer.Adapter] = true
			continue
		}
		services++
		serviceRuns += c.runs(s.Request.Content())
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests/s\t%.0f\n", float64(sum.Requests)/took.Seconds())
	fmt.Fprintf(w, "first token p50/p95/p99 (ms)\t%s\n", sum.FirstToken)
	fmt.Fprintf(w, "load stall p50/p95/p99 (ms)\t%s\n", sum.LoadStall)
	fmt.Fprintf(w, "whole answer p50/p95/p99 (ms)\t%s\n", sum.Total)
	fmt.Fprintf(w, "adapter versions used\t%d\n", len(adapters))
	fmt.Fprintf(w, "service calls, runs counted by the services\t%d, %d\n", services, serviceRuns)
	fmt.Fprintf(w, "loads, evictions\t%d, %d\n", totals.loads, totals.evictions)
	fmt.Fprintf(w, "answered, not-run, unknown\t%d, %d, %d\n", sum.Answered, sum.NotRun, sum.Unknown)
	return errors.Wrap(w.Flush(), "write result")
}
