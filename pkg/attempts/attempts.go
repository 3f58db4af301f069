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
	// Retention is how long an attempt is remembered after its end.
	Retention = 5 * time.Minute
	// MaxEchoAge is the oldest endpoint clock that an attempt may echo. It is far
	// below Retention, so a delayed duplicate is refused after it is forgotten.
	MaxEchoAge = 30 * time.Second
	// maxStoredBytes bounds the stored answers of all attempts together.
	maxStoredBytes = 8 << 20
)

// State is the state of an attempt.
type State uint8

// States of attempts.
const (
	// Absent means that the ledger holds nothing about the attempt.
	Absent State = iota
	Queued
	Running
	Done
	// Failed means that the attempt was started and its result is lost.
	Failed
	// Refused means that the attempt did not run and never will.
	Refused
)

type entry struct {
	state  State
	ended  time.Time
	answer []*fescuev1.RunFrame
	bytes  int
}

// Ledger remembers attempts. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries map[ident.AttemptID]*entry
	stored  int
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{entries: map[ident.AttemptID]*entry{}} }

// Begin records a new attempt as queued. It returns the earlier state if the
// attempt is known; the attempt must not run then.
func (l *Ledger) Begin(id ident.AttemptID) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		return e.state
	}
	l.entries[id] = &entry{state: Queued}
	return Absent
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
	invariant.Check(e.state == Queued, invariant.AtMostOneRun, "start of %v in state %d", id, e.state)
	if e.state != Queued {
		return false
	}
	e.state = Running
	return true
}

// Refuse records a tombstone unless the attempt has started. It returns the
// state after the call.
func (l *Ledger) Refuse(now time.Time, id ident.AttemptID) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		e = &entry{}
		l.entries[id] = e
	}
	if e.state == Absent || e.state == Queued {
		e.state = Refused
		e.ended = now
	}
	return e.state
}

// Finish records the end of a running attempt. The answer may be nil if it need
// not be kept.
func (l *Ledger) Finish(now time.Time, id ident.AttemptID, ok bool, answer []*fescuev1.RunFrame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		return
	}
	e.ended = now
	e.state = Failed
	if ok {
		e.state = Done
	}
	size := answerBytes(answer)
	if ok && l.stored+size <= maxStoredBytes {
		e.answer, e.bytes = answer, size
		l.stored += size
	}
}

func answerBytes(frames []*fescuev1.RunFrame) int {
	n := 0
	for _, f := range frames {
		n += len(f.GetData().GetPayload())
	}
	return n
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

// Expire forgets attempts that ended more than Retention ago.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.entries {
		if !e.ended.IsZero() && now.Sub(e.ended) > Retention {
			l.stored -= e.bytes
			delete(l.entries, id)
		}
	}
}

// Len returns the number of remembered attempts.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}
