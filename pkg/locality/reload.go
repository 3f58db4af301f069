package locality

import (
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

const (
	// maxReloads limits the servers that reload a base model at the same time. The rate
	// of the weight store does not grow with the fleet.
	maxReloads = 2
	// serversPerReload is the number of servers for each reload at the same time, so that
	// the others can take over the requests.
	serversPerReload = 10
	// reloadingPenalty is added for a server that is to reload its base model. It must
	// become idle, but serves requests if all others are far behind.
	reloadingPenalty = 3 * time.Second
)

// Reloads returns the servers that may reload a base model now because their weights are
// older than the newest version, those with the oldest weights first. Servers whose state
// is not known, and servers without any model, count as reloading already. A server is
// left out if no other server holds the model, or if it holds another model too.
func Reloads(now time.Time, model string, newest int, endpoints []*fleet.Endpoint) []fleet.ID {
	var outdated []*fleet.Endpoint
	holders, away := 0, 0
	for _, e := range endpoints {
		if e.State != fleet.Ready {
			continue
		}
		st := e.Runtime.Status()
		if st == nil || st.Down || st.Draining || len(st.Models) == 0 || now.Sub(st.ReceivedAt) > lateStatusAge {
			away++
			continue
		}
		version, ok := st.Models[model]
		if !ok {
			continue
		}
		holders++
		if version < newest && len(st.Models) == 1 {
			outdated = append(outdated, e)
		}
	}
	if holders < 2 {
		return nil
	}
	slices.SortStableFunc(outdated, func(a, b *fleet.Endpoint) int {
		return weightsAt(a.Runtime.Status(), model) - weightsAt(b.Runtime.Status(), model)
	})
	limit := max(1, min(maxReloads, (holders+away)/serversPerReload))
	var out []fleet.ID
	for _, e := range outdated[:max(0, min(limit-away, len(outdated)))] {
		out = append(out, e.ID)
	}
	return out
}
