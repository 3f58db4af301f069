package workload

import (
	"context"
	"sync"
	"time"
)

// Sample is a request with its answer.
type Sample struct {
	Request Request
	Answer  Answer
	// IntendedStart is the scheduled start.
	IntendedStart time.Time
	// IsRepeat marks a repeated request with the same idempotency key.
	IsRepeat bool
}

// RunOpenLoop sends the arrivals at their intended times, round robin over the
// entries, whatever the latency of earlier answers, and passes each sample to
// done, which is called concurrently. It returns when all answers are there; if
// ctx ends, no further requests are sent.
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
