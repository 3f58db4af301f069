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

// action injects one fault and returns how to end it, or nil.
type action struct {
	name string
	do   func(w *world, rng *rand.Rand) (undo func())
}

// longestFault bounds a fault that has to be ended.
const longestFault = 3 * time.Second

var actions = []action{
	{"kill entry", func(w *world, rng *rand.Rand) func() { w.entry(rng).signal(syscall.SIGKILL); return nil }},
	{"stop entry", func(w *world, rng *rand.Rand) func() { w.entry(rng).signal(syscall.SIGTERM); return nil }},
	{"hang up entry", func(w *world, rng *rand.Rand) func() { w.entry(rng).signal(syscall.SIGHUP); return nil }},
	{"freeze entry", func(w *world, rng *rand.Rand) func() { return freeze(w.entry(rng).process) }},
	{"kill side", func(w *world, rng *rand.Rand) func() { w.sideProcess(rng).signal(syscall.SIGKILL); return nil }},
	{"stop side", func(w *world, rng *rand.Rand) func() { w.sideProcess(rng).signal(syscall.SIGTERM); return nil }},
	{"freeze side", func(w *world, rng *rand.Rand) func() { return freeze(w.sideProcess(rng)) }},
	{"restart model server", func(w *world, rng *rand.Rand) func() {
		_ = w.restartServer(w.models, rng.IntN(len(w.models))) // its address may still be in use
		return nil
	}},
	{"restart plain server", func(w *world, rng *rand.Rand) func() {
		_ = w.restartServer(w.plain, rng.IntN(len(w.plain))) // its address may still be in use
		return nil
	}},
	{"model server cuts streams", func(w *world, rng *rand.Rand) func() {
		return w.sick(w.models, rng, platform.ServerFaults{CutAfterEvents: 1 + rng.IntN(streamSize)})
	}},
	{"model server loses orders", func(w *world, rng *rand.Rand) func() {
		return w.sick(w.models, rng, platform.ServerFaults{LoseOrders: true})
	}},
	{"server refuses", func(w *world, rng *rand.Rand) func() {
		return w.sick(w.plain, rng, platform.ServerFaults{Refuse: true})
	}},
	{"server loses answers", func(w *world, rng *rand.Rand) func() {
		return w.sick(w.plain, rng, platform.ServerFaults{LoseAnswers: true})
	}},
	{"server fails", func(w *world, rng *rand.Rand) func() {
		return w.sick(w.plain, rng, platform.ServerFaults{Error: true})
	}},
	{"store silent", func(w *world, _ *rand.Rand) func() { return w.shake(platform.StoreFaults{FailStatus: -1}) }},
	{"store busy", func(w *world, _ *rand.Rand) func() {
		return w.shake(platform.StoreFaults{FailStatus: http.StatusServiceUnavailable})
	}},
	{"store deaf", func(w *world, _ *rand.Rand) func() { return w.shake(platform.StoreFaults{SuppressEvents: true}) }},
	{"store forgets", func(w *world, _ *rand.Rand) func() {
		return w.shake(platform.StoreFaults{CompactedRevision: w.store.Memory().Revision()})
	}},
	{"store connections cut", func(w *world, _ *rand.Rand) func() { w.relay.CloseConnections(); return nil }},
	{"store connections silent", func(w *world, _ *rand.Rand) func() { w.relay.Blackhole(); return nil }},
	{"store slow", func(w *world, _ *rand.Rand) func() {
		w.relay.SetDelay(200 * time.Millisecond)
		return func() { w.relay.SetDelay(0) }
	}},
	{"link reset", func(w *world, rng *rand.Rand) func() { w.anyLink(rng).CloseConnections(); return nil }},
	{"link silent", func(w *world, rng *rand.Rand) func() { w.anyLink(rng).Blackhole(); return nil }},
	{"link one way", func(w *world, rng *rand.Rand) func() { w.anyLink(rng).BlackholeResponses(); return nil }},
	{"link slow", func(w *world, rng *rand.Rand) func() {
		l := w.anyLink(rng)
		l.SetDelay(150 * time.Millisecond)
		return func() { l.SetDelay(0) }
	}},
	{"configuration", func(w *world, _ *rand.Rand) func() { w.writeConfig(); return nil }},
	{"adapter version", func(w *world, rng *rand.Rand) func() { w.nameVersion(adapterName(rng)); return nil }},
	{"foreign entry", func(w *world, rng *rand.Rand) func() {
		key := w.store.PutMalformedServer(rng.IntN(9))
		return func() { w.store.Remove(key) }
	}},
}

func (w *world) entry(rng *rand.Rand) *entryProcess { return w.entries[rng.IntN(len(w.entries))] }

func (w *world) anyLink(rng *rand.Rand) *fault.Relay { return w.links[rng.IntN(len(w.links))] }

func (w *world) sideProcess(rng *rand.Rand) *process { return w.side[rng.IntN(len(w.side))] }

func freeze(p *process) func() {
	p.signal(syscall.SIGSTOP)
	return func() { p.signal(syscall.SIGCONT) }
}

func (w *world) sick(list []*platform.Server, rng *rand.Rand, f platform.ServerFaults) func() {
	w.mu.Lock()
	s := list[rng.IntN(len(list))]
	w.mu.Unlock()
	s.SetFaults(f)
	return func() { s.SetFaults(platform.ServerFaults{}) }
}

func (w *world) shake(f platform.StoreFaults) func() {
	w.store.SetFaults(f)
	return func() {
		w.store.SetFaults(platform.StoreFaults{})
		w.store.CloseConnections()
	}
}

// inject plays faults until the time is up and returns their number.
func (w *world) inject(ctx context.Context, rng *rand.Rand, d time.Duration) int {
	end := time.Now().Add(d)
	n := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		a := actions[rng.IntN(len(actions))]
		fmt.Fprintf(w.o.Out, "fault %d: %s\n", n, a.name)
		if undo := a.do(w, rng); undo != nil {
			time.AfterFunc(time.Duration(rng.Int64N(int64(longestFault))), undo)
		}
		n++
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(faultGap)))
	}
	return n
}

// heal ends all faults. Links are cut once more: no keep-alive probe finds a silent
// connection on loopback.
func (w *world) heal() {
	time.Sleep(longestFault)
	for _, l := range w.links {
		l.SetDelay(0)
		l.CloseConnections()
	}
	w.relay.SetDelay(0)
	w.store.SetFaults(platform.StoreFaults{})
	for _, e := range w.entries {
		e.signal(syscall.SIGCONT)
	}
	for _, p := range w.side {
		p.signal(syscall.SIGCONT)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.all {
		s.SetFaults(platform.ServerFaults{})
	}
}

func adapterName(rng *rand.Rand) string {
	// The square makes low numbers much more frequent.
	f := rng.Float64()
	return fmt.Sprintf("a%d", 1+int(f*f*adapters))
}
