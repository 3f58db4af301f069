package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
)

// loadBy returns when the adapter of a request must be loaded for the first event to
// meet the latency target of its route.
func (f endpointFilter) loadBy(x *exchange) time.Time {
	return x.started.Add(x.route.TargetLatency - f.g.chooser.PromptTime(x.call.PromptTokens))
}

// hopeless reports whether a request that has missed its latency target will also see
// its caller leave before the server can have worked off the loads that are due now.
// New requests that are still in time go first, so the wait is not shorter than that.
// The caller is told to come back when the loads are done.
func (f endpointFilter) hopeless(x *exchange, w *waiter, e *fleet.Endpoint) (retryAfter time.Duration, hopeless bool) {
	now := time.Now()
	if now.Before(w.times.loadBy) {
		return 0, false
	}
	backlog := locality.LoadBacklog(now, e.Runtime.Status(), x.call.Key)
	if now.Add(backlog + f.g.chooser.PromptTime(x.call.PromptTokens)).Before(x.nextEventBy()) {
		return 0, false
	}
	return spread(backlog), true
}

// spread varies a Retry-After value by up to a quarter in both directions, so that the
// callers refused at one moment do not return together.
func spread(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// waiter counts a waiting request in the demand of one server at a time.
type waiter struct {
	// times stay the same when the request moves to another server.
	times    waitTimes
	demand   *demand
	endpoint *fleet.Endpoint
	// since is when the request started to wait at the current endpoint.
	since time.Time
	key   fleet.AdapterKey
	// priority is that of the request, and tokens the number of prompt tokens that the
	// current endpoint will have to process for it.
	priority int
	tokens   int64
}

// maxLoadWait is how long a request waits at one server for a load to start before it
// may move to another server.
const maxLoadWait = 1500 * time.Millisecond

// preferCurrent returns the choice with its endpoint replaced by the server where the request
// goes on waiting, if there is one. Each move to another server costs another load.
func (w *waiter) preferCurrent(endpoints []*fleet.Endpoint, c locality.Choice) locality.Choice {
	if e := w.current(time.Now(), endpoints); e != nil {
		c.Endpoint = e
	}
	return c
}

// current returns the server where the request waits, or nil if it should wait at another one:
// the server is unusable or has not started the load within maxLoadWait. Once the adapter is being
// loaded, the request stays. A server whose report could not be read goes on with its loads, so it
// is left only if it stays down.
func (w *waiter) current(now time.Time, endpoints []*fleet.Endpoint) *fleet.Endpoint {
	if w.demand == nil {
		return nil
	}
	runtime := w.endpoint.Runtime
	st := runtime.Status()
	if st == nil || st.Draining || now.Sub(st.ReceivedAt) > staleStatusAge || runtime.Leaving() || !runtime.Admits(now) {
		return nil
	}
	if st.Down && now.Sub(st.DownSince) > staleStatusAge {
		return nil
	}
	if _, loading := st.Loading[w.key]; !loading && !st.Down && now.Sub(w.since) > maxLoadWait {
		return nil
	}
	for _, e := range endpoints {
		if e.Runtime == runtime && e.State == fleet.Ready {
			return e
		}
	}
	return nil
}

// at returns the server where the request waits, or nil.
func (w *waiter) at() *fleet.Runtime {
	if w.demand == nil {
		return nil
	}
	return w.endpoint.Runtime
}

// move counts the request as waiting at the given server, which will have to process the
// given number of prompt tokens for it, instead of the previous one. It reports false if the
// request already waits there.
func (w *waiter) move(d *demand, e *fleet.Endpoint, k fleet.AdapterKey, version int, tokens int64) bool {
	if w.demand == d {
		return false
	}
	w.stop()
	w.demand, w.endpoint, w.key, w.since, w.tokens = d, e, k, time.Now(), tokens
	e.Runtime.StartWait(k, w.priority, tokens)
	d.wait(w.times, k, version)
	return true
}

func (w *waiter) stop() {
	if w.demand != nil {
		w.demand.endWait(w.times, w.key)
		w.endpoint.Runtime.EndWait(w.key, w.priority, w.tokens)
	}
	w.demand = nil
}

// waitChange waits until changed is closed, but at most for loadRecheck. It reports
// false if ctx has ended.
func waitChange(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(loadRecheck)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}
