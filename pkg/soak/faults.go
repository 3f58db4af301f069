package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/wait"
	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// action is a kind of fault or planned change. apply starts it and returns a function
// that ends it, or nil if it needs none.
type action struct {
	name  string
	apply func(tb *testbed, rng *rand.Rand) (undo func())
}

const (
	// oddItems is the number of items that another writer stores at once.
	oddItems = 8
	// maxFaultDuration bounds the duration of a fault that is ended by an undo function.
	maxFaultDuration = 4 * time.Second
	// stallLimit is the gap in a stream after which entries end it: four times the
	// target latency of the routes.
	stallLimit = 4 * routeTargetMS * time.Millisecond
	// seriesStep and seriesSteps are the interval and the number of the steps of a fault
	// that comes in a series, seriesDuration the time until the last one.
	seriesStep     = 600 * time.Millisecond
	seriesSteps    = 5
	seriesDuration = (seriesSteps - 1) * seriesStep
	// turnTime is how long most faults of entries hit the same half of the entries, and
	// anyEntryShare the fraction of the faults that hit any entry.
	turnTime      = 7 * time.Second
	anyEntryShare = 0.15
	// silentLinks is the number of links that a fault of several links silences.
	silentLinks = 3
)

// entryFaults are the faults of entries. They are injected beside the other faults,
// because only they break streams that callers then resume.
var entryFaults = []action{
	{"kill entry", func(tb *testbed, rng *rand.Rand) func() { tb.entryToHit(rng).signal(syscall.SIGKILL); return nil }},
	{"kill entries in a row", func(tb *testbed, rng *rand.Rand) func() { tb.signalInRow(rng, syscall.SIGKILL); return nil }},
	{"kill all entries during a release", func(tb *testbed, rng *rand.Rand) func() { tb.killAllDuringRelease(rng); return nil }},
	{"stop entry", func(tb *testbed, rng *rand.Rand) func() { tb.entryToHit(rng).signal(syscall.SIGTERM); return nil }},
	{"stop entries in a row", func(tb *testbed, rng *rand.Rand) func() { tb.signalInRow(rng, syscall.SIGTERM); return nil }},
	{"hang up entry", func(tb *testbed, rng *rand.Rand) func() { tb.entryToHit(rng).signal(syscall.SIGHUP); return nil }},
	{"freeze entry", func(tb *testbed, rng *rand.Rand) func() { return freeze(tb.entryToHit(rng).process) }},
	{"freeze entry beyond the stall limit", func(tb *testbed, rng *rand.Rand) func() {
		tb.freezeLong(rng)
		return nil
	}},
	// The machines of an entry and of a server stand still together: neither data of
	// the stream nor status reports wait for the entry when it goes on.
	{"freeze entry and links beyond the stall limit", func(tb *testbed, rng *rand.Rand) func() {
		tb.freezeLong(rng)
		for range silentLinks {
			tb.randomLink(rng).blackhole()
		}
		return nil
	}},
}

// changes are planned changes: releases, versions and configurations.
var changes = []action{
	{"release", func(tb *testbed, rng *rand.Rand) func() { tb.release(rng); return nil }},
	{"release", func(tb *testbed, rng *rand.Rand) func() { tb.release(rng); return nil }},
	{"weights version", func(tb *testbed, _ *rand.Rand) func() { tb.publishWeights(); return nil }},
	{"configuration", func(tb *testbed, _ *rand.Rand) func() { tb.writeConfig(); return nil }},
	{"key", func(tb *testbed, _ *rand.Rand) func() { tb.rotateKey(); return nil }},
	{"adapter version", func(tb *testbed, rng *rand.Rand) func() { tb.publishVersion(adapterName(rng)); return nil }},
	{"adapter versions in a row", func(tb *testbed, rng *rand.Rand) func() {
		adapter := adapterName(rng)
		tb.inRow(func(int) { tb.publishVersion(adapter) })
		return nil
	}},
}

