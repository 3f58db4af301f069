package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/vmlist"
)

// subset returns the VMs that an entry connects to: all VMs of its own availability
// zone, and in each other zone the perZone VMs with the highest rendezvous hash for
// the entry. Zero perZone means all VMs. A full mesh of 330 entries and 2,800
// endpoints would exceed the budget of an entry for control traffic many times over.
func subset(entry ident.EntryID, own ident.AvailabilityZone, perZone int, vms []vmlist.VM) []vmlist.VM {
	if perZone <= 0 {
		return vms
	}
	var out []vmlist.VM
	remote := map[ident.AvailabilityZone][]vmlist.VM{}
	for _, vm := range vms {
		if vm.Zone == own {
			out = append(out, vm)
			continue
		}
		remote[vm.Zone] = append(remote[vm.Zone], vm)
	}
	for _, zone := range remote {
		out = append(out, highestHashes(entry, zone, perZone)...)
	}
	return out
}

func highestHashes(entry ident.EntryID, vms []vmlist.VM, n int) []vmlist.VM {
	slices.SortFunc(vms, func(a, b vmlist.VM) int {
		return cmp.Compare(pairHash(entry, b.Endpoint), pairHash(entry, a.Endpoint))
	})
	return vms[:min(n, len(vms))]
}

func pairHash(entry ident.EntryID, endpoint ident.EndpointID) uint64 {
	return xxhash.Sum64String(string(entry) + "\x00" + string(endpoint))
}
