package residency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// weightStore shares its rate among the loads under way: each takes fullTime while
// there are no more than fullSpeed of them.
type weightStore struct {
	fullTime  time.Duration
	fullSpeed int
	loads     []*fetch
}

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

// meanWait plays a fleet that restarts and needs many adapters at once, then some
// more each second. limit returns the bound of one server. The result is the mean
// time from the want to the arrival.
func meanWait(servers, adapters int, limit func(*LoadLimiter) int) time.Duration {
	const step = 5 * time.Millisecond
	store := &weightStore{fullTime: 250 * time.Millisecond, fullSpeed: 8}
	queues := make([][]*fetch, servers)
	paces := make([]*LoadLimiter, servers)
	reports := make([]*Report, servers)
	for i := range servers {
		paces[i] = NewLoadLimiter()
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
			delete(r.Coming, key(f.adapter))
			r.Residents[key(f.adapter)] = 1
			total += now.Sub(f.wanted)
			n++
		}
		for s := range servers {
			paces[s].Observe(now, reports[s])
			for len(queues[s]) > 0 && len(reports[s].Coming) < limit(paces[s]) {
				f := queues[s][0]
				queues[s] = queues[s][1:]
				reports[s].Coming[key(f.adapter)] = 1
				paces[s].Started(now, key(f.adapter))
				store.loads = append(store.loads, f)
			}
		}
	}
	return total / time.Duration(n)
}

// Names the pattern of a fleet that restarts: every server wants several adapters
// at once. Guards against a wave of loads in which each takes seconds, and against
// a bound that slows a quiet store. The baseline lets each server fetch as many as
// it may.
func TestPaceAfterARestart(t *testing.T) {
	paced := func(p *LoadLimiter) int { return p.Limit() }
	greedy := func(*LoadLimiter) int { return maxComing }
	wave := meanWait(18, 108, paced)
	baseline := meanWait(18, 108, greedy)
	t.Logf("108 adapters on 18 servers: mean wait %v, baseline %v", wave, baseline)
	assert.Assert(t, wave < baseline*9/10, "%v, baseline %v", wave, baseline)
	quiet := meanWait(2, 8, paced)
	t.Logf("8 adapters on 2 servers: mean wait %v, baseline %v", quiet, meanWait(2, 8, greedy))
	assert.Assert(t, quiet < time.Second, "%v", quiet)
}

// Guards against learning from loads of the server's own copies, and against a
// load that never arrives.
func TestPaceIgnoresWarmAndLostLoads(t *testing.T) {
	p := NewLoadLimiter()
	r := report(1)
	p.Started(start, key(1))
	p.Started(start, key(2))
	p.Observe(start.Add(30*time.Millisecond), r)
	assert.Equal(t, p.LoadTime(), DefaultLoadTime)
	assert.Equal(t, p.Limit(), int(firstLimit))
	p.Observe(start.Add(2*lostLoad), r)
	assert.Equal(t, len(p.started), 0)
}
