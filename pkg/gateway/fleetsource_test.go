package gateway

import (
	"context"
	"time"
)

// fleetSource is the copy of the store's items from which an entry of a simulated fleet fills
// its directory.
type fleetSource struct {
	sim   *fleetSim
	entry *fleetEntry
}

// change makes an entry read a change of the store after a delay, at the earliest when the
// store serves it again. The caller holds mu.
func (s *fleetSim) change(e *fleetEntry, read func()) {
	at := time.Now()
	e.pending = append(e.pending, at)
	var try func()
	try = func() {
		if e.away {
			s.afterDelay(try)
			return
		}
		read()
		for i, p := range e.pending {
			if p.Equal(at) {
				e.pending = append(e.pending[:i], e.pending[i+1:]...)
				return
			}
		}
	}
	s.afterDelay(try)
}

// oldest returns the time of the oldest change that the entry has not read, or now.
func (f fleetSource) oldest() time.Time {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	out := time.Now()
	for _, at := range f.entry.pending {
		if at.Before(out) {
			out = at
		}
	}
	return out
}

func (f fleetSource) turnedAway() bool {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	return f.entry.away
}

// Followed implements directorySource.
func (f fleetSource) Followed() (since, until time.Time, ok bool) {
	at := f.entry.gateway.control.syncedAt.Load()
	if at == nil {
		return time.Time{}, time.Time{}, false
	}
	return *at, f.oldest(), true
}

// Confirm implements directorySource.
func (f fleetSource) Confirm(ctx context.Context) error {
	began := time.Now()
	for f.oldest().Before(began) || f.turnedAway() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
		if f.turnedAway() {
			return errCutOff
		}
	}
	return nil
}
