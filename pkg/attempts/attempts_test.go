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

// record is what the oracle knows about an attempt. It never forgets.
type record struct {
	sent  time.Time
	ended time.Time
	state State
	runs  int
	keep  bool
}

// Guards against a second run of an attempt by late or duplicate copies, against
// a false proof that an attempt did not run, against attempts forgotten too early
// and against unbounded memory.
func TestLedgerAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := limits{entries: rapid.IntRange(1, 30).Draw(t, "entries"), bytes: rapid.IntRange(0, 400).Draw(t, "bytes")}
		l := newLimited(bounds)
		now := time.Unix(1000, 0)
		all := map[ident.AttemptID]*record{}
		var ids []ident.AttemptID
		draw := func(t *rapid.T) (ident.AttemptID, *record) {
			if len(ids) == 0 || rapid.IntRange(0, 2).Draw(t, "new") == 0 {
				id := ident.AttemptID{Request: ident.RequestID(fmt.Sprint(len(ids))), Attempt: 1}
				ids = append(ids, id)
				all[id] = &record{sent: now.Add(-time.Duration(rapid.IntRange(0, 30).Draw(t, "age")) * time.Second)}
			}
			id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "id")]
			return id, all[id]
		}
		// agree checks the state that the ledger returned against the oracle.
		agree := func(t *rapid.T, r *record, got State) {
			if got == Forgotten {
				if l.Len() < bounds.entries && r.state != Absent && now.Sub(r.ended) <= retention {
					t.Fatalf("attempt in state %d forgotten %v after its end", r.state, now.Sub(r.ended))
				}
				return
			}
			if got != r.state {
				t.Fatalf("ledger says %d, oracle %d", got, r.state)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id, r := draw(t)
				keep := rapid.Bool().Draw(t, "keep")
				got := l.Begin(id, r.sent, keep)
				if got == Absent && r.state == Absent {
					r.state, r.keep = Queued, keep
					return
				}
				agree(t, r, got)
			},
			"start": func(t *rapid.T) {
				id, r := draw(t)
				if r.state != Queued && r.state != Refused {
					return
				}
				if l.Start(id) {
					r.runs++
					r.state = Running
				}
				if r.runs > 1 {
					t.Fatalf("attempt %v runs %d times", id, r.runs)
				}
			},
			"refuse": func(t *rapid.T) {
				id, r := draw(t)
				got := l.Refuse(now, id, r.sent)
				if got == Refused && r.runs > 0 && r.state != Refused {
					t.Fatalf("attempt %v has run and is said not to have", id)
				}
				if got == Refused && (r.state == Absent || r.state == Queued) {
					r.state, r.ended = Refused, now
				}
				agree(t, r, got)
			},
			"finish": func(t *rapid.T) {
				id, r := draw(t)
				if r.state != Running {
					return
				}
				ok, size := rapid.Bool().Draw(t, "ok"), rapid.IntRange(0, 200).Draw(t, "size")
				frame := &fescuev1.RunFrame{Body: &fescuev1.RunFrame_Data{Data: &fescuev1.Data{Payload: make([]byte, size)}}}
				l.Finish(now, id, ok, []*fescuev1.RunFrame{frame})
				r.state, r.ended = Failed, now
				if ok {
					r.state = Done
				}
				if _, answer := l.Lookup(id); len(answer) > 0 && (!ok || !r.keep) {
					t.Fatalf("kept an answer that nobody may ask for")
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "s")) * time.Second)
				l.Expire(now)
			},
			"": func(t *rapid.T) {
				active := 0
				for _, r := range all {
					if r.state == Queued || r.state == Running {
						active++
					}
				}
				if l.Len() > max(bounds.entries, active) || l.StoredBytes() > bounds.bytes {
					t.Fatalf("%d entries and %d bytes with limits %+v", l.Len(), l.StoredBytes(), bounds)
				}
			},
		})
	})
}
