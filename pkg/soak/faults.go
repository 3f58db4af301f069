package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/wait"
	"github.com/fescuecourse/fescuecourse/standin/fault"
	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// faultAction is a kind of fault. apply injects it and returns a function that ends
// it, or nil if it needs none.
type faultAction struct {
	name  string
	apply func(tb *testbed, rng *rand.Rand) (undo func())
}

// maxFaultDuration bounds the duration of a fault that is ended by an undo function.
const maxFaultDuration = 3 * time.Second

var faultActions = []faultAction{
	{"kill entry", func(tb *testbed, rng *rand.Rand) func() { tb.randomEntry(rng).signal(syscall.SIGKILL); return nil }},
	{"stop entry", func(tb *testbed, rng *rand.Rand) func() { tb.randomEntry(rng).signal(syscall.SIGTERM); return nil }},
	{"hang up entry", func(tb *testbed, rng *rand.Rand) func() { tb.randomEntry(rng).signal(syscall.SIGHUP); return nil }},
	{"freeze entry", func(tb *testbed, rng *rand.Rand) func() { return freeze(tb.randomEntry(rng).process) }},
	{"kill side", func(tb *testbed, rng *rand.Rand) func() { tb.randomSidecar(rng).signal(syscall.SIGKILL); return nil }},
	{"stop side", func(tb *testbed, rng *rand.Rand) func() { tb.randomSidecar(rng).signal(syscall.SIGTERM); return nil }},
	{"freeze side", func(tb *testbed, rng *rand.Rand) func() { return freeze(tb.randomSidecar(rng)) }},
	{"restart model server", func(tb *testbed, rng *rand.Rand) func() {
		_ = tb.restartServer(tb.modelServers, rng.IntN(len(tb.modelServers))) // its address may still be in use
		return nil
	}},
	{"restart plain server", func(tb *testbed, rng *rand.Rand) func() {
		_ = tb.restartServer(tb.plainServers, rng.IntN(len(tb.plainServers))) // its address may still be in use
		return nil
	}},
	{"model server cuts streams", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectServerFaults(tb.modelServers, rng, platform.ServerFaults{CutAfterEvents: 1 + rng.IntN(streamEvents)})
	}},
	{"model server loses orders", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectServerFaults(tb.modelServers, rng, platform.ServerFaults{LoseOrders: true})
	}},
	{"server refuses", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectServerFaults(tb.plainServers, rng, platform.ServerFaults{Refuse: true})
	}},
	{"server loses answers", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectServerFaults(tb.plainServers, rng, platform.ServerFaults{LoseAnswers: true})
	}},
	{"server fails", func(tb *testbed, rng *rand.Rand) func() {
		return tb.injectServerFaults(tb.plainServers, rng, platform.ServerFaults{Error: true})
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
		early := tb.store.Memory().Copy()
		return func() { tb.restoreStore(early) }
	}},
	{"store connections cut", func(tb *testbed, _ *rand.Rand) func() { tb.storeRelay.CloseConnections(); return nil }},
	{"store connections silent", func(tb *testbed, _ *rand.Rand) func() { tb.storeRelay.Blackhole(); return nil }},
	{"store slow", func(tb *testbed, _ *rand.Rand) func() {
		tb.storeRelay.SetDelay(200 * time.Millisecond)
		return func() { tb.storeRelay.SetDelay(0) }
	}},
	{"link reset", func(tb *testbed, rng *rand.Rand) func() { tb.randomServerRelay(rng).CloseConnections(); return nil }},
	{"link silent", func(tb *testbed, rng *rand.Rand) func() { tb.randomServerRelay(rng).Blackhole(); return nil }},
	{"link one way", func(tb *testbed, rng *rand.Rand) func() { tb.randomServerRelay(rng).BlackholeResponses(); return nil }},
	{"link slow", func(tb *testbed, rng *rand.Rand) func() {
		l := tb.randomServerRelay(rng)
		l.SetDelay(150 * time.Millisecond)
		return func() { l.SetDelay(0) }
	}},
	{"configuration", func(tb *testbed, _ *rand.Rand) func() { tb.writeConfig(); return nil }},
	{"adapter version", func(tb *testbed, rng *rand.Rand) func() { tb.publishVersion(adapterName(rng)); return nil }},
	// Another writer stores a malformed server registration.
	{"foreign entry", func(tb *testbed, rng *rand.Rand) func() {
		key := tb.store.PutMalformedServer(rng.IntN(9))
		return func() { tb.store.Remove(key) }
	}},
}

func (tb *testbed) randomEntry(rng *rand.Rand) *entryProcess {
	return tb.entries[rng.IntN(len(tb.entries))]
}

func (tb *testbed) randomServerRelay(rng *rand.Rand) *fault.Relay {
	return tb.serverRelays[rng.IntN(len(tb.serverRelays))]
}

func (tb *testbed) randomSidecar(rng *rand.Rand) *process {
	return tb.sidecars[rng.IntN(len(tb.sidecars))]
}

// freeze stops a process with SIGSTOP and returns a function that continues it.
func freeze(p *process) func() {
	p.signal(syscall.SIGSTOP)
	return func() { p.signal(syscall.SIGCONT) }
}

// injectServerFaults sets the faults of a random server of the list and returns a
// function that clears them.
func (tb *testbed) injectServerFaults(list []*platform.Server, rng *rand.Rand, f platform.ServerFaults) func() {
	tb.mu.Lock()
	s := list[rng.IntN(len(list))]
	tb.mu.Unlock()
	s.SetFaults(f)
	return func() { s.SetFaults(platform.ServerFaults{}) }
}

// injectStoreFaults sets the faults of the store. The returned function clears them
// and closes the store's connections, which ends calls that hang.
func (tb *testbed) injectStoreFaults(f platform.StoreFaults) func() {
	tb.store.SetFaults(f)
	return func() {
		tb.store.SetFaults(platform.StoreFaults{})
		tb.store.CloseConnections()
	}
}

// inject injects random faults for the duration d and returns their number.
func (tb *testbed) inject(ctx context.Context, rng *rand.Rand, d time.Duration) int {
	end := time.Now().Add(d)
	n := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		a := faultActions[rng.IntN(len(faultActions))]
		fmt.Fprintf(tb.o.Out, "fault %d: %s\n", n, a.name)
		if undo := a.apply(tb, rng); undo != nil {
			time.AfterFunc(time.Duration(rng.Int64N(int64(maxFaultDuration))), undo)
		}
		n++
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(meanFaultInterval)))
	}
	return n
}

// clearFaults ends all faults. It also closes the connections of the server relays,
// because keep-alive probes do not detect a blackholed connection on loopback.
func (tb *testbed) clearFaults() {
	time.Sleep(maxFaultDuration)
	for _, l := range tb.serverRelays {
		l.SetDelay(0)
		l.CloseConnections()
	}
	tb.storeRelay.SetDelay(0)
	tb.store.SetFaults(platform.StoreFaults{})
	for _, e := range tb.entries {
		e.signal(syscall.SIGCONT)
	}
	for _, p := range tb.sidecars {
		p.signal(syscall.SIGCONT)
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
