// Package fleet is a process's view of the endpoints, the routes and the adapter
// versions, as the platform's store and the endpoints themselves report them.
package fleet

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// ID names one endpoint.
type ID string

// State is what an endpoint says of itself.
type State uint8

// States of endpoints.
const (
	// Ready endpoints take new work.
	Ready State = iota + 1
	// Draining endpoints finish what they have and then leave.
	Draining
)

// String returns the name used in logs.
func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "ready"
}

// Endpoint is one server as described by its entry in the store.
type Endpoint struct {
	ID      ID
	Service string
	// Address is the host:port of the server.
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once.
	Slots int
	State State
	// Born tells the lifetimes of an endpoint apart that starts again under its id.
	Born int64
	// WarmupRemaining is how much longer the endpoint stays slow after its start.
	WarmupRemaining time.Duration
	// Runtime is shared by all snapshots of one lifetime.
	Runtime *Runtime
}

// PrefixCacheTTL is how long a prompt prefix is expected to stay in a server's cache.
// Each use renews it.
const PrefixCacheTTL = 20 * time.Second

// AdapterKey names an adapter of a base model without its version.
type AdapterKey struct {
	Model string
	// Name is empty for the base model itself.
	Name string
}

// Status is the state of a model server as reported by the process beside it.
type Status struct {
	// ReceivedAt is when this process received the report.
	ReceivedAt time.Time
	// Down means that the server does not answer the process beside it, or that its
	// lifetime has ended.
	Down bool
	// Draining means that the server says it is about to leave. Its entry in the
	// store may say so later, or not at all while the store is away.
	Draining bool
	// Models are the base models that the server holds.
	Models []string
	// Residents maps the adapters that the server holds to their versions.
	Residents map[AdapterKey]int
	// Free is the number of adapters that can be fetched without an eviction.
	Free int
	// Evictable is the number of resident adapters that no request uses.
	Evictable int
	// Coming maps the adapters on their way to the server to their versions.
	Coming map[AdapterKey]int
	// PendingLoads is the number of adapters that requests wait for and that are not yet
	// on their way.
	PendingLoads int
	// LoadTime is the average time of a load from the weight store, LoadLimit the
	// number of adapters that the server fetches at the same time.
	LoadTime  time.Duration
	LoadLimit int
	// InFlight and Queued are the requests at the server, from all entries.
	InFlight int
	Queued   int
	// Backlog are the prompt tokens sent to the server and not yet read, summed over
	// all entries.
	Backlog Backlog
	// CacheUsed and CacheTotal are tokens of KV cache.
	CacheUsed  int64
	CacheTotal int64
	// Entries is the number of entries that are connected to the process beside the
	// server, this one included.
	Entries int
}

// PriorityClasses is the number of classes into which the priorities of requests are
// grouped for counts. The last one holds all less urgent requests.
const PriorityClasses = 4

// PriorityClass returns the class of a priority; 0 is the most urgent.
func PriorityClass(priority int) int { return min(max(priority, 0), PriorityClasses-1) }

// Backlog are prompt tokens by class of priority.
type Backlog [PriorityClasses]int64

// Ahead returns the tokens that a server reads before those of a new request.
func (b Backlog) Ahead(priority int) int64 {
	sum := int64(0)
	for _, tokens := range b[:PriorityClass(priority)+1] {
		sum += tokens
	}
	return sum
}

// Runtime is what this process knows of one lifetime of an endpoint beyond its entry
// in the store. It is safe for concurrent use.
type Runtime struct {
	// InFlight is the number of requests from this process.
	InFlight atomic.Int64
	// Backlog are the prompt tokens that this process has sent and whose first
	// event has not arrived, by class of priority.
	Backlog [PriorityClasses]atomic.Int64
	// Waiting is the number of requests from this process that wait for a load.
	Waiting atomic.Int64

	status atomic.Pointer[Status]

	mu      sync.Mutex
	changed chan struct{}
	// warm holds when the server last had an adapter, by adapter and version.
	warm    map[warmKey]time.Time
	latency float64 // moving average, ms
	errors  decaying
	banned  time.Time
}

