// Package fleet holds what a process knows of the endpoints, the routes and the
// adapter versions, as read from the platform's key-value store and from the reports
// of the endpoints.
package fleet

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// ID identifies an endpoint.
type ID string

// State is the state that an endpoint announces in the key-value store.
type State uint8

// States of endpoints.
const (
	// Ready endpoints accept new requests.
	Ready State = iota + 1
	// Draining endpoints finish their running requests and then leave.
	Draining
)

// String returns the name of the state used in logs.
func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "ready"
}

// Endpoint describes a server, as read from its item in the key-value store.
type Endpoint struct {
	ID      ID
	Service string
	// Address is the host:port of the server.
	Address string
	Zone    string
	// SoftwareVersion is the version of the server's software, which is unrelated to the
	// versions of models and adapters. It is empty if the item names none.
	SoftwareVersion string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	State State
	// Born distinguishes the lifetimes of an endpoint that restarts under the same id.
	// Values are only compared for equality.
	Born int64
	// WarmupRemaining is how much longer the endpoint stays slow after its start.
	WarmupRemaining time.Duration
	// Runtime holds what else is known of the current lifetime. All snapshots share it.
	Runtime *Runtime
}

// PrefixCacheTTL is how long a prompt prefix is expected to stay in a server's cache
// after its last use.
const PrefixCacheTTL = 20 * time.Second

// AdapterKey identifies an adapter of a base model, regardless of its version.
type AdapterKey struct {
	Model string
	// Name is empty for the base model itself.
	Name string
}

// Status is the state of a model server as reported by its sidecar.
type Status struct {
	// ReceivedAt is when this process received the report.
	ReceivedAt time.Time
	// Down means that the server does not respond to its sidecar, or that its lifetime
	// has ended.
	Down bool
	// DownSince is when the first of the reports in a row arrived that say Down. SetStatus
	// sets it.
	DownSince time.Time
	// Draining means that the server itself reports that it is about to leave. Its item
	// in the key-value store may change later, or not at all while the store is
	// unavailable.
	Draining bool
	// Models maps each base model that the server has loaded to the version of its
	// weights, or to 0 if the version is not known.
	Models map[string]int
	// Residents maps each adapter that the server has loaded to its version.
	Residents map[AdapterKey]int
	// Free is the number of adapters that the server can load without an eviction.
	Free int
	// Evictable is the number of resident adapters that no request uses.
	Evictable int
	// Loading maps each adapter that the server is loading to its version.
	Loading map[AdapterKey]int
	// PendingLoads is the number of adapters that requests wait for and that the server
	// is not loading yet.
	PendingLoads int
	// LoadTime is the average duration of a load from the weight store. LoadLimit is the
	// number of adapters that the server loads concurrently.
	LoadTime  time.Duration
	LoadLimit int
	// InFlight and Queued are the numbers of running and queued requests at the server,
	// from all entries.
	InFlight int
	Queued   int
	// Backlog is the number of prompt tokens that all entries have sent to the server
	// and that it has not processed yet.
	Backlog Backlog
	// CacheUsed and CacheTotal are the used and the total size of the KV cache, in
	// tokens.
	CacheUsed  int64
	CacheTotal int64
	// WarmCopies is the number of adapters that the server is estimated to keep in main
	// memory, loaded ones included, or 0 if it is not known. Loading one of these is
	// about ten times as fast as from the weight store.
	WarmCopies int
	// Slowdown is the factor by which the server takes longer than usual for prompts, at
	// least 1, or 0 if it is not known.
	Slowdown float64
	// Entries is the number of entries that report to the sidecar.
	Entries int
	// Others is the work of all other entries at the server, or nil if the report does not
	// tell it from that of this process.
	Others *Work
}

// PriorityClasses is the number of classes into which request priorities are grouped
// for counting. The last class includes all less urgent priorities.
const PriorityClasses = 4

// PriorityClass returns the class of a request priority; 0 is the most urgent.
func PriorityClass(priority int) int { return min(max(priority, 0), PriorityClasses-1) }

// Backlog holds numbers of unprocessed prompt tokens by priority class.
type Backlog [PriorityClasses]int64

// Ahead returns the number of tokens that a server processes before those of a new
// request with the given priority.
func (b Backlog) Ahead(priority int) int64 {
	sum := int64(0)
	for _, tokens := range b[:PriorityClass(priority)+1] {
		sum += tokens
	}
	return sum
}

// Runtime holds what this process knows of one lifetime of an endpoint beyond its
// item in the key-value store. It is safe for concurrent use.
type Runtime struct {
	// InFlight is the number of running requests from this process.
	InFlight atomic.Int64
	// Backlog is the number of prompt tokens of requests that this process has sent and
	// whose first event has not arrived, by priority class.
	Backlog [PriorityClasses]atomic.Int64
	// Waiting is the number of requests from this process that wait for an adapter load.
	Waiting atomic.Int64

	status atomic.Pointer[Status]

	mu      sync.Mutex
	changed chan struct{}
	// waitingTokens holds the prompt tokens of waiting requests, by AdapterKey.Hash.
	waitingTokens map[uint64]Backlog
	// warm maps each adapter version of which the server is expected to keep a copy
	// in main memory to the time at which the server last had it loaded.
	warm     map[warmKey]time.Time
	latency  float64 // moving average, ms
	failures decayingSum
	banned   time.Time
	limit    limit
	backoff  backoff
	// leaving is true once the server has said in a response that it leaves. Nothing takes
	// it back.
	leaving bool
}

