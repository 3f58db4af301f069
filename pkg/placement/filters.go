package placement

import (
	"slices"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// retain returns the candidates for which ok returns true. It reuses the storage of
// in.
func retain(in []Candidate, ok func(*Candidate) bool) []Candidate {
	out := in[:0]
	for i := range in {
		if ok(&in[i]) {
			out = append(out, in[i])
		}
	}
	return out
}

// BackendFilter drops endpoints of a different kind or with a different backend.
type BackendFilter struct{}

// Name implements Filter.
func (BackendFilter) Name() string { return "backend" }

// Filter implements Filter.
func (BackendFilter) Filter(r *Request, in []Candidate) []Candidate {
	return retain(in, func(c *Candidate) bool { return c.Kind == r.Kind && c.Backend == r.Backend })
}

// StateFilter drops endpoints that are not ready: those that are starting or
// leaving.
type StateFilter struct{}

// Name implements Filter.
func (StateFilter) Name() string { return "state" }

// Filter implements Filter.
func (StateFilter) Filter(_ *Request, in []Candidate) []Candidate {
	return retain(in, func(c *Candidate) bool { return c.State == fescuev1.EndpointState_ENDPOINT_STATE_READY })
}

// StaleFilter drops endpoints whose last status report is older than StaleAfter.
type StaleFilter struct{}

// Name implements Filter.
func (StaleFilter) Name() string { return "stale" }

// Filter implements Filter.
func (StaleFilter) Filter(r *Request, in []Candidate) []Candidate {
	return retain(in, func(c *Candidate) bool { return r.Now.Sub(c.ReportedAt) <= StaleAfter })
}

// ExcludedFilter drops the endpoints in Request.Excluded.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Filter implements Filter.
func (ExcludedFilter) Filter(r *Request, in []Candidate) []Candidate {
	if len(r.Excluded) == 0 {
		return in
	}
	return retain(in, func(c *Candidate) bool { return !slices.Contains(r.Excluded, c.ID) })
}

// EngineVersionFilter drops endpoints whose engine has another version than the request
// needs.
type EngineVersionFilter struct{}

// Name implements Filter.
func (EngineVersionFilter) Name() string { return "engine version" }

// Filter implements Filter.
func (EngineVersionFilter) Filter(r *Request, in []Candidate) []Candidate {
	if r.EngineVersion == nil {
		return in
	}
	return retain(in, func(c *Candidate) bool { return c.EngineVersion == *r.EngineVersion })
}

// AdapterFilter drops endpoints on which the adapter is not resident and that may
// not load it.
type AdapterFilter struct{}

// Name implements Filter.
func (AdapterFilter) Name() string { return "adapter" }

// Filter implements Filter.
func (AdapterFilter) Filter(r *Request, in []Candidate) []Candidate {
	if r.Adapter.IsZero() {
		return in
	}
	return retain(in, func(c *Candidate) bool { return c.Resident || c.CanLoad })
}

// QueueFilter drops endpoints whose queue is full.
type QueueFilter struct{}

// Name implements Filter.
func (QueueFilter) Name() string { return "queue" }

// Filter implements Filter.
func (QueueFilter) Filter(_ *Request, in []Candidate) []Candidate {
	return retain(in, func(c *Candidate) bool { return c.QueueCapacity == 0 || c.Queued < c.QueueCapacity })
}

// DeadlineFilter drops endpoints whose estimated queueing time reaches the deadline.
type DeadlineFilter struct{}

// Name implements Filter.
func (DeadlineFilter) Name() string { return "deadline" }

// Filter implements Filter.
func (DeadlineFilter) Filter(r *Request, in []Candidate) []Candidate {
	if r.Remaining <= 0 {
		return in
	}
	return retain(in, func(c *Candidate) bool { return c.Wait < r.Remaining })
}

// filterStep is a filter with the error that is returned if it drops the last
// candidate.
type filterStep struct {
	Filter
	err error
}

// defaultFilters holds the filters in the order in which they are applied. If no
// candidate remains, the error is that of the filter that drops the last ones.
var defaultFilters = []filterStep{
	{BackendFilter{}, ErrNoEndpoint},
	{StateFilter{}, ErrNoEndpoint},
	{StaleFilter{}, ErrNoEndpoint},
	{ExcludedFilter{}, ErrNoEndpoint},
	{EngineVersionFilter{}, ErrNoEndpoint},
	{AdapterFilter{}, ErrNoEndpoint},
	{QueueFilter{}, ErrQueueFull},
	{DeadlineFilter{}, ErrDeadline},
}

// filter applies all default filters. It returns the error of the filter that drops
// the last candidate.
func filter(r *Request, in []Candidate) ([]Candidate, error) {
	if len(in) == 0 {
		return nil, ErrNoEndpoint
	}
	for _, f := range defaultFilters {
		if in = f.Filter.Filter(r, in); len(in) == 0 {
			return nil, f.err
		}
	}
	return in, nil
}