// NewRuntime returns the record of a new lifetime.
func NewRuntime() *Runtime {
	return &Runtime{changed: make(chan struct{}), warm: map[warmKey]time.Time{}}
}

// warmKey is one version of an adapter.
type warmKey struct {
	key     AdapterKey
	version int
}

// maxWarm is the number of adapters of which a server is expected to keep a copy
// in its memory. A load of these is about ten times as fast.
const maxWarm = 54

// HeldRecently reports whether the server held the adapter recently, in the given version
// or a later one.
func (l *Runtime) HeldRecently(k AdapterKey, version int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.warm[warmKey{key: k, version: max(version, 1)}]
	return ok
}

// remember notes what the server holds and forgets the oldest adapters beyond
// maxWarm. It is called with mu held.
func (l *Runtime) remember(s *Status) {
	for k, version := range s.Residents {
		l.warm[warmKey{key: k, version: version}] = s.ReceivedAt
	}
	for len(l.warm) > maxWarm {
		var oldest warmKey
		at := s.ReceivedAt
		for k, t := range l.warm {
			if t.Before(at) {
				oldest, at = k, t
			}
		}
		if at.Equal(s.ReceivedAt) {
			return
		}
		delete(l.warm, oldest)
	}
}

// OwnBacklog returns the tokens that this process has sent.
func (l *Runtime) OwnBacklog() Backlog {
	var b Backlog
	for i := range l.Backlog {
		b[i] = l.Backlog[i].Load()
	}
	return b
}

// Status returns the last report, or nil.
func (l *Runtime) Status() *Status { return l.status.Load() }

// SetStatus stores a report and wakes those who wait for one. Nil means that the
// process beside the server cannot be reached.
func (l *Runtime) SetStatus(s *Status) {
	l.status.Store(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	if s != nil {
		l.remember(s)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// AgeStatus makes the last report older, by time that the clocks did not count.
func (l *Runtime) AgeStatus(d time.Duration) {
	if st := l.status.Load(); st != nil {
		older := *st
		older.ReceivedAt = st.ReceivedAt.Add(-d)
		l.status.CompareAndSwap(st, &older)
	}
}

// Changed returns a channel that is closed with the next report.
func (l *Runtime) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

const (
	// latencyWeight is the weight of a new sample of the latency.
	latencyWeight = 0.1
	// errorHalfLife is how fast observed failures lose their weight. An endpoint
	// that failed is tried again with a small share of the work.
	errorHalfLife = 3 * time.Second
	// forgotten is the weight from which on failures no longer count. Without it an
	// endpoint that once failed would lose every tie.
	forgotten = 0.01
)

// decaying is a sum whose terms lose half of their weight every half-life.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) get(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	v := d.value * math.Exp2(-now.Sub(d.at).Seconds()/errorHalfLife.Seconds())
	if v < forgotten {
		return 0
	}
	return v
}

func (d *decaying) add(now time.Time, v float64) {
	d.value = d.get(now) + v
	d.at = now
}

// RecordSuccess records an answer and the time that it took.
func (l *Runtime) RecordSuccess(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := float64(took) / float64(time.Millisecond)
	if l.latency == 0 {
		l.latency = ms
		return
	}
	l.latency += latencyWeight * (ms - l.latency)
}

// RecordFailure records a failure of the endpoint: no connection, a broken answer or an
// error of its own.
func (l *Runtime) RecordFailure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors.add(now, 1)
}

// Latency returns the average time of an answer, or zero before the first one.
func (l *Runtime) Latency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.latency * float64(time.Millisecond))
}

// Failures returns the number of recent failures, older ones with less weight.
func (l *Runtime) Failures(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.errors.get(now)
}

// Ban keeps the endpoint from being chosen until a time.
func (l *Runtime) Ban(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.banned) {
		l.banned = until
	}
}

// Banned reports whether the endpoint must not be chosen now.
func (l *Runtime) Banned(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.banned)
}
