// Package attempts is the ledger of attempts at an endpoint. It makes each
// attempt start at most once and proves which attempts did not run.
package attempts

import (
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

// Limits of the ledger.
const (
	// retention is how long an attempt is remembered after its end.
	retention = 5 * time.Minute
	// MaxAttemptAge is the oldest endpoint clock that an attempt may echo. It is far
	// below retention, so that a delayed duplicate is refused even if the attempt is
	// forgotten.
	MaxAttemptAge = 30 * time.Second
	// maxStoredBytes bounds the stored answers of all attempts together.
	maxStoredBytes = 8 << 20
	// maxEntries bounds the remembered attempts. At 5 attempts/s the retention
	// needs 1,500.
	maxEntries = 64 << 10
	// frameBytes is the memory of a frame besides its payload.
	frameBytes = 64
)

// State is the state of an attempt.
type State uint8

// States of attempts.
const (
	// Absent means that the ledger holds nothing about the attempt.
	Absent State = iota
	Queued
	Running
	// Done means that the answer is complete. It may still be stored.
	Done
	// Failed means that the attempt was started and its result is lost.
	Failed
	// Refused means that the attempt did not run and never will.
	Refused
	// Evicted means that the attempt is older than what the ledger remembers.
	// Nothing is known about it, and it must not run.
	Evicted
)

// entry is one remembered attempt.
type entry struct {
	state State
	// keep is true if the answer is stored.
	keep   bool
	answer []*fescuev1.RunFrame
	// bytes is the size of the stored answer.
	bytes int
}

// ended is one ended attempt in the order of the ends.
type ended struct {
	id ident.AttemptID
	at time.Time
}

// limits bound the memory of a ledger.
type limits struct {
	entries int // remembered attempts
	bytes   int // stored answers
}

// Ledger remembers attempts. It is safe for concurrent use.
type Ledger struct {
	limits  limits
	mu      sync.Mutex
	entries map[ident.AttemptID]*entry
	// ends and answers are in the order of the ends.
	ends    fifo[ended]
	answers fifo[ident.AttemptID]
	// stored is the size of all stored answers in bytes.
	stored int
	// horizon is the latest end of a forgotten attempt. An attempt that was sent
	// before it may have been forgotten.
	horizon time.Time
}

// New returns an empty ledger.
func New() *Ledger { return newLimited(limits{entries: maxEntries, bytes: maxStoredBytes}) }

func newLimited(l limits) *Ledger {
	return &Ledger{limits: l, entries: map[ident.AttemptID]*entry{}}
}

// Register records a new attempt as queued. It returns the earlier state if the
// attempt is known, or Forgotten if it may have been; the attempt must not run
// then. sent is the endpoint's clock when the attempt was addressed to it. The
// answer of the attempt is stored only if keep is set.
func (l *Ledger) Register(id ident.AttemptID, sent time.Time, keep bool) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		return e.state
	}
	if l.forgotten(sent) {
		return Evicted
	}
	l.entries[id] = &entry{state: Queued, keep: keep}
	l.shrink()
	return Absent
}

// forgotten reports whether an attempt that is not in the ledger may have been in
// it earlier.
func (l *Ledger) forgotten(sent time.Time) bool {
	return !l.horizon.IsZero() && !sent.After(l.horizon)
}

// Start moves a queued attempt to running. It reports false if the attempt was
// refused in the meantime.
func (l *Ledger) Start(id ident.AttemptID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.state == Refused {
		return false
	}
	if !invariant.Check(e.state == Queued, invariant.AtMostOneRun, "start of %v in state %d", id, e.state) {
		return false
	}
	e.state = Running
	return true
}

// Refuse records a tombstone unless the attempt has started, also for an attempt
// never seen. It returns the state after the call: Refused proves that the attempt
// did not run and never will, Forgotten proves nothing.
func (l *Ledger) Refuse(now time.Time, id ident.AttemptID, sent time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		if l.forgotten(sent) {
			return Evicted
		}
		e = &entry{}
		l.entries[id] = e
	}
	if e.state == Absent || e.state == Queued {
		e.state = Refused
		l.end(now, id)
	}
	return e.state
}

// MarkNotStarted turns a running attempt into a refused one after the back end has
// stated that it did not start it.
func (l *Ledger) MarkNotStarted(now time.Time, id ident.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil && e.state == Running {
		e.state = Refused
		l.end(now, id)
	}
}

// Finish records the end of a running attempt. The answer is stored if the
// attempt asked for it and it fits.
func (l *Ledger) Finish(now time.Time, id ident.AttemptID, ok bool, answer []*fescuev1.RunFrame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.state != Running {
		return
	}
	e.state = Failed
	if ok {
		e.state = Done
		l.store(id, e, answer)
	}
	l.end(now, id)
}

// store keeps an answer and drops the oldest ones beyond the limit.
func (l *Ledger) store(id ident.AttemptID, e *entry, answer []*fescuev1.RunFrame) {
	size := answerBytes(answer)
	if !e.keep || len(answer) == 0 || size > l.limits.bytes {
		return
	}
	e.answer, e.bytes = answer, size
	l.stored += size
	l.answers.push(id)
	for l.stored > l.limits.bytes {
		l.dropAnswer(l.entries[l.answers.pop()])
	}
}

func (l *Ledger) dropAnswer(e *entry) {
	if e == nil {
		return
	}
	l.stored -= e.bytes
	e.answer, e.bytes = nil, 0
}

func answerBytes(frames []*fescuev1.RunFrame) int {
	n := 0
	for _, f := range frames {
		n += len(f.GetData().GetPayload()) + frameBytes
	}
	return n
}

// end records the end of an attempt, from which its retention counts.
func (l *Ledger) end(now time.Time, id ident.AttemptID) {
	l.ends.push(ended{id: id, at: now})
	l.shrink()
}

// shrink forgets the oldest ended attempts beyond the limit.
func (l *Ledger) shrink() {
	for len(l.entries) > l.limits.entries && l.ends.len() > 0 {
		l.forgetOldest()
	}
}

func (l *Ledger) forgetOldest() {
	old := l.ends.pop()
	l.dropAnswer(l.entries[old.id])
	delete(l.entries, old.id)
	if old.at.After(l.horizon) {
		l.horizon = old.at
	}
}

// Lookup returns the state of an attempt and its stored answer.
func (l *Ledger) Lookup(id ident.AttemptID) (State, []*fescuev1.RunFrame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		return Absent, nil
	}
	return e.state, e.answer
}

// Expire forgets attempts that ended more than the retention ago.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.ends.len() > 0 && now.Sub(l.ends.front().at) > retention {
		l.forgetOldest()
	}
	for l.answers.len() > 0 && l.stale(l.answers.front()) {
		l.answers.pop()
	}
}

// stale reports whether the answer of an attempt is no longer stored.
func (l *Ledger) stale(id ident.AttemptID) bool {
	e := l.entries[id]
	return e == nil || e.answer == nil
}

// Len returns the number of remembered attempts.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// StoredBytes returns the size of the stored answers in bytes.
func (l *Ledger) StoredBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stored
}
