package permits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Guards against a team whose backlog, however old and large, delays the loads of
// another team by more than their weights allow, and against batch work that is
// never loaded.
func TestTeamsShareGrantsByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		c := New(Config{MaxConcurrent: 1, GrantTTL: time.Hour})
		teams := rapid.IntRange(2, 5).Draw(t, "teams")
		weights := map[ident.Team]int{}
		waiting := map[ident.Team]int{}
		// passed counts, for each pair of teams, the grants of the second team while
		// the first one waits, since the last grant of the first one.
		passed := map[[2]ident.Team]int{}
		var running Key
		granted := func(keys []Key) {
			for _, k := range keys {
				running = k
				team := k.Adapter.Team
				waiting[team]--
				for other := range weights {
					delete(passed, [2]ident.Team{team, other})
					if other == team || waiting[other] == 0 {
						continue
					}
					pair := [2]ident.Team{other, team}
					passed[pair]++
					if limit := weights[team]/weights[other] + 2; passed[pair] > limit {
						t.Fatalf("%s got %d grants while %s waited, weights %d and %d", team, passed[pair], other, weights[team], weights[other])
					}
				}
			}
		}
		for i := range teams {
			weights[ident.Team(fmt.Sprint(i))] = rapid.IntRange(1, 10).Draw(t, "weight")
		}
		n := 0
		ask := func(team ident.Team, class ident.Priority) Key {
			n++
			k := Key{Endpoint: "e", Adapter: ident.Adapter{Team: team, Name: fmt.Sprint(n), Version: "1"}}
			waiting[team]++
			waited := time.Duration(rapid.IntRange(0, 100).Draw(t, "waited")) * time.Second
			granted(c.Request(now, Request{Key: k, Waiting: 1, Weight: max(weights[team], 1), Priority: class, Waited: waited}))
			return k
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(250 * time.Millisecond)
			team := ident.Team(fmt.Sprint(rapid.IntRange(0, teams-1).Draw(t, "team")))
			for range rapid.IntRange(0, 8).Draw(t, "requests") {
				ask(team, rapid.SampledFrom([]ident.Priority{ident.PriorityNormal, ident.PriorityHigh}).Draw(t, "class"))
			}
			granted(c.Release(now, running))
		}
		began := now
		batch := ask("batch", ident.PriorityBatch)
		for running != batch && now.Sub(began) < time.Hour {
			now = now.Add(250 * time.Millisecond)
			granted(c.Release(now, running))
		}
		if running != batch {
			t.Fatal("batch work was not granted a load within one hour")
		}
	})
}
