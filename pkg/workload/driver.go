package workload

import (
	"context"
	"sync"
	"time"
)

// Sample is a request and its answer.
type Sample struct {
	Request Request
	Answer  Answer
	// IntendedStart is the scheduled start, from which latencies are measured.
	IntendedStart time.Time
	// IsRepeat is true if the request repeats an earlier one with the same
	// idempotency key.
	IsRepeat bool
}

// RunOpenLoop sends each arrival at its intended time, round robin over the entries,
// without waiting for earlier answers. It calls done concurrently with each sample
// and returns when all answers have arrived. If ctx ends, it sends no further
// requests.
func RunOpenLoop(ctx context.Context, c *Client, entries []string, arrivals []Arrival, done func(Sample)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range arrivals {
		intended := start.Add(arrivals[i].At)
		timer.Reset(time.Until(intended))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		addr := entries[i%len(entries)]
		wg.Go(func() {
			r := arrivals[i].Request
			a := c.Send(context.WithoutCancel(ctx), addr, &r, intended)
			done(Sample{Request: r, Answer: a, IntendedStart: intended})
		})
	}
}