// otherFaults are the faults of servers, sidecars, links and the store.
var otherFaults = []action{
	{"kill side", func(tb *testbed, rng *rand.Rand) func() {
		tb.randomModelServer(rng).sidecar.signal(syscall.SIGKILL)
		return nil
	}},
	{"stop side", func(tb *testbed, rng *rand.Rand) func() {
		tb.randomModelServer(rng).sidecar.signal(syscall.SIGTERM)
		return nil
	}},
	{"freeze side", func(tb *testbed, rng *rand.Rand) func() { return freeze(tb.randomModelServer(rng).sidecar) }},
	{"restart model server", func(tb *testbed, rng *rand.Rand) func() {
		tb.restartModelServer(tb.randomModelServer(rng).host)
		return nil
	}},
	{"restart plain server", func(tb *testbed, rng *rand.Rand) func() {
		tb.restartPlainServer(rng.IntN(len(tb.plainServers)))
		return nil
	}},
	{"model server cuts streams", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectModelServerFaults(rng, platform.ServerFaults{CutAfterEvents: 1 + rng.IntN(streamEvents)})
	}},
	{"model server sends no lengths", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectModelServerFaults(rng, platform.ServerFaults{Unframed: true})
	}},
	{"model server cuts streams without a length", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectModelServerFaults(rng, platform.ServerFaults{Unframed: true, CutAfterEvents: 1 + rng.IntN(streamEvents)})
	}},
	{"model server loses orders", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectModelServerFaults(rng, platform.ServerFaults{LoseOrders: true})
	}},
	{"server refuses", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectPlainServerFaults(rng, platform.ServerFaults{Refuse: true})
	}},
	{"server sends no lengths", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectPlainServerFaults(rng, platform.ServerFaults{Unframed: true})
	}},
	{"server asks for a backoff", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectPlainServerFaults(rng, platform.ServerFaults{Refuse: true, Backoff: randomBackoff(rng)})
	}},
	{"model server asks for a backoff", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectModelServerFaults(rng, platform.ServerFaults{Refuse: true, Backoff: randomBackoff(rng)})
	}},
	{"server loses answers", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectPlainServerFaults(rng, platform.ServerFaults{LoseAnswers: true})
	}},
	{"server fails", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectPlainServerFaults(rng, platform.ServerFaults{Error: true})
	}},
	{"store silent", func(tb *testbed, _ *rand.Rand) func() {
		return tb.injectStoreFaults(platform.StoreFaults{FailStatus: -1})
	}},
	{"store busy", func(tb *testbed, _ *rand.Rand) func() {
		return tb.injectStoreFaults(platform.StoreFaults{FailStatus: http.StatusServiceUnavailable})
	}},
	{"store deaf", func(tb *testbed, _ *rand.Rand) func() {
		return tb.injectStoreFaults(platform.StoreFaults{SuppressEvents: true})
	}},
	{"store forgets", func(tb *testbed, _ *rand.Rand) func() {
		return tb.injectStoreFaults(platform.StoreFaults{CompactedRevision: tb.store.Memory().Revision()})
	}},
	{"store returns to a copy", func(tb *testbed, _ *rand.Rand) func() {
		began := time.Now()
		early := tb.store.Memory().Copy()
		return func() {
			tb.restoreStore(early)
			tb.prolongDisturbances(began)
		}
	}},
	{"store connections cut", func(tb *testbed, _ *rand.Rand) func() { tb.storeRelay.CloseConnections(); return nil }},
	{"store connections silent", func(tb *testbed, _ *rand.Rand) func() { tb.storeRelay.Blackhole(); return nil }},
	{"store slow", func(tb *testbed, _ *rand.Rand) func() {
		tb.storeRelay.SetDelay(200 * time.Millisecond)
		return func() { tb.storeRelay.SetDelay(0) }
	}},
	{"link reset", func(tb *testbed, rng *rand.Rand) func() { tb.randomLink(rng).reset(); return nil }},
	{"link silent", func(tb *testbed, rng *rand.Rand) func() { tb.randomLink(rng).blackhole(); return nil }},
	{"link one way", func(tb *testbed, rng *rand.Rand) func() { tb.randomLink(rng).blackholeResponses(); return nil }},
	{"link slow", func(tb *testbed, rng *rand.Rand) func() { return tb.randomLink(rng).slow(150 * time.Millisecond) }},
	// Another writer stores items among those of the servers that name none.
	{"foreign entries", func(tb *testbed, rng *rand.Rand) func() {
		var keys []string
		for range oddItems {
			keys = append(keys, tb.store.PutOddServer(rng, modelService))
		}
		return func() {
			for _, key := range keys {
				tb.store.Remove(key)
			}
		}
	}},
}

func (tb *testbed) randomEntry(rng *rand.Rand) *entryProcess {
	return tb.entries[rng.IntN(len(tb.entries))]
}

// otherEntry returns a random entry that is not e, if there is one.
func (tb *testbed) otherEntry(rng *rand.Rand, e *entryProcess) *entryProcess {
	other := slices.DeleteFunc(slices.Clone(tb.entries), func(o *entryProcess) bool { return o == e })
	if len(other) == 0 {
		return e
	}
	return other[rng.IntN(len(other))]
}

func (tb *testbed) randomLink(rng *rand.Rand) link { return tb.links[rng.IntN(len(tb.links))] }

// freeze stops a process with SIGSTOP and returns a function that continues it.
func freeze(p *process) func() {
	end := p.begin()
	p.signal(syscall.SIGSTOP)
	return func() {
		p.signal(syscall.SIGCONT)
		end()
	}
}

// freezeLong freezes an entry for longer than the stall limit.
func (tb *testbed) freezeLong(rng *rand.Rand) {
	d := stallLimit + time.Duration(rng.Int64N(int64(maxFaultDuration-stallLimit)))
	tb.later(d, freeze(tb.entryToHit(rng).process))
}

// inRow calls f with 0, 1, 2 and so on, once each seriesStep.
func (tb *testbed) inRow(f func(i int)) {
	f(0)
	for i := 1; i < seriesSteps; i++ {
		tb.later(time.Duration(i)*seriesStep, func() { f(i) })
	}
}

