package origin

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

const (
	// maxHolders is the largest number of sidecars that keep the record of a stream.
	maxHolders = 3
	// maxCandidates is the largest number of sidecars that may have the record of a stream.
	maxCandidates = 2 * maxHolders
)

// Holders chooses the servers whose sidecars keep the record of a stream, by rendezvous
// hashing: entries with the same list agree, and a server that joins or leaves changes
// few choices. The hash is that of the host of the server's address, because the sidecar
// belongs to the machine and keeps its records when a server restarts there under a new
// id. The state of the servers does not count, because entries see it differently. It is
// immutable.
type Holders struct {
	servers []hashedServer
	zones   int
	// hosts is the sum of the hashes of the hosts, which does not depend on their order.
	hosts uint64
}

// hashedServer is a server with the hash of its host and the index of its zone.
type hashedServer struct {
	server *fleet.Endpoint
	hash   uint64
	zone   int
}

// NewHolders returns the choice among the given servers.
func NewHolders(servers []*fleet.Endpoint) *Holders {
	h := &Holders{}
	zones := map[string]int{}
	for name, e := range byHost(servers) {
		if _, ok := zones[e.Zone]; !ok {
			zones[e.Zone] = len(zones)
		}
		h.hosts += ident.MixHashes(xxhash.Sum64String(name), uint64(len(name)))
		h.servers = append(h.servers, hashedServer{server: e, hash: xxhash.Sum64String(name), zone: zones[e.Zone]})
	}
	h.zones = len(zones)
	return h
}

// SameHosts reports whether two choices are among the same hosts.
func (h *Holders) SameHosts(other *Holders) bool {
	return len(h.servers) == len(other.servers) && h.hosts == other.hosts
}

// byHost returns one server of each host, that with the lowest id. A server that restarts
// under a new id is listed twice until its old item expires, and both share a sidecar.
func byHost(servers []*fleet.Endpoint) map[string]*fleet.Endpoint {
	out := make(map[string]*fleet.Endpoint, len(servers))
	for _, e := range servers {
		name := HostOf(e)
		if other := out[name]; other == nil || e.ID < other.ID {
			out[name] = e
		}
	}
	return out
}

// HostOf returns the host of the address of a server, or the whole address if it names no
// port.
func HostOf(e *fleet.Endpoint) string {
	host, _, err := net.SplitHostPort(e.Address)
	if err != nil {
		return e.Address
	}
	return host
}

// scored is a server with its rendezvous score for one stream.
type scored struct {
	server *fleet.Endpoint
	score  uint64
}

func (a scored) compare(b scored) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return strings.Compare(string(a.server.ID), string(b.server.ID))
}

// Of returns the holders of a stream, at most maxHolders. Each is in another
// availability zone while there are enough zones.
func (h *Holders) Of(s StreamID) []*fleet.Endpoint {
	return truncate(h.Candidates(s), maxHolders)
}

// Candidates returns the servers whose sidecars may have the record of a stream, at most
// maxCandidates: its holders, and those that come next in the choice. The latter were
// holders before other servers joined.
func (h *Holders) Candidates(s StreamID) []*fleet.Endpoint {
	best := make([]scored, h.zones) // by zone
	var others []scored             // the best of the other servers
	for i := range h.servers {
		c := scored{server: h.servers[i].server, score: ident.MixHashes(uint64(s), h.servers[i].hash)}
		first := &best[h.servers[i].zone]
		if first.server == nil {
			*first = c
			continue
		}
		if c.compare(*first) < 0 {
			*first, c = c, *first
		}
		others = insert(others, c)
	}
	slices.SortFunc(best, scored.compare)
	holders := truncate(best, maxHolders)
	next := append(others, best[len(holders):]...)
	slices.SortFunc(next, scored.compare)
	out := make([]*fleet.Endpoint, 0, maxCandidates)
	for _, c := range truncate(slices.Concat(holders, next), maxCandidates) {
		out = append(out, c.server)
	}
	return out
}

// insert adds a server to a list in the order of compare and drops the last one beyond
// maxCandidates.
func insert(list []scored, c scored) []scored {
	if len(list) == maxCandidates && c.score < list[maxCandidates-1].score {
		return list
	}
	i, _ := slices.BinarySearchFunc(list, c, scored.compare)
	return truncate(slices.Insert(list, i, c), maxCandidates)
}

func truncate[T any](list []T, n int) []T { return list[:min(len(list), n)] }
