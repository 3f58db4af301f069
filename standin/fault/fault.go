// Package fault injects faults into the fake external systems and into TCP
// connections. The faults occur with seeded probabilities or at scripted times.
package fault

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Kind is one kind of fault.
type Kind string

// Kinds of faults.
const (
	EngineRestart   Kind = "engine-restart"
	LoadFailed      Kind = "load-failed"
	LoadSlow        Kind = "load-slow"
	StreamCut       Kind = "stream-cut"
	WrongModel      Kind = "wrong-model"
	SlowStart       Kind = "slow-start"
	StatusLate      Kind = "status-late"
	AnswerLost      Kind = "service-answer-lost"
	ServiceSlow     Kind = "service-slow"
	StoreReadFailed Kind = "store-read-failed"
	StoreReadSlow   Kind = "store-read-slow"
)

// Rule defines when a fault occurs and how it behaves.
type Rule struct {
	// Probability is the chance of the fault at each opportunity, 0 to 1.
	Probability float64
	// At are times since the start of the injector. The first opportunity at or
	// after each of them gets the fault.
	At []time.Duration
	// Delay is the added latency of faults that slow an operation down.
	Delay time.Duration
	// AfterEvents is the number of server-sent events before a stream is cut.
	AfterEvents int
}

// Count is the number of injected faults of one kind.
type Count struct {
	Kind     Kind
	Injected int
}

// Injector decides at each opportunity whether a fault occurs. A nil injector
// injects no faults.
type Injector struct {
	now   func() time.Time
	start time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	paused   bool
	rules    map[Kind]Rule
	injected map[Kind]int
}

// New returns an injector without rules. seed determines the random faults, and now
// is the clock for scripted times.
func New(seed uint64, now func() time.Time) *Injector {
	return &Injector{
		now:      now,
		start:    now(),
		rng:      rand.New(rand.NewPCG(seed, 0)),
		rules:    map[Kind]Rule{},
		injected: map[Kind]int{},
	}
}

// Set replaces the rule of a kind of fault.
func (i *Injector) Set(k Kind, r Rule) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r.At = slices.Sorted(slices.Values(r.At))
	i.rules[k] = r
}

// Pause stops the injection of faults if paused is true, and resumes it otherwise.
func (i *Injector) Pause(paused bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.paused = paused
}

// ShouldInject reports whether the fault occurs at this opportunity, and returns its
// rule.
func (i *Injector) ShouldInject(k Kind) (Rule, bool) {
	if i == nil {
		return Rule{}, false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.rules[k]
	if !ok || i.paused || !i.due(k, r) {
		return r, false
	}
	i.injected[k]++
	return r, true
}

// due reports whether the fault occurs now. It consumes the next scripted time if that
// has been reached, and otherwise draws a random number.
func (i *Injector) due(k Kind, r Rule) bool {
	if len(r.At) > 0 && i.now().Sub(i.start) >= r.At[0] {
		r.At = r.At[1:]
		i.rules[k] = r
		return true
	}
	return r.Probability > 0 && i.rng.Float64() < r.Probability
}

// Counts returns the numbers of injected faults, ordered by kind.
func (i *Injector) Counts() []Count {
	if i == nil {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	out := make([]Count, 0, len(i.injected))
	for k, n := range i.injected {
		out = append(out, Count{Kind: k, Injected: n})
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}
