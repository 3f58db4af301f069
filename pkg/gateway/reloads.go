package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
)

// reloadInterval is the interval at which the servers that may reload their base model
// are determined.
const reloadInterval = 250 * time.Millisecond

// reloads maps the servers that may reload their base model to its name.
type reloads map[fleet.ID]string

// ids returns the servers in the order of their ids.
func (r reloads) ids() []fleet.ID { return slices.Sorted(maps.Keys(r)) }

// runReloads keeps the set of servers that may reload their base model up to date until
// ctx ends.
func (c *control) runReloads(ctx context.Context) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			c.updateReloads(now)
		}
	}
}

// updateReloads determines the servers that may reload their base model, and logs each
// change.
func (c *control) updateReloads(now time.Time) {
	next := reloadsOf(now, c.snapshot.Load())
	previous := *c.reloads.Swap(&next)
	for id, model := range next {
		if previous[id] != model {
			c.log.Info().Str("endpoint", string(id)).Str("model", model).Msg("server may reload its outdated base model")
		}
	}
	for id, model := range previous {
		if next[id] != model {
			c.log.Info().Str("endpoint", string(id)).Str("model", model).Msg("server may no longer reload its base model")
		}
	}
}

// reloadsOf returns the servers that may reload a base model of which newer weights are
// announced.
func reloadsOf(now time.Time, s *fleet.Snapshot) reloads {
	out := reloads{}
	if s.Table == nil {
		return out
	}
	for k, v := range s.Versions {
		if k.Name != "" {
			continue
		}
		for service, endpoints := range s.Services {
			svc := s.Table.Service(service)
			if svc == nil || svc.Engine == nil {
				continue
			}
			for _, id := range locality.Reloads(now, k.Model, v.Newest(), endpoints) {
				out[id] = k.Model
			}
		}
	}
	return out
}
