package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

// Guards against endpoints without connections from entries of their own zone, more
// connections than configured, and a selection that changes when an unrelated VM
// joins or leaves, because each change closes connections.
func TestSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perZone := rapid.IntRange(1, 5).Draw(t, "per zone")
		var vms []vmlist.VM
		for i := range rapid.IntRange(1, 60).Draw(t, "vms") {
			zone := ident.AvailabilityZone(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"))
			vms = append(vms, vmlist.VM{Endpoint: ident.EndpointID(fmt.Sprint(i)), Zone: zone})
		}
		connected := subset("e", "a", perZone, vms)
		got := chosen(connected)
		for zone, n := range countZones(vms) {
			want := min(n, perZone)
			if zone == "a" {
				want = n
			}
			assert.Equal(t, countZones(connected)[zone], want)
		}
		// After the last VM leaves, at most one other VM may take its place.
		last := vms[len(vms)-1]
		kept := 0
		for id := range chosen(subset("e", "a", perZone, vms[:len(vms)-1])) {
			if _, ok := got[id]; ok {
				kept++
			}
		}
		_, wasChosen := got[last.Endpoint]
		lost := len(got) - kept
		assert.Assert(t, lost == 0 || wasChosen && lost == 1, "%d connections change", lost)
	})
}

func chosen(vms []vmlist.VM) map[ident.EndpointID]vmlist.VM {
	out := map[ident.EndpointID]vmlist.VM{}
	for _, vm := range vms {
		out[vm.Endpoint] = vm
	}
	return out
}

func countZones(vms []vmlist.VM) map[ident.AvailabilityZone]int {
	out := map[ident.AvailabilityZone]int{}
	for _, vm := range vms {
		out[vm.Zone]++
	}
	return out
}
