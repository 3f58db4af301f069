package workload_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// fewestLoads computes the minimum by brute force: it tries every eviction at every
// miss.
func fewestLoads(uses, residents []ident.Adapter, slots int) int {
	if len(uses) == 0 {
		return 0
	}
	if slices.Contains(residents, uses[0]) {
		return fewestLoads(uses[1:], residents, slots)
	}
	if len(residents) < slots {
		return 1 + fewestLoads(uses[1:], append(slices.Clone(residents), uses[0]), slots)
	}
	best := math.MaxInt
	for i := range residents {
		next := slices.Clone(residents)
		next[i] = uses[0]
		best = min(best, 1+fewestLoads(uses[1:], next, slots))
	}
	return best
}

// Guards against a lower bound that some order of evictions beats, or that no order
// reaches.
func TestLoadsNeededIsTheMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		name := func(i int) ident.Adapter { return ident.Adapter{Team: "t", Name: fmt.Sprint(i), Version: "1"} }
		var uses, residents []ident.Adapter
		var arrivals []workload.Arrival
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, 5), 0, 9).Draw(t, "uses") {
			uses = append(uses, name(i))
			arrivals = append(arrivals, workload.Arrival{Request: workload.Request{Adapter: name(i)}})
		}
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, slots, rapid.ID[int]).Draw(t, "residents") {
			residents = append(residents, name(i))
		}
		assert.Equal(t, workload.LoadsNeeded(arrivals, residents, slots), fewestLoads(uses, residents, slots))
	})
}
