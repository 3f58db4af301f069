package locality

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

const (
	// RenewalLead is how long before a new version is required a server should have it
	// loaded. A load from the weight store takes a few hundred milliseconds.
	RenewalLead = time.Second
	// PreloadTimeout is how long a server is asked for a preload after a request. Each
	// request for the adapter renews it, until a server reports the load.
	PreloadTimeout = 300 * time.Millisecond
	// outdatedWeightsPenalty is added, for a request for a base model, for a server with
	// older weights while another server has the newest ones. It is lower than any wait
	// that would be a gap in service: only a few servers have new weights at first.
	outdatedWeightsPenalty = time.Second
)

// preload returns the server that should load an adapter because all loaded copies are
// about to be outdated, or nil if that is not so or no server has room. A server with an
// older version in use cannot replace it before the running requests have ended, so
// another one has to load the new version before requests need it.
func (c *Chooser) preload(r *Request, endpoints []*fleet.Endpoint) *fleet.Endpoint {
	if r.Key.Name == "" || r.Upcoming <= r.Version {
		return nil
	}
	for _, e := range endpoints {
		if usable(r, e) && (current(e, r) || loadsCurrent(e, r)) {
			return nil
		}
	}
	next := *r
	next.Version, next.Prefix = r.Upcoming, nil
	choice, ok := c.Choose(&next, endpoints)
	if !ok || choice.Cost >= noRoomPenalty {
		return nil
	}
	st := choice.Endpoint.Runtime.Status()
	if st == nil {
		return nil // what it holds is not known yet
	}
	if _, held := st.Residents[r.Key]; held {
		return nil // its sidecar replaces the copy as soon as it is idle
	}
	return choice.Endpoint
}

// current reports whether a server has a version of the adapter, or of the weights of the
// base model, loaded that may serve requests beyond RenewalLead.
func current(e *fleet.Endpoint, r *Request) bool {
	st := e.Runtime.Status()
	if st == nil {
		return false
	}
	if r.Key.Name == "" {
		return st.Models[r.Key.Model] >= r.Upcoming
	}
	return st.Residents[r.Key] >= r.Upcoming
}

// outdatedPenalty returns the penalty for a server that holds what is about to be
// outdated.
func (c *Chooser) outdatedPenalty(r *Request) time.Duration {
	if r.Key.Name == "" {
		return outdatedWeightsPenalty
	}
	return c.weights.OutdatedPenalty
}

// loadsCurrent reports whether a server is loading such a version.
func loadsCurrent(e *fleet.Endpoint, r *Request) bool {
	st := e.Runtime.Status()
	return st != nil && st.Loading[r.Key] >= r.Upcoming
}

// renewed reports whether some copies of an adapter or base model are about to be
// outdated while another server has a current one.
func renewed(r *Request, endpoints []*fleet.Endpoint) bool {
	if r.Upcoming <= r.Version {
		return false
	}
	for _, e := range endpoints {
		if usable(r, e) && current(e, r) {
			return true
		}
	}
	return false
}
