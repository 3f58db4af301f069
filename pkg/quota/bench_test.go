package quota

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// BenchmarkLease measures one decision of a keeper.
func BenchmarkLease(b *testing.B) {
	for _, entries := range []int{22, 330} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			now := time.Unix(1000, 0)
			k := NewKeeper(now)
			d := Demand{Team: simTeam, Limit: limitOf(1e9), Needed: 1, Expected: 1, Lifetime: 8 * time.Second}
			names := make([]string, entries)
			for i := range names {
				names[i] = fmt.Sprintf("entry-%d", i)
			}
			for i := range b.N {
				d.Entry = names[i%entries]
				k.Lease(now.Add(time.Duration(i)*time.Microsecond), d)
			}
		})
	}
}

// BenchmarkSpend measures one decision of an entry with enough credit.
func BenchmarkSpend(b *testing.B) {
	now := time.Unix(1000, 0)
	k := NewKeeper(now)
	a := NewAccount("e", simTeam, simTolerance)
	a.SetLimit(limitOf(1e15), []string{"k"}, now)
	q, _ := a.Next(now, []float64{1e14}, nil)
	a.Granted(now, &q, k.Lease(now, q.Demand))
	b.ResetTimer()
	for range b.N {
		a.Spend(now, 1)
		a.Refill(now)
	}
}

// BenchmarkMessages reports the messages of a minute in which a team uses 1/1.8 of its rate, and
// their sizes as protobuf.
func BenchmarkMessages(b *testing.B) {
	for _, entries := range []int{22, 330} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for range b.N {
				s := newSimulation(entries, 41, limitOf(258_000), 2)
				s.run(time.Minute, 258_000/1.8)
				b.ReportMetric(float64(s.asks)/float64(len(s.admitted)), "messages/request")
				b.ReportMetric(float64(s.asks)/60/float64(entries), "messages/s/entry")
			}
			request := proto.Size(&fescuev1.LeaseCreditRequest{
				EntryId: "front-obihiro-a-1", Team: simTeam, RatePerSecond: 7e4, Burst: 9e4, ConfigVersion: 85,
				Needed: 9190, Expected: 11_000.5, Unspent: 1234.5, LifetimeMs: 8000, SettledMs: 30_000,
			})
			response := proto.Size(&fescuev1.LeaseCreditResponse{Granted: 20_190.5, SpentPerSecond: 5e4})
			b.ReportMetric(float64(request+response), "bytes/message")
		})
	}
}
