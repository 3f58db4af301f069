package mirror

import (
	"context"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// supply holds items that another process has read from the key-value service.
type supply struct {
	era   kv.Era
	pairs []kv.Pair
}

// Supply passes items on that another process has read in the given era. They are applied like
// those of the service, unless the copy has them already or is of another era. It returns
// false if ctx ends first.
func (m *Mirror) Supply(ctx context.Context, era kv.Era, pairs []kv.Pair) bool {
	select {
	case m.supplied <- supply{era: era, pairs: pairs}:
		return true
	case <-ctx.Done():
		return false
	}
}

// applySupply applies supplied items. Revisions of different eras cannot be compared, and a
// copy that has never been complete has no items of its own to compare with.
func (m *Mirror) applySupply(s supply) {
	if !m.synced || s.era != m.era {
		m.log.Info().
			Int("items", len(s.pairs)).
			Uint("era", uint64(s.era)).
			Uint("own_era", uint64(m.era)).
			Bool("synced", m.synced).
			Msg("items of another process ignored")
		return
	}
	m.put(s.pairs, false, m.current)
}
