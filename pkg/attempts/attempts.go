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
	// maxRecords limits the number of attempts in the ledger. At 5 attempts/s the
	// retention needs 1,500 records.
	maxRecords = 64 << 10
	// frameOverhead is the memory that a frame takes in addition to its payload, in
	// bytes.
	frameOverhead = 64
)

// State is the state of an attempt.
type State uint8

// States of attempts.
const (
	// Absent means that the ledger has no record of the attempt.
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
	// Evicted means that the ledger has no record of the attempt, but may have had one
	// and evicted it. Whether the attempt ran is not known, so it must not run now.
	Evicted
)

// record holds the state of one attempt and its stored answer.
type record struct {
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
	records int // maximum number of records
	bytes   int // maximum total size of stored answers
}

// Ledger records attempts with their states and, if requested, their answers. It is
// safe for concurrent use.
type Ledger struct {
	limits  limits
	mu      sync.Mutex
	records map[ident.AttemptID]*record
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
func New() *Ledger { return newLimited(limits{records: maxRecords, bytes: maxStoredBytes}) }

func newLimited(l limits) *Ledger {
	return &Ledger{limits: l, records: map[ident.AttemptID]*record{}}
}

// Register records a new attempt as queued and returns Absent. If the attempt is
// already recorded, it returns the recorded state; if the attempt may have been
// evicted, it returns Evicted. In both cases the attempt must not run. sent is the
// time on the endpoint's clock at which the attempt was addressed to it. The answer
// of the attempt is stored only if keepAnswer is true.
func (l *Ledger) Register(id ident.AttemptID, sent time.Time, keepAnswer bool) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[id]; r != nil {
		return r.state
	}
	if l.mayBeEvicted(sent) {
		return Evicted
	}
	l.records[id] = &record{state: Queued, keepAnswer: keepAnswer}
	l.evictExcess()
	return Absent
}

// mayBeEvicted reports whether an attempt without a record, sent at the given time,
// may have had one that was evicted.
func (l *Ledger) mayBeEvicted(sent time.Time) bool {
	return !l.evictionHorizon.IsZero() && !sent.After(l.evictionHorizon)
}

// Start changes the state of a queued attempt to running. It returns false if the
// attempt has been refused in the meantime or has no record.
func (l *Ledger) Start(id ident.AttemptID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	if r == nil || r.state == Refused {
		return false
	}
	if !invariant.Check(r.state == Queued, invariant.AtMostOneRun, "start of %v in state %d", id, r.state) {
		return false
	}
	r.state = Running
	return true
}

// Refuse records the attempt as refused unless it has started. If the attempt was
// never received, the new record serves as a tombstone. Refuse returns the state
// after the call: Refused proves that the attempt did not run and never will,
// Evicted proves nothing.
func (l *Ledger) Refuse(now time.Time, id ident.AttemptID, sent time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	if r == nil {
		if l.mayBeEvicted(sent) {
			return Evicted
		}
		r = &record{}
		l.records[id] = r
	}
	if r.state == Absent || r.state == Queued {
		r.state = Refused
		l.recordEnd(now, id)
	}
	return r.state
}

// MarkNotStarted changes the state of a running attempt to refused. It is called
// after the engine or service has stated that it did not start the attempt.
func (l *Ledger) MarkNotStarted(now time.Time, id ident.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[id]; r != nil && r.state == Running {
		r.state = Refused
		l.recordEnd(now, id)
	}
}

// Finish records the end of a running attempt: as done if ok is true, else as
// failed. The answer of a done attempt is stored if Register was called with
// keepAnswer and the answer is not larger than the limit for all answers.
func (l *Ledger) Finish(now time.Time, id ident.AttemptID, ok bool, answer []*fescuev1.RunFrame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	if r == nil || r.state != Running {
		return
	}
	r.state = Failed
	if ok {
		r.state = Done
		l.store(id, r, answer)
	}
	l.recordEnd(now, id)
}

// store stores an answer and drops the oldest ones while the limit is exceeded.
func (l *Ledger) store(id ident.AttemptID, r *record, answer []*fescuev1.RunFrame) {
	size := answerBytes(answer)
	if !r.keepAnswer || len(answer) == 0 || size > l.limits.bytes {
		return
	}
	r.answer, r.bytes = answer, size
	l.storedBytes += size
	l.answerOrder.push(id)
	for l.storedBytes > l.limits.bytes {
		l.dropAnswer(l.records[l.answerOrder.pop()])
	}
}

func (l *Ledger) dropAnswer(r *record) {
	if r == nil {
		return
	}
	l.storedBytes -= r.bytes
	r.answer, r.bytes = nil, 0
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
	for len(l.records) > l.limits.records && l.endOrder.len() > 0 {
		l.evictOldest()
	}
}

func (l *Ledger) evictOldest() {
	old := l.endOrder.pop()
	l.dropAnswer(l.records[old.id])
	delete(l.records, old.id)
	if old.at.After(l.evictionHorizon) {
		l.evictionHorizon = old.at
	}
}

// Lookup returns the state of an attempt and its stored answer. The answer is nil if
// none is stored.
func (l *Ledger) Lookup(id ident.AttemptID) (State, []*fescuev1.RunFrame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	if r == nil {
		return Absent, nil
	}
	return r.state, r.answer
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
	r := l.records[id]
	return r == nil || r.answer == nil
}

// Len returns the number of attempts in the ledger.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// StoredBytes returns the total size of the stored answers in bytes.
func (l *Ledger) StoredBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storedBytes
}
