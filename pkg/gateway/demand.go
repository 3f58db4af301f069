package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/pace"
)

// demand counts this entry's requests to one model server, by adapter.
type demand struct {
	mu       sync.Mutex
	adapters map[fleet.AdapterKey]*adapterDemand
	// urgent holds a value if an update must be sent to the sidecar at once, because a
	// request has started to wait for a load or a long prompt has been sent.
	urgent chan struct{}
	dirty  bool
	// processedParts holds the hashes of the shared prompt parts that the server has
	// processed since the last update.
	processedParts map[uint64]struct{}
	// firstEvents are the times to the first events since the last update.
	firstEvents pace.Samples
}

type adapterDemand struct {
	inFlight int
	arrivals int
	version  int
	waiting  []waitTimes
	preload  *preload
}

// preload asks for a load that requests will need soon.
type preload struct {
	began time.Time
	// loadBy is when requests need it.
	loadBy time.Time
	// until is when the demand for it ends unless it is renewed.
	until time.Time
}

// waitTimes are the times of one request that waits for a load.
type waitTimes struct {
	// began is when the request arrived.
	began time.Time
	// loadBy is when the adapter must be loaded for the first event to meet the latency
	// target.
	loadBy time.Time
}

func newDemand() *demand {
	return &demand{adapters: map[fleet.AdapterKey]*adapterDemand{}, urgent: make(chan struct{}, 1), processedParts: map[uint64]struct{}{}}
}

func (d *demand) adapter(k fleet.AdapterKey) *adapterDemand {
	a := d.adapters[k]
	if a == nil {
		a = &adapterDemand{}
		d.adapters[k] = a
	}
	d.dirty = true
	return a
}

// longPromptTokens is the number of uncached prompt tokens from which an update is
// sent at once. A server needs about 50 ms to process so many.
const longPromptTokens = 2000

// start counts a request that is sent to the server, which has to process the given
// number of prompt tokens for it.
func (d *demand) start(k fleet.AdapterKey, tokens int64) {
	d.mu.Lock()
	a := d.adapter(k)
	a.inFlight++
	a.arrivals++
	d.mu.Unlock()
	if tokens >= longPromptTokens {
		d.sendNow()
	}
}

// sendNow makes link.send send the next update at once.
func (d *demand) sendNow() {
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

func (d *demand) end(k fleet.AdapterKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adapter(k).inFlight--
}

// wait counts a request that waits for the adapter to be loaded in the given version.
func (d *demand) wait(w waitTimes, k fleet.AdapterKey, version int) {
	d.mu.Lock()
	a := d.adapter(k)
	a.version = max(a.version, version)
	a.waiting = append(a.waiting, w)
	d.mu.Unlock()
	d.sendNow()
}

// endWait ends a wait that was counted with the same times.
func (d *demand) endWait(w waitTimes, k fleet.AdapterKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.adapter(k)
	if i := slices.Index(a.waiting, w); i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
}

// askPreload asks for a load of the adapter in the given version before requests need
// it. It counts as an arrival: the request that it is for shows how much the adapter is
// in demand, and keeps the server from evicting it as soon as it is loaded. It reports
// false if the preload was asked for already.
func (d *demand) askPreload(now time.Time, k fleet.AdapterKey, version int) bool {
	d.mu.Lock()
	a := d.adapter(k)
	a.version = max(a.version, version)
	a.arrivals++
	asked := a.preload != nil
	if !asked {
		a.preload = &preload{began: now, loadBy: now.Add(locality.RenewalLead)}
	}
	a.preload.until = now.Add(locality.PreloadTimeout)
	d.mu.Unlock()
	if !asked {
		d.sendNow()
	}
	return !asked
}

// endPreloads ends the preloads that have not been asked for again in time.
func (d *demand) endPreloads(now time.Time) {
	for _, a := range d.adapters {
		if a.preload != nil && !now.Before(a.preload.until) {
			a.preload = nil
			d.dirty = true
		}
	}
}

// pending returns the times of the requests that wait for the adapter, and of the
// preload if there is one.
func (a *adapterDemand) pending() []waitTimes {
	if a.preload == nil {
		return a.waiting
	}
	return append(slices.Clone(a.waiting), waitTimes{began: a.preload.began, loadBy: a.preload.loadBy})
}

// maxSlacks limits the waiting requests of one adapter whose slack an update lists.
const maxSlacks = 16

// waited returns the age of the oldest waiting request.
func (a *adapterDemand) waited(now time.Time) time.Duration {
	oldest := now
	for _, w := range a.pending() {
		if w.began.Before(oldest) {
			oldest = w.began
		}
	}
	return now.Sub(oldest)
}

// slacks returns the longest times that the waiting requests have left until their
// adapter must be loaded, in milliseconds, the longest first.
func (a *adapterDemand) slacks(now time.Time) []int32 {
	out := make([]int32, 0, len(a.waiting))
	for _, w := range a.pending() {
		out = append(out, int32(w.loadBy.Sub(now).Milliseconds()))
	}
	slices.SortFunc(out, func(a, b int32) int { return cmp.Compare(b, a) })
	return out[:min(len(out), maxSlacks)]
}

// maxProcessedParts limits the prompt parts that are kept for the next update. While
// the sidecar cannot be reached, no update removes them.
const maxProcessedParts = 1000

// addProcessedParts records shared prompt parts that the server has processed.
func (d *demand) addProcessedParts(hashes []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.processedParts) > maxProcessedParts {
		clear(d.processedParts)
	}
	for _, h := range hashes {
		d.processedParts[h] = struct{}{}
	}
}

// addFirstEvent records the expected and the actual time to the first event of an attempt.
func (d *demand) addFirstEvent(expected, actual time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.firstEvents.Add(expected, actual)
	d.dirty = true
}

// update returns the message for the sidecar and reports whether any count has
// changed since the last update. It resets the counts of arrivals, the list of prompt
// parts and the times to first events.
func (d *demand) update(now time.Time, instance fleet.ID, own fleet.Work) (*fescuev1.DemandUpdate, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endPreloads(now)
	changed := d.dirty
	d.dirty = false
	m := &fescuev1.DemandUpdate{InstanceId: string(instance), BacklogTokens: own.Backlog.Tokens()}
	for k, a := range d.adapters {
		row := &fescuev1.AdapterDemand{
			Model:    k.Model,
			Adapter:  k.Name,
			Version:  uint32(a.version),
			InFlight: uint32(a.inFlight),
			Waiting:  uint32(len(a.pending())),
			WaitedMs: uint32(a.waited(now).Milliseconds()),
			SlackMs:  a.slacks(now),
			Arrivals: uint32(a.arrivals),
		}
		a.arrivals = 0
		if a.inFlight == 0 && len(a.pending()) == 0 {
			delete(d.adapters, k)
		}
		m.Adapters = append(m.Adapters, row)
		if len(own.Waiting) > 0 {
			m.WaitingTokens = append(m.WaitingTokens, own.Waiting[k.Hash()].Tokens()...)
		}
	}
	m.ReadParts = slices.Collect(maps.Keys(d.processedParts))
	clear(d.processedParts)
	m.ExpectedFirstEventsMs = uint64(d.firstEvents.Expected.Milliseconds())
	m.ActualFirstEventsMs = uint64(d.firstEvents.Actual.Milliseconds())
	d.firstEvents = pace.Samples{}
	return m, changed
}
