package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// Guards against a simulation that ignores the queue of the weight store or its order
// by priority, or in which arrivals during and after a load do not use the adapter
// that is loaded.
func TestSimulatePooledSlotsWithShortQueue(t *testing.T) {
	high := &workload.Team{Priority: ident.PriorityHigh, Dominant: true}
	normal := &workload.Team{Priority: ident.PriorityNormal}
	at := func(s float64, team *workload.Team, name string) workload.Arrival {
		return workload.Arrival{At: time.Duration(s * float64(time.Second)), Request: workload.Request{Team: team, Adapter: ident.Adapter{Name: name}}}
	}
	got := workload.SimulatePooledSlots([]workload.Arrival{
		at(0, normal, "a"),
		at(0.1, normal, "b"), // is loaded after c, which has a higher priority
		at(0.2, high, "c"),
		at(0.5, high, "a"), // waits for the load in progress
		at(9, high, "c"),   // finds the adapter resident
	}, nil, 3, time.Second)
	want := []workload.SimulatedStall{
		{Segment: workload.SegmentDominant, P50: 500, P95: 1800},
		{Segment: workload.SegmentTail, P50: 2900, P95: 2900},
	}
	assert.DeepEqual(t, got, want)
}
