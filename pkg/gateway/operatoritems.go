package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/mirror"
)

// applyOperator applies an item of the operator, which is a configuration or an
// adapter version, and reports whether the directory has changed.
func (c *control) applyOperator(ch mirror.Change) bool {
	p := &ch.Pair
	item, err := c.catalog.Operator(*p)
	switch {
	case err != nil:
		c.log.Error().Str("key", p.Key).Err(err).Msg("cannot decode the operator's item; the last valid one stays in force")
	case item.Config != nil:
		adopted := c.directory.SetConfig(*item.Config)
		c.log.Info().
			Uint("version", uint64(item.Config.Version)).
			Uint("revision", uint64(p.ModRevision)).
			Bool("adopted", adopted).
			Msg("configuration read")
		return adopted
	case item.Adapter != nil:
		adopted := c.directory.SetVersion(ch.Since, *item.Adapter)
		c.log.Info().
			Str("model", item.Adapter.Model).
			Str("adapter", item.Adapter.Adapter).
			Int("version", item.Adapter.Version).
			Bool("in_first_list", ch.Since.IsZero()).
			Dur("written_within_ms", writtenWithin(ch)).
			Bool("adopted", adopted).
			Msg("adapter version read")
		return adopted
	}
	return false
}

// writtenWithin returns the longest time since the item of a change was written, or 0
// if none is known.
func writtenWithin(ch mirror.Change) time.Duration {
	if ch.Since.IsZero() {
		return 0
	}
	return time.Since(ch.Since)
}

// recordRevisions tells the relay which of the operator's items are in force now.
func (c *control) recordRevisions(changes []mirror.Change) {
	for i := range changes {
		if ch := &changes[i]; !ch.Deleted && strings.HasPrefix(ch.Pair.Key, c.catalog.OperatorPrefix()) {
			c.relay.read(ch.Era, ch.Pair.ModRevision)
		}
	}
}

// storeAvailable reports whether the store answers the calls of the mirror.
func (c *control) storeAvailable() bool {
	select {
	case <-c.running:
		return c.mirror.Available()
	default:
		return true // nothing has been called yet
	}
}

// supply passes items of the operator that a sidecar has read to the mirror.
func (c *control) supply(ctx context.Context, era kv.Era, pairs []kv.Pair) bool {
	<-c.running
	return c.mirror.Supply(ctx, era, pairs)
}
