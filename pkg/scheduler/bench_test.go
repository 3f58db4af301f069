package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// benchWork returns attempt n, for one of 20 adapters of 4 teams.
func benchWork(n int, now time.Time) Work {
	team := ident.Team(fmt.Sprintf("team-%d", n%4))
	return Work{
		ID:       ident.AttemptID{Request: ident.RequestID(fmt.Sprint(n)), Attempt: 1},
		Team:     team,
		Adapter:  ident.Adapter{Team: team, Name: fmt.Sprint(n % 20), Version: "1"},
		Priority: ident.PriorityNormal,
		Weight:   1,
		Deadline: now.Add(time.Hour),
	}
}

// BenchmarkSubmit measures one Submit and one Revoke, including the scheduling that
// they cause, after the given number of attempts and one for each position were
// submitted.
func BenchmarkSubmit(b *testing.B) {
	for _, queued := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			now := time.Unix(0, 0)
			s := New(Config{Slots: 4, Positions: 8, MaxQueued: 1 << 20})
			s.SetAuthority(now, true)
			s.EngineRestarted(now, EngineState{RequestedAt: now, Residents: []ident.Adapter{benchWork(0, now).Adapter, benchWork(1, now).Adapter}})
			s.SetAdapterUse(now, AdaptersUsable)
			for i := range queued + 8 {
				s.Submit(now, benchWork(i, now))
			}
			w := benchWork(1<<20, now)
			b.ReportAllocs()
			for b.Loop() {
				s.Submit(now, w)
				s.Revoke(now, w.ID)
			}
		})
	}
}

// BenchmarkSubmitAdapters measures one Submit and one Revoke with 132 attempts
// submitted before, after requests for the given number of adapters.
func BenchmarkSubmitAdapters(b *testing.B) {
	for _, adapters := range []int{100, 1000, 10000, 98000} {
		b.Run(fmt.Sprint(adapters), func(b *testing.B) {
			now := time.Unix(0, 0)
			s := New(Config{Slots: 8, Positions: 32, MaxQueued: 1 << 20})
			s.SetAuthority(now, true)
			for i := range 132 {
				s.Submit(now, benchWork(i, now))
			}
			work := make([]Work, adapters)
			for i := range work {
				work[i] = benchWork(1<<20+i, now)
				work[i].Adapter.Name = fmt.Sprintf("adapter-%d", i)
				s.Submit(now, work[i])
				s.Revoke(now, work[i].ID)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				w := work[i%adapters]
				s.Submit(now, w)
				s.Revoke(now, w.ID)
				i += 7919
			}
		})
	}
}
