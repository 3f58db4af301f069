// Package attempts records the attempts that an endpoint has received. It ensures
// that each attempt starts at most once and provides proof that an attempt did not
// run.
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
	// retention is how long an attempt is kept after its end.
	retention = 5 * time.Minute
	// MaxAttemptAge limits how old the endpoint clock reading that comes with an
	// attempt may be. It is far below retention, so that a delayed duplicate is
	// refused even if the attempt has been evicted.
	MaxAttemptAge = 30 * time.Second
	// maxStoredBytes limits the total size of the stored answers.
	maxStoredBytes = 8 << 20
	// maxEntries limits the number of attempts in the ledger. At 5 attempts/s the
	// retention needs 1,500 entries.
	maxEntries = 64 << 10
	// frameOverhead is the memory that a frame takes in addition to its payload, in
	// bytes.
	frameOverhead = 64
)

// State is the state of an attempt.
type State uint8

// States of attempts.
const (
	// Absent means that the ledger has no entry for the attempt.
	Absent State = iota
	Queued
	Running
	// Done means that the attempt completed with an answer, which may still be
	// stored.
	Done
	// Failed means that the attempt was started but its result is lost.
	Failed
	// Refused means that the attempt did not run and never will.
	Refused
	// Evicted means that the ledger has no entry for the attempt but may have had
	// one that it has evicted. Whether the attempt ran is not known, and it must not
	// run.
	Evicted
)

// entry is the ledger's record of one attempt.
type entry struct {
	state State
	// keepAnswer is true if the answer is to be stored when the attempt is done.
	keepAnswer bool
	answer     []*fescuev1.RunFrame
	// bytes is the size of the stored answer, including the overhead of its frames.
	bytes int
}

// endedAttempt is an attempt together with the time of its end.
type endedAttempt struct {
	id ident.AttemptID
	at time.Time
}

// limits restrict the memory of a ledger.
type limits struct {
	entries int // maximum number of attempts
	bytes   int // maximum total size of stored answers
}

// Ledger records attempts with their states and, if requested, their answers. It is
// safe for concurrent use.
type Ledger struct {
	limits  limits
	mu      sync.Mutex
	entries map[ident.AttemptID]*entry
	// endOrder and answerOrder list the ended attempts and those with a stored
	// answer, the earliest end first.
	endOrder    fifo[endedAttempt]
	answerOrder fifo[ident.AttemptID]
	// storedBytes is the total size of the stored answers.
	storedBytes int
	// evictionHorizon is the latest end of all evicted attempts. An attempt that was
	// sent at or before this time may have been evicted.
	evictionHorizon time.Time
}

// New returns an empty ledger.
func New() *Ledger { return newLimited(limits{entries: maxEntries, bytes: maxStoredBytes}) }

func newLimited(l limits) *Ledger {
	return &Ledger{limits: l, entries: map[ident.AttemptID]*entry{}}
}

// Register records a new attempt as queued and returns Absent. If the attempt is
// already recorded, it returns the recorded state; if the attempt may have been
// evicted, it returns Evicted. In both cases the attempt must not run. sent is the
// time on the endpoint's clock at which the attempt was addressed to it. The answer
// of the attempt is stored only if keep is true.
func (l *Ledger) Register(id ident.AttemptID, sent time.Time, keepAnswer bool) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		return e.state
	}
	if l.mayBeEvicted(sent) {
		return Evicted
	}
	l.entries[id] = &entry{state: Queued, keepAnswer: keepAnswer}
	l.evictExcess()
	return Absent
}

// mayBeEvicted reports whether an attempt without an entry, sent at the given time,
// may have had one that was evicted.
func (l *Ledger) mayBeEvicted(sent time.Time) bool {
	return !l.evictionHorizon.IsZero() && !sent.After(l.evictionHorizon)
}

// Start changes the state of a queued attempt to running. It returns false if the
// attempt has been refused in the meantime or has no entry.
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

// Refuse records the attempt as refused unless it has started. If the attempt was
// never received, the new entry serves as a tombstone. Refuse returns the state
// after the call: Refused proves that the attempt did not run and never will,
// Evicted proves nothing.
func (l *Ledger) Refuse(now time.Time, id ident.AttemptID, sent time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		if l.mayBeEvicted(sent) {
			return Evicted
		}
		e = &entry{}
		l.entries[id] = e
	}
	if e.state == Absent || e.state == Queued {
		e.state = Refused
		l.recordEnd(now, id)
	}
	return e.state
}

// MarkNotStarted changes the state of a running attempt to refused. It is called
// after the engine or service has stated that it did not start the attempt.
func (l *Ledger) MarkNotStarted(now time.Time, id ident.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil && e.state == Running {
		e.state = Refused
		l.recordEnd(now, id)
	}
}

// Finish records the end of a running attempt: as done if ok is true, else as
// failed. The answer of a done attempt is stored if Register was called with keep
// and if it is not larger than the limit for all answers.
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
	l.recordEnd(now, id)
}

// store stores an answer and drops the oldest ones while the limit is exceeded.
func (l *Ledger) store(id ident.AttemptID, e *entry, answer []*fescuev1.RunFrame) {
	size := answerBytes(answer)
	if !e.keepAnswer || len(answer) == 0 || size > l.limits.bytes {
		return
	}
	e.answer, e.bytes = answer, size
	l.storedBytes += size
	l.answerOrder.push(id)
	for l.storedBytes > l.limits.bytes {
		l.dropAnswer(l.entries[l.answerOrder.pop()])
	}
}

func (l *Ledger) dropAnswer(e *entry) {
	if e == nil {
		return
	}
	l.storedBytes -= e.bytes
	e.answer, e.bytes = nil, 0
}

func answerBytes(frames []*fescuev1.RunFrame) int {
	n := 0
	for _, f := range frames {
		n += len(f.GetData().GetPayload()) + frameOverhead
	}
	return n
}

// recordEnd records when an attempt ended. Its retention starts at this time.
func (l *Ledger) recordEnd(now time.Time, id ident.AttemptID) {
	l.endOrder.push(endedAttempt{id: id, at: now})
	l.evictExcess()
}

// evictExcess evicts the attempts that ended first while the ledger is over its
// limit. Attempts that have not ended are never evicted.
func (l *Ledger) evictExcess() {
	for len(l.entries) > l.limits.entries && l.endOrder.len() > 0 {
		l.evictOldest()
	}
}

func (l *Ledger) evictOldest() {
	old := l.endOrder.pop()
	l.dropAnswer(l.entries[old.id])
	delete(l.entries, old.id)
	if old.at.After(l.evictionHorizon) {
		l.evictionHorizon = old.at
	}
}

// Lookup returns the state of an attempt and its stored answer. The answer is nil if
// none is stored.
func (l *Ledger) Lookup(id ident.AttemptID) (State, []*fescuev1.RunFrame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		return Absent, nil
	}
	return e.state, e.answer
}

// Expire evicts the attempts that ended longer ago than the retention.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.endOrder.len() > 0 && now.Sub(l.endOrder.front().at) > retention {
		l.evictOldest()
	}
	for l.answerOrder.len() > 0 && l.answerDropped(l.answerOrder.front()) {
		l.answerOrder.pop()
	}
}

// answerDropped reports whether the answer of an attempt is no longer stored.
func (l *Ledger) answerDropped(id ident.AttemptID) bool {
	e := l.entries[id]
	return e == nil || e.answer == nil
}

// Len returns the number of attempts in the ledger.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// StoredBytes returns the total size of the stored answers in bytes.
func (l *Ledger) StoredBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storedBytes
}
