package locality

import "time"

// Weights holds the parameters of the cost model.
type Weights struct {
	// TokensPerMS is the number of prompt tokens that a server processes per
	// millisecond.
	TokensPerMS float64
	// Load is the duration of a load from the weight store, used where the server
	// reports none. WarmLoad is the duration of a load from the copy in the
	// server's main memory.
	Load     time.Duration
	WarmLoad time.Duration
	// StorePenalty is added for a load from the weight store. The whole fleet shares the
	// store's bandwidth, so each load delays the loads for other requests.
	StorePenalty time.Duration
	// EvictionPenalty is added if the load requires an eviction: the evicted adapter
	// must be loaded again for a later request, and the server's cached prompts for it
	// are lost.
	EvictionPenalty time.Duration
	// ContentionPenalty is added if the load requires an eviction, divided by the number
	// of adapters that the server could still load. It directs loads to servers with few
	// adapters in use.
	ContentionPenalty time.Duration
	// QueuedLoadPenalty is added, at a server without room for another adapter, for each
	// load that waits there in excess of the room.
	QueuedLoadPenalty time.Duration
	// RankPenalty is multiplied by the rank of the server for the adapter and added. The
	// preferred server has rank 0. Where several entries share the servers, it only directs
	// loads: added to servers that have the adapter, it would be that much uneven load.
	RankPenalty time.Duration
	// FailurePenalty is added for each recent failure of the server.
	FailurePenalty time.Duration
	// LateReportPenalty is added for a server whose last status report is late: its VM
	// may be stalled or unreachable.
	LateReportPenalty time.Duration
	// RemoteZonePenalty is added for a server in another availability zone.
	RemoteZonePenalty time.Duration
	// OutdatedPenalty is added for a server whose version of the adapter is about to be
	// outdated while another server has a current one. Without new requests, the server
	// can replace it.
	OutdatedPenalty time.Duration
	// PrefixFetchTime is the time that a server takes to fetch cached parts of a prompt
	// from another server.
	PrefixFetchTime time.Duration
}

// DefaultWeights returns weights for engines that process a prompt of 9,000 tokens in
// 250 ms and load an adapter in about the same time.
func DefaultWeights() Weights {
	return Weights{
		TokensPerMS:       38,
		Load:              300 * time.Millisecond,
		StorePenalty:      300 * time.Millisecond,
		WarmLoad:          60 * time.Millisecond,
		EvictionPenalty:   120 * time.Millisecond,
		ContentionPenalty: 100 * time.Millisecond,
		QueuedLoadPenalty: 60 * time.Millisecond,
		RankPenalty:       40 * time.Millisecond,
		FailurePenalty:    250 * time.Millisecond,
		LateReportPenalty: 400 * time.Millisecond,
		RemoteZonePenalty: 15 * time.Millisecond,
		OutdatedPenalty:   150 * time.Millisecond,
		PrefixFetchTime:   20 * time.Millisecond,
	}
}

// Limits and fixed penalties of the cost model.
const (
	// chunkTokens is the number of prompt tokens that a server processes without
	// interruption.
	chunkTokens = 2048
	// maxRank is the highest rank, which limits the penalty for the rank.
	maxRank = 5
	// lateStatusAge is the age from which a status report is late. Reports arrive at
	// least every 500 ms, so a late one means that its sender has a problem.
	lateStatusAge = time.Second
	// staleStatusAge is the age of a status report above which the server is treated as
	// having no room for a load.
	staleStatusAge = 2 * time.Second
	// noRoomPenalty is the cost of a load at a server that has no room for another
	// adapter now.
	noRoomPenalty = 3 * time.Second
	// oldVersionPenalty is added for a server that has an older version of the adapter
	// loaded: it cannot replace that version before the requests that use it have ended.
	oldVersionPenalty = time.Second
	// limitedLoadPenalty is added for a load at a server that names a limit: it takes only a
	// few of the requests for the adapter.
	limitedLoadPenalty = 2 * time.Second
	// overCapacityPenalty is added for each request at a server beyond its number of
	// slots.
	overCapacityPenalty = 30 * time.Millisecond
)
