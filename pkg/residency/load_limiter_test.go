package residency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// weightStore simulates a store that shares its bandwidth among the running loads. A
// load takes fullTime while at most fullSpeed loads are running.
type weightStore struct {
	fullTime  time.Duration
	fullSpeed int
	loads     []*fetch
}

// fetch is one load of an adapter from the store.
type fetch struct {
	server, adapter int
	wanted          time.Time
	left            time.Duration
}

func (w *weightStore) advance(step time.Duration) (done []*fetch) {
	share := 1.0
	if n := len(w.loads); n > w.fullSpeed {
		share = float64(w.fullSpeed) / float64(n)
	}
	rest := w.loads[:0]
	for _, f := range w.loads {
		f.left -= time.Duration(share * float64(step))
		if f.left <= 0 {
			done = append(done, f)
			continue
		}
		rest = append(rest, f)
	}
	w.loads = rest
	return done
}

// meanWait simulates a fleet that needs many adapters at once after a restart, and
// then some more each second. limit returns the maximum number of concurrent loads
// of one server. The result is the mean time from the need for an adapter to the end
// of its load.
func meanWait(servers, adapters int, limit func(*LoadLimiter) int) time.Duration {
	const step = 5 * time.Millisecond
	store := &weightStore{fullTime: 250 * time.Millisecond, fullSpeed: 8}
	queues := make([][]*fetch, servers)
	limiters := make([]*LoadLimiter, servers)
	reports := make([]*Report, servers)
	for i := range servers {
		limiters[i] = NewLoadLimiter()
		reports[i] = report()
	}
	now := start
	total, n, next := time.Duration(0), 0, 0
	want := func(count int) {
		for range count {
			s := next % servers
			queues[s] = append(queues[s], &fetch{server: s, adapter: next, wanted: now, left: store.fullTime})
			next++
		}
	}
	want(adapters)
	for range 4000 {
		if now.Sub(start)%time.Second == 0 {
			want(servers / 2)
		}
		now = now.Add(step)
		for _, f := range store.advance(step) {
			r := reports[f.server]
			delete(r.Loading, key(f.adapter))
			r.Residents[key(f.adapter)] = 1
			total += now.Sub(f.wanted)
			n++
		}
		for s := range servers {
			limiters[s].Observe(now, reports[s], len(store.loads)-len(reports[s].Loading))
			for len(queues[s]) > 0 && len(reports[s].Loading) < limit(limiters[s]) {
				f := queues[s][0]
				queues[s] = queues[s][1:]
				reports[s].Loading[key(f.adapter)] = 1
				limiters[s].Started(now, key(f.adapter))
				store.loads = append(store.loads, f)
			}
		}
	}
	return total / time.Duration(n)
}

// Simulates the restart of a fleet in which each server needs several adapters at
// once. Guards against so many concurrent loads that each takes seconds, and against
// a limit that slows the loads down while the store is idle. In the baseline, each
// server runs maxConcurrentLoads loads.
func TestLoadLimiterAfterARestart(t *testing.T) {
	limited := func(p *LoadLimiter) int { return p.Limit() }
	greedy := func(*LoadLimiter) int { return maxConcurrentLoads }
	wave := meanWait(18, 108, limited)
	baseline := meanWait(18, 108, greedy)
	t.Logf("108 adapters on 18 servers: mean wait %v, baseline %v", wave, baseline)
	assert.Assert(t, wave < baseline*9/10, "%v, baseline %v", wave, baseline)
	quiet := meanWait(2, 8, limited)
	t.Logf("8 adapters on 2 servers: mean wait %v, baseline %v", quiet, meanWait(2, 8, greedy))
	assert.Assert(t, quiet < time.Second, "%v", quiet)
}

// Guards against adapting the limit to warm loads, and against waiting forever for a
// load that never completes.
func TestLoadLimiterIgnoresLocalAndLostLoads(t *testing.T) {
	p := NewLoadLimiter()
	r := report(1)
	p.Started(start, key(1))
	p.Started(start, key(2))
	p.Observe(start.Add(30*time.Millisecond), r, 0)
	assert.Equal(t, p.LoadTime(), DefaultLoadTime)
	assert.Equal(t, p.Limit(), int(1))
	p.Observe(start.Add(2*lostLoadTimeout), r, 0)
	assert.Equal(t, len(p.started), 0)
}

// Guards against loads that wait at a busy server while the weight store has room. The
// pattern is an uneven load: one server of nine needs many adapters, the others few. A
// limiter that knows only its own loads leaves that server the same share as the
// others.
func TestLoadLimiterLeavesUnusedCapacityToABusyServer(t *testing.T) {
	p := NewLoadLimiter()
	r := report()
	now := start
	for i := range 8 {
		p.Started(now, key(i))
		now = now.Add(250 * time.Millisecond)
		r.Residents[key(i)] = 1
		p.Observe(now, r, 8)
	}
	assert.Equal(t, p.Limit(), maxConcurrentLoads, "capacity %.1f", p.Capacity())
	p.Observe(now, r, 2*int(p.Capacity()))
	assert.Equal(t, p.Limit(), 1)
}

// Guards against a limit that falls because a server carries out its orders late: the
// time of a load counts from the report that shows it.
func TestLoadLimiterIgnoresLateOrders(t *testing.T) {
	p := NewLoadLimiter()
	now := start
	for i := range 6 {
		r := report()
		p.Started(now, key(i))
		now = now.Add(900 * time.Millisecond)
		r.Loading[key(i)] = 1
		p.Observe(now, r, 3)
		now = now.Add(250 * time.Millisecond)
		r.Residents[key(i)] = 1
		delete(r.Loading, key(i))
		p.Observe(now, r, 3)
	}
	assert.Equal(t, p.LoadTime(), 250*time.Millisecond)
	assert.Assert(t, p.Limit() > 1)
}

// Guards against an estimate that falls without end while the store is saturated,
// because fewer loads are started and each of them looks slow.
func TestLoadLimiterFindsTheCapacityOfTheStore(t *testing.T) {
	for _, store := range []*weightStore{
		{fullTime: 250 * time.Millisecond, fullSpeed: 8},
		{fullTime: 250 * time.Millisecond, fullSpeed: 16},
		{fullTime: 250 * time.Millisecond, fullSpeed: 40},
		{fullTime: 800 * time.Millisecond, fullSpeed: 10},
	} {
		p := NewLoadLimiter()
		loads := 4
		now := start
		for i := range 200 {
			r := report()
			p.Started(now, key(i))
			elsewhere := loads - 1
			slowdown := max(1, float64(loads)/float64(store.fullSpeed))
			r.Loading[key(i)] = 1
			p.Observe(now, r, elsewhere)
			now = now.Add(time.Duration(slowdown * float64(store.fullTime)))
			delete(r.Loading, key(i))
			r.Residents[key(i)] = 1
			p.Observe(now, r, elsewhere)
			loads = max(1, int(p.Capacity()))
		}
		most := float64(store.fullSpeed)
		assert.Assert(t, p.Capacity() > 0.8*most && p.Capacity() < 1.5*most, "capacity %.1f of %.0f", p.Capacity(), most)
	}
}
