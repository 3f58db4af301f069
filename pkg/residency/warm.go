package residency

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

const (
	// initialWarmFactor gives the number of warm copies that is assumed until loads
	// have shown it, as a multiple of the number of adapters that the server can load.
	initialWarmFactor = 3
	// maxTrackedCopies limits the adapters of which a server is thought to keep a copy.
	maxTrackedCopies = 1000
)

// heldCopy is the last time at which the server had one version of an adapter loaded.
type heldCopy struct {
	version int
	at      time.Time
}

// WarmCopies estimates how many adapters a server keeps in main memory, loaded ones
// included. The server evicts the least recently used copies. Whether the load of an
// adapter that it once had loaded is fast or slow shows whether the copy was kept. It
// is not safe for concurrent use.
type WarmCopies struct {
	count int
	held  map[fleet.AdapterKey]heldCopy
	// loads holds, for each running load of a copy that may be warm, the number of
	// adapters that were loaded more recently.
	loads map[fleet.AdapterKey]int
}

// NewWarmCopies returns an estimate without observations.
func NewWarmCopies() *WarmCopies {
	return &WarmCopies{held: map[fleet.AdapterKey]heldCopy{}, loads: map[fleet.AdapterKey]int{}}
}

// Count returns the estimated number of adapters of which the server keeps a copy, or
// 0 before the first report.
func (w *WarmCopies) Count() int { return w.count }

// observe records the loaded adapters of a report. maxAdapters is the number of
// adapters that the server can load.
func (w *WarmCopies) observe(now time.Time, r *Report, maxAdapters int) {
	w.count = max(w.count, initialWarmFactor*maxAdapters)
	for k, version := range r.Residents {
		w.held[k] = heldCopy{version: version, at: now}
	}
	for len(w.held) > maxTrackedCopies {
		w.forgetOldest()
	}
}

func (w *WarmCopies) forgetOldest() {
	var oldest fleet.AdapterKey
	var at time.Time
	for k, c := range w.held {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = k, c.at
		}
	}
	delete(w.held, oldest)
}

// started records the start of a load of the given version, 0 for the newest.
func (w *WarmCopies) started(k fleet.AdapterKey, version int) {
	c, ok := w.held[k]
	if !ok || version > 0 && c.version != version {
		return
	}
	newer := 0
	for _, other := range w.held {
		if other.at.After(c.at) {
			newer++
		}
	}
	w.loads[k] = newer
}

// ended records the duration of a load.
func (w *WarmCopies) ended(k fleet.AdapterKey, took time.Duration) {
	newer, ok := w.loads[k]
	delete(w.loads, k)
	switch {
	case !ok:
	case took <= maxWarmLoadTime:
		w.count = max(w.count, newer+1)
	case newer < w.count:
		w.count = newer
	}
}
