package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// AdapterVersion is the newest version of an adapter, as stored by the operator.
type AdapterVersion struct {
	Model string
	// Adapter is empty for a version of the weights of the base model itself.
	Adapter string
	Version int
}

// OperatorItem is a decoded item of the operator in the key-value store. At most one
// field is set.
type OperatorItem struct {
	Config  *route.Config
	Adapter *AdapterVersion
}

// Snapshot is a copy of the Directory at one moment. It is immutable, except that its
// endpoints share their Runtime with the Directory.
type Snapshot struct {
	// Table is nil until a configuration is known.
	Table *route.Table
	// Services maps the name of a service to its endpoints, ordered by id.
	Services map[string][]*Endpoint
	// Versions has the announced versions of each adapter and of each base model for
	// which the operator has announced one above the first.
	Versions map[AdapterKey]Versions
	// RemovedSoftware has the software versions of removed servers, with the time of the
	// last removal.
	RemovedSoftware map[Software]time.Time
}

// Directory collects the endpoints, adapter versions and routes of a fleet. It is not
// safe for concurrent use.
type Directory struct {
	endpoints map[ID]*Endpoint
	// removed holds the endpoints that were removed within the last removedRetention.
	removed map[ID]removal
	// removedSoftware is the field RemovedSoftware of snapshots.
	removedSoftware map[Software]time.Time
	versions        map[AdapterKey]Versions
	table           *route.Table
}

// removedRetention is how long a removed endpoint is remembered. Copies from which a
// store is restored are some seconds old.
const removedRetention = time.Minute

// leavingRetention is how long a removed endpoint is remembered that has said that it leaves.
// Its item may return while the store restores items.
const leavingRetention = time.Hour

// removal is the end of one lifetime of an endpoint, or a time during which its item is
// missing.
type removal struct {
	born    int64
	address string
	runtime *Runtime
	at      time.Time
}

func (r *removal) retention() time.Duration {
	if r.runtime.Leaving() {
		return leavingRetention
	}
	return removedRetention
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{endpoints: map[ID]*Endpoint{}, removed: map[ID]removal{}, removedSoftware: map[Software]time.Time{}, versions: map[AdapterKey]Versions{}}
}

// SetEndpoint adds or updates an endpoint and reports whether anything has changed.
// Another Born value or address under the same id is a new lifetime, which starts
// with an empty Runtime record. One that was removed and returns keeps what it has asked for
// in its responses. The software version of an endpoint that changes it or its
// service is remembered as that of a removed server.
func (d *Directory) SetEndpoint(now time.Time, e Endpoint) bool {
	e.Runtime = NewRuntime()
	prev := d.endpoints[e.ID]
	if prev != nil && prev.Born == e.Born && prev.Address == e.Address {
		e.Runtime = prev.Runtime
	}
	if r, ok := d.removed[e.ID]; ok && r.born == e.Born && r.address == e.Address {
		e.Runtime.inherit(r.runtime)
	}
	if prev != nil && *prev == e {
		return false
	}
	if prev != nil && prev.software() != e.software() {
		d.softwareRemoved(now, prev)
	}
	d.endpoints[e.ID] = &e
	delete(d.removed, e.ID)
	return true
}

// RestoreEndpoint applies an item that was read from an earlier copy of the store, and
// reports whether anything has changed. The copy does not bring back an endpoint that
// was removed, or make one ready that is draining: its item may be older than the one
// known. A later write of the endpoint itself does both.
func (d *Directory) RestoreEndpoint(now time.Time, e Endpoint) bool {
	if r, ok := d.removed[e.ID]; ok && r.born == e.Born {
		return false
	}
	if prev := d.endpoints[e.ID]; prev != nil && prev.Born == e.Born && prev.State == Draining {
		return false
	}
	return d.SetEndpoint(now, e)
}

// RemoveEndpoint removes an endpoint and reports whether it was present.
func (d *Directory) RemoveEndpoint(now time.Time, id ID) bool {
	e, ok := d.endpoints[id]
	if !ok {
		return false
	}
	delete(d.endpoints, id)
	d.softwareRemoved(now, e)
	maps.DeleteFunc(d.removed, func(_ ID, r removal) bool { return now.Sub(r.at) > r.retention() })
	d.removed[id] = removal{born: e.Born, address: e.Address, runtime: e.Runtime, at: now}
	return true
}

// SetConfig applies a configuration unless the same or a newer version is in force.
// It reports whether it did.
func (d *Directory) SetConfig(c route.Config) bool {
	if d.table != nil && c.Version <= d.table.Version {
		return false
	}
	d.table = route.Compile(c)
	return true
}

// SetVersion records a version of an adapter, or of the weights of a base model, that
// was announced at the given time or, if that is not known, at any time since then. It
// reports false and changes nothing unless the version is higher than the known one.
func (d *Directory) SetVersion(announced time.Time, v AdapterVersion) bool {
	k := AdapterKey{Model: v.Model, Name: v.Adapter}
	next, ok := d.versions[k].announce(announced, v.Version)
	if ok {
		d.versions[k] = next
	}
	return ok
}

// Snapshot returns a snapshot of the directory.
func (d *Directory) Snapshot() *Snapshot {
	s := &Snapshot{Table: d.table, Services: map[string][]*Endpoint{}, Versions: make(map[AdapterKey]Versions, len(d.versions)), RemovedSoftware: maps.Clone(d.removedSoftware)}
	for _, e := range d.endpoints {
		s.Services[e.Service] = append(s.Services[e.Service], e)
	}
	for _, list := range s.Services {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	for k, v := range d.versions {
		s.Versions[k] = v
	}
	return s
}
