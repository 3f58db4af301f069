package mirror

import (
	"context"
	"time"
)

const (
	// hedgeInterval is how long a call may take before another one is started beside it. A
	// call that began while the service was silent hangs until its timeout, although the
	// service may be back.
	hedgeInterval = 500 * time.Millisecond
	// maxHedges limits the calls that run at the same time.
	maxHedges = 4
)

// result is the result of one call.
type result[T any] struct {
	value T
	err   error
	took  time.Duration
}

// hedged returns the result of the first call of read that succeeds. While calls are
// running, it starts another one at each hedgeInterval. It fails when all running calls
// have failed. Each failure is also passed to failed, with the time that the call took.
func hedged[T any](ctx context.Context, read func(context.Context) (T, error), failed func(error, time.Duration)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], maxHedges)
	call := func() {
		began := time.Now()
		value, err := read(ctx)
		results <- result[T]{value: value, err: err, took: time.Since(began)}
	}
	tick := time.NewTicker(hedgeInterval)
	defer tick.Stop()
	go call()
	running := 1
	for {
		select {
		case r := <-results:
			running--
			if r.err == nil {
				return r.value, nil
			}
			failed(r.err, r.took)
			if running == 0 {
				return r.value, r.err
			}
		case <-tick.C:
			if running < maxHedges {
				running++
				go call()
			}
		}
	}
}
