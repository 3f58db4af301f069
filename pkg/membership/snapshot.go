package membership

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// indexShards is the number of shards of the adapter index that are copied
// independently. A change to one adapter copies one shard, which has about 100 items
// at 2,800 endpoints with 8 adapter slots each.
const indexShards = 256

// BackendKey identifies a group of interchangeable endpoints.
type BackendKey struct {
	Kind    fescuev1.EndpointKind
	Backend string
}

// Group lists the endpoints of one backend. Slots and Hashes have the same length
// and order. They change only when an endpoint joins or leaves the group.
type Group struct {
	// Slots are the indexes of the endpoints in a snapshot, to be passed to
	// Snapshot.At. They have nothing to do with adapter slots.
	Slots []int32
	// Hashes are the hashes of the endpoint ids, for rendezvous hashing.
	Hashes []uint64
	// ServiceTime is the mean service time of the backend. All snapshots share it.
	ServiceTime *MeanServiceTime
}

// Snapshot is the state of the directory at one moment. It is immutable.
type Snapshot struct {
	// Endpoints are ordered by endpoint id.
	Endpoints []*Endpoint
	// Entries is the highest number of connected entries that any endpoint reports,
	// and at least 1.
	Entries int
	// LoadWait is the estimated time until an adapter load that is requested now
	// completes, including the loads requested before it.
	LoadWait time.Duration
	// slots holds the endpoints, with nil for unused slots.
	slots  []*Endpoint
	groups map[BackendKey]*Group
	// holders maps each adapter to the slots of the endpoints that hold or load it.
	holders [indexShards]map[ident.Adapter][]int32
}

// At returns the endpoint in a slot, or nil if the slot is unused.
func (s *Snapshot) At(slot int32) *Endpoint { return s.slots[slot] }

// Group returns the endpoints of a backend, or nil if there are none.
func (s *Snapshot) Group(k BackendKey) *Group { return s.groups[k] }

// Holders returns the slots of the endpoints at which an adapter is resident or in
// Endpoint.Loading. hash must be AdapterHash(a).
func (s *Snapshot) Holders(a ident.Adapter, hash uint64) []int32 {
	return s.holders[hash%indexShards][a]
}

// Find returns an endpoint by its id, or false if it is not in the directory.
func (s *Snapshot) Find(id ident.EndpointID) (*Endpoint, bool) {
	i, ok := slices.BinarySearchFunc(s.Endpoints, id, func(e *Endpoint, id ident.EndpointID) int {
		return strings.Compare(string(e.ID), string(id))
	})
	if !ok {
		return nil, false
	}
	return s.Endpoints[i], true
}

// AdapterHash returns a hash of an adapter that is the same in all processes.
func AdapterHash(a ident.Adapter) uint64 {
	h := xxhash.Sum64String(string(a.Team))
	h = ident.MixHashes(h, xxhash.Sum64String(a.Name))
	return ident.MixHashes(h, xxhash.Sum64String(a.Version))
}

// EndpointHash returns a hash of an endpoint id that is the same in all processes.
func EndpointHash(id ident.EndpointID) uint64 { return xxhash.Sum64String(string(id)) }

// MeanServiceTime is a moving average of the time that requests run at a backend, as
// measured by this entry. It is safe for concurrent use.
type MeanServiceTime struct{ meanUS atomic.Int64 }

// serviceTimeShift gives a new sample a weight of 1/16.
const serviceTimeShift = 4

// Observe adds a sample to the average.
func (t *MeanServiceTime) Observe(d time.Duration) {
	old := t.meanUS.Load()
	next := old + (d.Microseconds()-old)>>serviceTimeShift
	if old == 0 {
		next = d.Microseconds()
	}
	t.meanUS.Store(next) // a concurrent call may overwrite this sample, which is harmless
}

// Mean returns the average, or 0 before the first sample.
func (t *MeanServiceTime) Mean() time.Duration {
	return time.Duration(t.meanUS.Load()) * time.Microsecond
}
