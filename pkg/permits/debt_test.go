package permits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Guards against a dominant team whose steady stream of loads keeps a request of
// the next class waiting behind all of them.
func TestBurstLosesItsHeadStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		c := New(Config{MaxConcurrent: 1, GrantTTL: testTTL})
		loadTime := time.Duration(rapid.IntRange(100, 500).Draw(t, "load time ms")) * time.Millisecond
		weight := rapid.IntRange(1, 8).Draw(t, "weight")
		n := 0
		ask := func(team ident.Team, class ident.Priority, weight int) Key {
			n++
			k := Key{Endpoint: "e", Adapter: ident.Adapter{Team: team, Name: fmt.Sprint(n), Version: "1"}}
			for _, g := range c.Request(now, Request{Key: k, Waiting: 1, Weight: weight, Priority: class}) {
				k = g
			}
			return k
		}
		running := ask("dominant", ident.PriorityHigh, weight)
		ask("dominant", ident.PriorityHigh, weight)
		step := func() (granted []Key) {
			now = now.Add(loadTime)
			ask("dominant", ident.PriorityHigh, weight)
			granted = c.Release(now, running)
			running = granted[0]
			return granted
		}
		for range 200 {
			step()
		}
		tail := ask("tail", ident.PriorityNormal, 1)
		began := now
		for running != tail && now.Sub(began) < time.Minute {
			step()
		}
		if waited := now.Sub(began); waited > 2*loadTime {
			t.Fatalf("waited %v with loads of %v", waited, loadTime)
		}
	})
}
