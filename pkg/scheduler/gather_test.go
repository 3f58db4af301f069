package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

// Guards against batch-class work that never starts at an idle engine, that waits
// longer than the gather time or a quarter of the time to its deadline, or that
// delays work of another class.
func TestBatchWorkIsGatheredForALimitedTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		a := ident.Adapter{Team: "t", Name: "a", Version: "1"}
		share := rapid.Float64Range(0.1, 1).Draw(t, "batch share")
		s := scheduler.New(scheduler.Config{Slots: 1, Positions: 8, MaxQueued: 64, StallWeight: 1 - share, BatchWeight: share})
		s.EngineRestarted(now, scheduler.EngineState{RequestedAt: now, Residents: []ident.Adapter{a}})
		s.SetAdapterUse(now, scheduler.AdaptersUsable)
		submitted := map[ident.AttemptID]time.Time{}
		deadline := time.Duration(rapid.IntRange(2, 60).Draw(t, "deadline")) * time.Second
		limit := min(time.Duration(share*float64(10*time.Second)), deadline/4)
		started := func(actions []scheduler.Action) {
			for _, act := range actions {
				if act.Kind == scheduler.Start {
					assert.Assert(t, now.Sub(submitted[act.ID]) <= limit+100*time.Millisecond, "waited %s", now.Sub(submitted[act.ID]))
					delete(submitted, act.ID)
				}
			}
		}
		submit := func(class ident.Priority, adapter ident.Adapter, n int) {
			id := ident.AttemptID{Request: ident.RequestID(fmt.Sprint(class, n))}
			submitted[id] = now
			started(s.Submit(now, scheduler.Work{ID: id, Team: "t", Adapter: adapter, Priority: class, Weight: 1, Deadline: now.Add(deadline)}))
		}
		for n := range rapid.IntRange(1, 3).Draw(t, "batch work") {
			submit(ident.PriorityBatch, a, n)
		}
		assert.Assert(t, len(submitted) > 0, "batch work started at once at an idle engine")
		other := rapid.Bool().Draw(t, "other work")
		if other {
			submit(ident.PriorityNormal, rapid.SampledFrom([]ident.Adapter{a, {}}).Draw(t, "adapter"), 0)
			assert.Equal(t, len(submitted), 0, "work of another class starts everything")
		}
		for range int(limit/(100*time.Millisecond)) + 2 {
			now = now.Add(100 * time.Millisecond)
			started(s.Tick(now))
		}
		assert.Equal(t, len(submitted), 0, "work is left at an idle engine")
	})
}