// entryToHit returns the entry for the next fault. For turnTime, most faults hit the same
// half of the entries, so that the other half is undisturbed and streams can go on there.
func (tb *testbed) entryToHit(rng *rand.Rand) *entryProcess {
	half := len(tb.entries) / 2
	if half == 0 || rng.Float64() < anyEntryShare {
		return tb.randomEntry(rng)
	}
	turn := int(time.Since(tb.started) / turnTime)
	return tb.entries[(turn%2*half+rng.IntN(half))%len(tb.entries)]
}

// signalInRow sends a signal to one entry after the other, again and again.
func (tb *testbed) signalInRow(rng *rand.Rand, sig syscall.Signal) {
	var hit [seriesSteps]*entryProcess
	for i := range hit {
		hit[i] = tb.entryToHit(rng)
	}
	tb.inRow(func(i int) { hit[i].signal(sig) })
}

// killAllDuringRelease replaces a server and kills all entries at once, before the old server
// has left or after.
func (tb *testbed) killAllDuringRelease(rng *rand.Rand) {
	tb.release(rng)
	tb.later(time.Duration(rng.Int64N(int64(maxFaultDuration))), func() {
		for _, e := range tb.entries {
			e.signal(syscall.SIGKILL)
		}
	})
}

// injectModelServerFaults sets the faults of a random model server and returns a
// function that clears them.
func (tb *testbed) injectModelServerFaults(rng *rand.Rand, f platform.ServerFaults) func() {
	r := tb.randomModelServer(rng)
	end := r.host.begin()
	r.server.SetFaults(f)
	return func() {
		r.server.SetFaults(platform.ServerFaults{})
		end()
	}
}

// injectPlainServerFaults sets the faults of a random plain server and returns a
// function that clears them.
func (tb *testbed) injectPlainServerFaults(rng *rand.Rand, f platform.ServerFaults) func() {
	tb.mu.Lock()
	s := tb.plainServers[rng.IntN(len(tb.plainServers))]
	tb.mu.Unlock()
	s.SetFaults(f)
	return func() { s.SetFaults(platform.ServerFaults{}) }
}

// injectStoreFaults sets the faults of the store. The returned function clears them
// and closes the store's connections, which ends calls that hang.
func (tb *testbed) injectStoreFaults(f platform.StoreFaults) func() {
	began := time.Now()
	tb.store.SetFaults(f)
	return func() {
		tb.store.SetFaults(platform.StoreFaults{})
		tb.store.CloseConnections()
		tb.prolongDisturbances(began)
	}
}

// schedule is a list of actions that are drawn at random times, beside the other
// schedules.
type schedule struct {
	actions []action
	// meanInterval is the mean time between the starts of two actions.
	meanInterval time.Duration
}

var schedules = []schedule{
	{actions: otherFaults, meanInterval: 700 * time.Millisecond},
	{actions: entryFaults, meanInterval: 2500 * time.Millisecond},
	{actions: changes, meanInterval: 500 * time.Millisecond},
}

// injectAll runs all schedules for the duration d and returns the number of actions.
func (tb *testbed) injectAll(ctx context.Context, seed uint64, d time.Duration) int {
	counts := make([]int, len(schedules))
	var wg sync.WaitGroup
	for i, s := range schedules {
		wg.Go(func() { counts[i] = tb.inject(ctx, &s, rand.New(rand.NewPCG(seed, scheduleStream+uint64(i))), d) })
	}
	wg.Wait()
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// scheduleStream is the first random stream of the schedules. Lower ones belong to the
// callers.
const scheduleStream = 1 << 32

// printf writes to the output of the test. The schedules share it.
func (tb *testbed) printf(format string, args ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	fmt.Fprintf(tb.o.Out, format, args...)
}

// inject runs one schedule for the duration d and returns the number of its actions.
func (tb *testbed) inject(ctx context.Context, s *schedule, rng *rand.Rand, d time.Duration) int {
	end := time.Now().Add(d)
	n := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		a := s.actions[rng.IntN(len(s.actions))]
		tb.printf("%s %s\n", time.Now().Format(time.StampMilli), a.name)
		if undo := a.apply(tb, rng); undo != nil {
			tb.later(time.Duration(rng.Int64N(int64(maxFaultDuration))), undo)
		}
		n++
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(s.meanInterval)))
	}
	return n
}

// clearFaults ends all faults. It also closes the connections of the server relays,
// because keep-alive probes do not detect a blackholed connection on loopback.
func (tb *testbed) clearFaults() {
	time.Sleep(maxFaultDuration)
	for _, l := range tb.links {
		l.SetDelay(0)
		l.reset()
	}
	tb.storeRelay.SetDelay(0)
	tb.store.SetFaults(platform.StoreFaults{})
	for _, e := range tb.entries {
		e.signal(syscall.SIGCONT)
	}
	for _, r := range tb.runningServers() {
		r.sidecar.signal(syscall.SIGCONT)
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, s := range tb.allServers {
		s.SetFaults(platform.ServerFaults{})
	}
}

func adapterName(rng *rand.Rand) string {
	// Squaring makes adapters with low numbers much more frequent.
	f := rng.Float64()
	return fmt.Sprintf("a%d", 1+int(f*f*adapters))
}
