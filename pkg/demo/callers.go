package demo

import (
	"context"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// Behaviour of the callers and of the load balancer in front of the entries.
const (
	// balancerDetectionDelay is the time until the balancer notices that an entry
	// stops.
	balancerDetectionDelay = 200 * time.Millisecond
	// faultUnreadyDelay is the time for which a stopping entry reports not ready
	// before it stops accepting requests. It leaves the balancer time to notice.
	faultUnreadyDelay = 800 * time.Millisecond
	// repeatDelay is the time after which a caller repeats a request.
	repeatDelay = time.Second
	maxRepeats  = 3
)

// balancer chooses an entry for each request, like the load balancer in front of the
// entries of a deployment.
type balancer struct {
	entries []*EntryServer

	mu   sync.Mutex
	down []bool
	// kills are the outages that began when an entry was killed.
	kills []outage
}

// outage is a time in which the process of an entry does not run. to is zero until
// the restart.
type outage struct {
	addr     string
	from, to time.Time
}

func newBalancer(entries []*EntryServer) *balancer {
	return &balancer{entries: entries, down: make([]bool, len(entries))}
}

// pick returns the entry with index i modulo the number of entries. If this entry is
// known to be down, it returns the next one that is not, if any.
func (b *balancer) pick(i int) *EntryServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.entries {
		if n := (i + k) % len(b.entries); !b.down[n] {
			return b.entries[n]
		}
	}
	return b.entries[i%len(b.entries)]
}

func (b *balancer) setDown(i int, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[i] = down
}

func (b *balancer) recordKill(addr string, from time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kills = append(b.kills, outage{addr: addr, from: from})
}

// recordRestart sets the end of the current outage of an entry.
func (b *balancer) recordRestart(addr string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.kills {
		if b.kills[i].addr == addr && b.kills[i].to.IsZero() {
			b.kills[i].to = at
		}
	}
}

// brokenByKill reports whether a request failed with an error and was in progress
// during an outage of its entry.
func (b *balancer) brokenByKill(addr string, a *workload.Answer) bool {
	if a.Err == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.kills {
		if k.addr == addr && a.End.After(k.from) && (k.to.IsZero() || a.Start.Before(k.to)) {
			return true
		}
	}
	return false
}

// restartEntry ends and restarts an entry. In between, the balancer treats the entry
// as down.
func (f *faultRun) restartEntry(ctx context.Context, i int, kind FaultKind, down time.Duration) error {
	e := f.c.Entries[i]
	undo := time.AfterFunc(balancerDetectionDelay, func() { f.balancer.setDown(i, true) })
	defer undo.Stop()
	var err error
	if kind == FaultEntryKill {
		f.balancer.recordKill(e.Addr(), time.Now())
		err = e.Kill()
	} else {
		err = e.Leave()
	}
	time.Sleep(max(down, balancerDetectionDelay+down))
	if err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	f.balancer.recordRestart(e.Addr(), time.Now())
	if err := e.waitReady(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	f.balancer.setDown(i, false)
	return nil
}

// send sends one request, repeats it at the next entry if necessary, and records all
// answers. turn is the index of the first entry, see balancer.pick.
func (f *faultRun) send(ctx context.Context, client *workload.Client, turn int, r *workload.Request, intended time.Time) {
	for n := 0; ; n++ {
		e := f.balancer.pick(turn + n)
		generation, _ := e.live()
		before := f.versionMonitor.version(e.settings.ID, generation)
		a := client.Send(context.WithoutCancel(ctx), e.Addr(), r, intended)
		if after, _ := e.live(); after == generation {
			f.versionMonitor.checkAnswer(e.settings.ID, before, a.BundleVersion)
		}
		broken := f.balancer.brokenByKill(e.Addr(), &a)
		f.record(workload.Sample{Request: *r, Answer: a, IntendedStart: intended, IsRepeat: n > 0}, broken)
		if n == maxRepeats || !f.shouldRepeat(r, &a, broken) {
			return
		}
		f.addTo(&f.repeated, 1)
		time.Sleep(repeatDelay)
		intended = time.Now()
	}
}

// shouldRepeat reports whether the caller repeats a request: it has an idempotency
// key, and the answer leaves open whether it ran.
func (f *faultRun) shouldRepeat(r *workload.Request, a *workload.Answer, broken bool) bool {
	return f.repeatKeyed && r.Key != "" && (broken || a.Outcome == ident.Unknown.String())
}

// record adds a sample. A request without an adapter version gets the version of its
// answer if this was current at the time. A connection that broke because its entry
// was killed is no violation, but the runs of the request are checked.
func (f *faultRun) record(s workload.Sample, broken bool) {
	if broken {
		f.addTo(&f.broken, 1)
		f.results.addRuns(s)
		return
	}
	f.bundleHistory.resolveVersion(&s)
	f.results.add(s)
}
