package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// AdapterVersion names the newest version of an adapter.
type AdapterVersion struct {
	Model   string
	Adapter string
	Version int
}

// OperatorItem is one decoded item of the operator. At most one field is set.
type OperatorItem struct {
	Config  *route.Config
	Adapter *AdapterVersion
}

// NewestVersion is the newest version of an adapter that the operator named.
type NewestVersion struct {
	Version int
	// LearnedAt is when this process heard of it.
	LearnedAt time.Time
}

// Snapshot is the view of the fleet at one moment. It is immutable but for the
// Live records of its endpoints.
type Snapshot struct {
	// Table is nil until a configuration is known.
	Table *route.Table
	// Services maps a service to its endpoints, ordered by id.
	Services map[string][]*Endpoint
	// Versions has an entry for each adapter with a version above the first.
	Versions map[AdapterKey]NewestVersion
}

// Entries returns the number of entries, as far as the processes beside the model
// servers know them, or 0.
func (s *Snapshot) Entries() int {
	most := 0
	for _, list := range s.Services {
		for _, e := range list {
			if st := e.Runtime.Status(); st != nil {
				most = max(most, st.Entries)
			}
		}
	}
	return most
}

// Directory collects the view. It is used from one goroutine.
type Directory struct {
	endpoints map[ID]*Endpoint
	versions  map[AdapterKey]NewestVersion
	table     *route.Table
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{endpoints: map[ID]*Endpoint{}, versions: map[AdapterKey]NewestVersion{}}
}

// SetEndpoint adds or updates an endpoint and reports whether that changes
// anything. Another birth under the same id is a new lifetime of which nothing is
// known.
func (d *Directory) SetEndpoint(e Endpoint) bool {
	e.Runtime = NewRuntime()
	prev := d.endpoints[e.ID]
	if prev != nil && prev.Born == e.Born && prev.Address == e.Address {
		e.Runtime = prev.Runtime
	}
	if prev != nil && *prev == e {
		return false
	}
	d.endpoints[e.ID] = &e
	return true
}

// RemoveEndpoint drops an endpoint. It reports whether there was one.
func (d *Directory) RemoveEndpoint(id ID) bool {
	_, ok := d.endpoints[id]
	delete(d.endpoints, id)
	return ok
}

// SetConfig adopts a configuration unless a newer one is in force. It reports
// whether it did.
func (d *Directory) SetConfig(c route.Config) bool {
	if d.table != nil && c.Version <= d.table.Version {
		return false
	}
	d.table = route.Compile(c)
	return true
}

// SetVersion records the newest version of an adapter. Lower versions than the
// one known are ignored.
func (d *Directory) SetVersion(now time.Time, v AdapterVersion) bool {
	k := AdapterKey{Model: v.Model, Name: v.Adapter}
	if v.Version <= d.versions[k].Version {
		return false
	}
	d.versions[k] = NewestVersion{Version: v.Version, LearnedAt: now}
	return true
}

// Snapshot returns an immutable copy.
func (d *Directory) Snapshot() *Snapshot {
	s := &Snapshot{Table: d.table, Services: map[string][]*Endpoint{}, Versions: make(map[AdapterKey]NewestVersion, len(d.versions))}
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
