// Package balance keeps the load of servers even that many entries share, although each
// entry knows only its own requests at once and those of the others from reports that are a
// little old.
package balance

import (
	"sync"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// keptUpdates is the number of updates whose work a Ledger keeps. Updates are at least
// 150 ms apart unless they are urgent, and reports come every 500 ms.
const keptUpdates = 32

// Ledger keeps what this process has told a sidecar of its own work at a server, for one
// stream. A report names the last update that its sums include, so that the work of the
// other entries can be told from the own, which is known up to date. It is safe for
// concurrent use.
type Ledger struct {
	mu   sync.Mutex
	last uint64
	// sent holds the work of update n at n modulo keptUpdates.
	sent [keptUpdates]fleet.Work
}

// Sent records the work of the next update and returns the number of the update.
func (l *Ledger) Sent(own fleet.Work) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	l.sent[l.last%keptUpdates] = own
	return l.last
}

// Others returns the work of the other entries in a report whose sums include the updates of
// this process up to the given one, or none if that is 0. It returns nil if that update is
// not known any more.
func (l *Ledger) Others(covered uint64, reported fleet.Work) *fleet.Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	if covered > l.last || l.last-covered >= keptUpdates {
		return nil
	}
	var own fleet.Work
	if covered > 0 {
		own = l.sent[covered%keptUpdates]
	}
	others := &fleet.Work{Backlog: reported.Backlog.Without(own.Backlog)}
	for adapter, tokens := range reported.Waiting {
		rest := tokens.Without(own.Waiting[adapter])
		if rest == (fleet.Backlog{}) {
			continue
		}
		if others.Waiting == nil {
			others.Waiting = map[uint64]fleet.Backlog{}
		}
		others.Waiting[adapter] = rest
	}
	return others
}
