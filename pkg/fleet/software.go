package fleet

import (
	"maps"
	"slices"
	"time"
)

// SoftwareRetention is how long the software version of a removed server is remembered.
const SoftwareRetention = time.Minute

// Software is a software version of a service.
type Software struct {
	Service string
	Version string
}

// SoftwareVersions returns the software versions of the servers of a service, including
// those of servers that were removed within SoftwareRetention, in order.
func (s *Snapshot) SoftwareVersions(now time.Time, service string) []string {
	var out []string
	for _, e := range s.Services[service] {
		out = append(out, e.SoftwareVersion)
	}
	for software, at := range s.RemovedSoftware {
		if software.Service == service && now.Sub(at) <= SoftwareRetention {
			out = append(out, software.Version)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ServiceNames returns the names of the services that have servers or have had some within
// SoftwareRetention, in order.
func (s *Snapshot) ServiceNames() []string {
	names := slices.Collect(maps.Keys(s.Services))
	for software := range s.RemovedSoftware {
		names = append(names, software.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// softwareRemoved records that a server was removed and forgets old removals.
func (d *Directory) softwareRemoved(now time.Time, e *Endpoint) {
	maps.DeleteFunc(d.removedSoftware, func(_ Software, at time.Time) bool { return now.Sub(at) > SoftwareRetention })
	d.removedSoftware[e.software()] = now
}

// software returns the software version of the endpoint.
func (e *Endpoint) software() Software {
	return Software{Service: e.Service, Version: e.SoftwareVersion}
}
