package residency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Guards against a load that comes too late for every request that waits for it while
// another one would still come in time, and against letting late requests wait in any
// other order than by age.
func TestOrderOfLoads(t *testing.T) {
	ms := func(values ...int) []time.Duration {
		var out []time.Duration
		for _, v := range values {
			out = append(out, time.Duration(v)*time.Millisecond)
		}
		return out
	}
	inTime := int(DefaultLoadTime/time.Millisecond) + 50
	for name, c := range map[string]struct{ first, second Demand }{
		"a request in time before late ones": {
			Demand{Waiting: 1, Slacks: ms(inTime)},
			Demand{Waiting: 3, Waited: 2 * time.Second, Slacks: ms(-100, -200, -300)},
		},
		"more requests in time first": {
			Demand{Waiting: 2, Slacks: ms(inTime+100, inTime)},
			Demand{Waiting: 1, Slacks: ms(inTime)},
		},
		"the shorter slack first": {
			Demand{Waiting: 2, Slacks: ms(inTime+200, inTime)},
			Demand{Waiting: 2, Slacks: ms(inTime+200, inTime+100)},
		},
		"a slack shorter than the load counts as late": {
			Demand{Waiting: 1, Slacks: ms(inTime)},
			Demand{Waiting: 1, Waited: time.Second, Slacks: ms(inTime - 100)},
		},
		"the oldest of the late ones first": {
			Demand{Waiting: 1, Waited: 2 * time.Second, Slacks: ms(-1500)},
			Demand{Waiting: 1, Waited: time.Second, Slacks: ms(-500)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, order := range [][2]int{{2, 3}, {3, 2}} {
				demand := map[fleet.AdapterKey]Demand{key(order[0]): c.first, key(order[1]): c.second}
				o, ok := New().Next(input(report(1), demand))
				assert.Assert(t, ok)
				assert.Equal(t, o.Key, key(order[0]))
			}
		})
	}
}
