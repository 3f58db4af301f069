// Package origin keeps where resumable streams began. What two software versions of a
// service write into one stream does not fit together, so a resumed stream may only
// continue at the version that wrote its first event.
package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

const (
	// Retention is how long the origin of a stream is kept. Callers resume a stream within
	// the time that they wait for the whole response, which is 30 s where they set none.
	// The directory remembers the software versions of removed servers for as long.
	Retention = fleet.SoftwareRetention
	// maxRecords limits the records of a Registry, to about 4.5 MB with the dropped ones that
	// order still has.
	maxRecords = 20_000
)

// StreamID identifies a stream by a hash of the id of the request that began it.
type StreamID uint64

// ID returns the StreamID of the stream that the request with the given id began.
func ID(requestID string) StreamID { return StreamID(xxhash.Sum64String(requestID)) }

// Origin is the service and the software version of the server that wrote the first
// event of a stream.
type Origin struct {
	Service         string
	SoftwareVersion string
}

// Record is the origin of one stream.
type Record struct {
	Stream StreamID
	Origin Origin
	At     time.Time
}

// Registry holds the origins of the streams that began within Retention. It is safe for
// concurrent use.
type Registry struct {
	mu      sync.Mutex
	origins map[StreamID]Origin
	// order holds the records of origins, oldest first, from position head on. Those before
	// it are dropped once they are half of all, so that a record is moved about once.
	order []Record
	head  int
	// lastSeen maps each origin to the time at which it was last recorded or seen.
	lastSeen map[Origin]time.Time
	// known is the period of which Versions lacks no software version that served beside
	// another one.
	known Period
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{origins: map[StreamID]Origin{}, lastSeen: map[Origin]time.Time{}}
}

// Add records the origin of a stream, unless one is known: a stream begins once.
func (r *Registry) Add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trim(rec.At)
	if _, known := r.origins[rec.Stream]; known {
		return
	}
	r.origins[rec.Stream] = rec.Origin
	r.order = append(r.order, rec)
	r.lastSeen[rec.Origin] = rec.At
}

// Seen records that servers of a service run a software version, although no stream is
// known to have begun there.
func (r *Registry) Seen(now time.Time, o Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSeen[o] = now
}

// VersionsKnown records that the software versions seen are all that served beside another
// one within the period.
func (r *Registry) VersionsKnown(p Period) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = r.known.join(p)
}

// KnownPeriod returns the period of which Versions lacks no version that served beside
// another one. It ends with the last VersionsKnown: the registry knows nothing by itself.
func (r *Registry) KnownPeriod() Period {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// Find returns the origin of a stream, or false if it is not known.
func (r *Registry) Find(now time.Time, s StreamID) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trim(now)
	o, ok := r.origins[s]
	return o, ok
}

// Versions returns the software versions of a service at which streams have begun, or
// which were seen, within Retention, in order.
func (r *Registry) Versions(now time.Time, service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trim(now)
	var out []string
	for o := range r.lastSeen {
		if o.Service == service {
			out = append(out, o.SoftwareVersion)
		}
	}
	slices.Sort(out)
	return out
}

// trim drops the records that are older than Retention, and the oldest one while there
// are maxRecords. The caller holds mu.
func (r *Registry) trim(now time.Time) {
	for r.head < len(r.order) && (now.Sub(r.order[r.head].At) > Retention || len(r.order)-r.head >= maxRecords) {
		delete(r.origins, r.order[r.head].Stream)
		r.head++
	}
	if 2*r.head > len(r.order) {
		r.order = slices.Delete(r.order, 0, r.head)
		r.head = 0
	}
	maps.DeleteFunc(r.lastSeen, func(_ Origin, at time.Time) bool { return now.Sub(at) > Retention })
}
