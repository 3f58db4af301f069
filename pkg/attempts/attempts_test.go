package attempts

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
)

func TestMain(m *testing.M) {
	invariant.SetHandler(func(name invariant.Name, detail string) { panic(string(name) + ": " + detail) })
	os.Exit(m.Run())
}

// oracleRecord is the expected state of an attempt. The oracle never evicts
// attempts.
type oracleRecord struct {
	sent       time.Time
	ended      time.Time
	state      State
	runs       int
	keepAnswer bool
}

// model runs operations on a ledger and compares the results with the oracle, the
// expected records.
type model struct {
	limits   limits
	ledger   *Ledger
	now      time.Time
	expected map[ident.AttemptID]*oracleRecord
	ids      []ident.AttemptID
}

// draw returns a new attempt or one that was drawn before.
func (m *model) draw(t *rapid.T) (ident.AttemptID, *oracleRecord) {
	if len(m.ids) == 0 || rapid.IntRange(0, 2).Draw(t, "new") == 0 {
		id := ident.AttemptID{Request: ident.RequestID(fmt.Sprint(len(m.ids))), Attempt: 1}
		m.ids = append(m.ids, id)
		m.expected[id] = &oracleRecord{sent: m.now.Add(-time.Duration(rapid.IntRange(0, 30).Draw(t, "age")) * time.Second)}
	}
	id := m.ids[rapid.IntRange(0, len(m.ids)-1).Draw(t, "id")]
	return id, m.expected[id]
}

// checkState compares a state that the ledger returned with the oracle.
func (m *model) checkState(t *rapid.T, r *oracleRecord, got State) {
	if got == Evicted {
		if m.ledger.Len() < m.limits.records && r.state != Absent && m.now.Sub(r.ended) <= retention {
			t.Fatalf("attempt in state %d evicted %v after its end", r.state, m.now.Sub(r.ended))
		}
		return
	}
	if got != r.state {
		t.Fatalf("ledger returned state %d, oracle expects %d", got, r.state)
	}
}

func (m *model) begin(t *rapid.T) {
	id, r := m.draw(t)
	keepAnswer := rapid.Bool().Draw(t, "keep")
	got := m.ledger.Register(id, r.sent, keepAnswer)
	if got == Absent && r.state == Absent {
		r.state, r.keepAnswer = Queued, keepAnswer
		return
	}
	m.checkState(t, r, got)
}

func (m *model) start(t *rapid.T) {
	id, r := m.draw(t)
	if r.state != Queued && r.state != Refused {
		return
	}
	if m.ledger.Start(id) {
		r.runs++
		r.state = Running
	}
	if r.runs > 1 {
		t.Fatalf("attempt %v runs %d times", id, r.runs)
	}
}

func (m *model) refuse(t *rapid.T) {
	id, r := m.draw(t)
	got := m.ledger.Refuse(m.now, id, r.sent)
	if got == Refused && r.runs > 0 && r.state != Refused {
		t.Fatalf("attempt %v has run but is reported as refused", id)
	}
	if got == Refused && (r.state == Absent || r.state == Queued) {
		r.state, r.ended = Refused, m.now
	}
	m.checkState(t, r, got)
}

func (m *model) finish(t *rapid.T) {
	id, r := m.draw(t)
	if r.state != Running {
		return
	}
	ok, size := rapid.Bool().Draw(t, "ok"), rapid.IntRange(0, 200).Draw(t, "size")
	frame := &fescuev1.RunFrame{Body: &fescuev1.RunFrame_Data{Data: &fescuev1.Data{Payload: make([]byte, size)}}}
	m.ledger.Finish(m.now, id, ok, []*fescuev1.RunFrame{frame})
	r.state, r.ended = Failed, m.now
	if ok {
		r.state = Done
	}
	if _, answer := m.ledger.Lookup(id); len(answer) > 0 && (!ok || !r.keepAnswer) {
		t.Fatalf("stored an answer of an attempt that did not request it")
	}
}

func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "s")) * time.Second)
	m.ledger.Expire(m.now)
}

// check compares the size of the ledger with its limits.
func (m *model) check(t *rapid.T) {
	active := 0
	for _, r := range m.expected {
		if r.state == Queued || r.state == Running {
			active++
		}
	}
	if m.ledger.Len() > max(m.limits.records, active) || m.ledger.StoredBytes() > m.limits.bytes {
		t.Fatalf("%d records and %d bytes with limits %+v", m.ledger.Len(), m.ledger.StoredBytes(), m.limits)
	}
}

// Compares a ledger with an oracle under random operations. Guards against a second
// run of an attempt after a late or duplicate copy, a false proof that an attempt
// did not run, eviction before the end of the retention, and unbounded memory.
func TestLedgerAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := limits{records: rapid.IntRange(1, 30).Draw(t, "entries"), bytes: rapid.IntRange(0, 400).Draw(t, "bytes")}
		m := &model{limits: bounds, ledger: newLimited(bounds), now: time.Unix(1000, 0), expected: map[ident.AttemptID]*oracleRecord{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin":  m.begin,
			"start":  m.start,
			"refuse": m.refuse,
			"finish": m.finish,
			"time":   m.advanceTime,
			"":       m.check,
		})
	})
}