// NewRuntime returns an empty record for a new lifetime.
func NewRuntime() *Runtime {
	return &Runtime{changed: make(chan struct{}), warm: map[warmKey]time.Time{}, waitingTokens: map[uint64]Backlog{}}
}

// inherit takes over what the server has asked for in its responses. The record r must not be
// in use yet.
func (r *Runtime) inherit(from *Runtime) {
	from.mu.Lock()
	defer from.mu.Unlock()
	r.limit, r.backoff, r.leaving = from.limit, from.backoff, from.leaving
}

// RecordLeaving records that the server has said that it leaves. It reports whether that is
// news.
func (r *Runtime) RecordLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := !r.leaving
	r.leaving = true
	return news
}

// Leaving reports whether the server has said that it leaves.
func (r *Runtime) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// warmKey identifies one version of an adapter.
type warmKey struct {
	key     AdapterKey
	version int
}

// HeldRecently reports whether the server recently had the adapter loaded in exactly
// the given version. Version 0 stands for version 1.
func (r *Runtime) HeldRecently(k AdapterKey, version int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.warm[warmKey{key: k, version: max(version, 1)}]
	return ok
}

// recordResidents records the resident adapters of a report and removes the oldest
// records beyond the server's number of warm copies. The caller holds mu.
func (r *Runtime) recordResidents(s *Status) {
	for k, version := range s.Residents {
		r.warm[warmKey{key: k, version: version}] = s.ReceivedAt
	}
	for len(r.warm) > max(s.WarmCopies, len(s.Residents)) {
		var oldest warmKey
		at := s.ReceivedAt
		for k, t := range r.warm {
			if t.Before(at) {
				oldest, at = k, t
			}
		}
		if at.Equal(s.ReceivedAt) {
			return
		}
		delete(r.warm, oldest)
	}
}

// OwnBacklog returns the unprocessed prompt tokens that this process has sent.
func (r *Runtime) OwnBacklog() Backlog {
	var b Backlog
	for i := range r.Backlog {
		b[i] = r.Backlog[i].Load()
	}
	return b
}

// Status returns the last report, or nil if there is none.
func (r *Runtime) Status() *Status { return r.status.Load() }

// SetStatus stores a report and closes the channel returned by Changed. A nil report
// means that the sidecar cannot be reached.
func (r *Runtime) SetStatus(s *Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s != nil && s.Down {
		s.DownSince = s.ReceivedAt
		if previous := r.status.Load(); previous != nil && previous.Down {
			s.DownSince = previous.DownSince
		}
	}
	r.status.Store(s)
	if s != nil {
		r.recordResidents(s)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// AgeStatus makes the last report older by the given time, which is the length of a
// suspension of the VM that the clock did not count.
func (r *Runtime) AgeStatus(d time.Duration) {
	if st := r.status.Load(); st != nil {
		older := *st
		older.ReceivedAt = st.ReceivedAt.Add(-d)
		r.status.CompareAndSwap(st, &older)
	}
}

// Changed returns a channel that is closed when the next report arrives.
func (r *Runtime) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

const (
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.1
	// failureHalfLife is the time in which a recorded failure loses half of its weight.
	// Until it has decayed, the endpoint still gets a small share of the requests.
	failureHalfLife = 3 * time.Second
	// minFailureWeight is the weight below which failures no longer count. Without it,
	// an endpoint that failed once would lose every tie with another one.
	minFailureWeight = 0.01
)

// decayingSum is a sum whose terms lose half of their weight every failureHalfLife.
type decayingSum struct {
	value float64
	at    time.Time
}

func (d *decayingSum) get(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	v := d.value * math.Exp2(-now.Sub(d.at).Seconds()/failureHalfLife.Seconds())
	if v < minFailureWeight {
		return 0
	}
	return v
}

func (d *decayingSum) add(now time.Time, v float64) {
	d.value = d.get(now) + v
	d.at = now
}

// RecordSuccess records a response and the time that it took.
func (r *Runtime) RecordSuccess(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := float64(took) / float64(time.Millisecond)
	if r.latency == 0 {
		r.latency = ms
		return
	}
	r.latency += latencyWeight * (ms - r.latency)
}

// RecordFailure records a failure of the endpoint: a failed connection, an incomplete
// response or an error response.
func (r *Runtime) RecordFailure(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures.add(now, 1)
}

// Latency returns the moving average of the response time, or 0 before the first
// response.
func (r *Runtime) Latency() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency * float64(time.Millisecond))
}

// Failures returns the number of recent failures, with older ones counted at a lower
// weight.
func (r *Runtime) Failures(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures.get(now)
}

// Ban excludes the endpoint from selection until the given time. It never shortens an
// earlier ban.
func (r *Runtime) Ban(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.banned) {
		r.banned = until
	}
}
