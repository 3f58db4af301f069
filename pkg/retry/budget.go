package retry

import (
	"sync"
	"time"
)

const (
	// Window is the period over which requests and retries are compared.
	Window = 10 * time.Second
	// slotTime is the resolution of the counts.
	slotTime = 100 * time.Millisecond
	// windowSlots is the number of slots of a window.
	windowSlots = int64(Window / slotTime)
	// historySlots is the number of slots that are kept: the oldest window that contains the
	// current slot, and the half window before it.
	historySlots = windowSlots + windowSlots/2 + 2
	// DefaultMinRetries is the number of retries in a window beyond the ratio that an entry
	// may make if no limit is given for all entries together. It is meant for a small
	// number of entries.
	DefaultMinRetries = 10.0
)

// Budget limits the retries of one entry in every window to a ratio of its requests, plus
// slack.
//
// The requests of a window are the mean of those within it and of those from half a window
// before its start until half a window after it. A part of them is known before the window
// begins, so that retries are allowed as soon as failures do, and the other part follows the
// traffic. Both are sums: if every entry keeps to the ratio, so do all entries together.
// All counts are rounded so that the bound holds for windows that start within a slot.
//
// The zero value is ready to use. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	epoch time.Time
	// slot is the number of the current slot since epoch.
	slot     int64
	requests slots
	retries  slots
}

// slots has one count for each slot, at the number of the slot modulo historySlots.
type slots [historySlots]float64

func (s *slots) at(slot int64) *float64 { return &s[(slot%historySlots+historySlots)%historySlots] }

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	*b.requests.at(b.slot)++
}

// Allows reports whether the budget would allow a retry now.
func (b *Budget) Allows(now time.Time, ratio, slack float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.allows(ratio, slack)
}

// TakeRetry counts a retry if the budget allows it, and reports whether it does. In every
// window there may be ratio x requests + slack retries. A ratio of 0 allows none.
func (b *Budget) TakeRetry(now time.Time, ratio, slack float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if !b.allows(ratio, slack) {
		return false
	}
	*b.retries.at(b.slot)++
	return true
}

// Skip makes up for time during which the clock stood still because the VM was suspended.
func (b *Budget) Skip(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.epoch = b.epoch.Add(-d)
}

// allows reports whether one more retry keeps the bound in every window that contains the
// current slot. A window that starts in a slot ends windowSlots slots later.
func (b *Budget) allows(ratio, slack float64) bool {
	if ratio <= 0 {
		return false
	}
	const half = windowSlots / 2
	retries, around, within := 1.0, 0.0, 0.0
	for slot := b.slot; slot > b.slot-half+1; slot-- {
		around += *b.requests.at(slot)
	}
	for start := b.slot; start >= b.slot-windowSlots; start-- {
		retries += *b.retries.at(start)
		// Requests in slots that lie in a period entirely: from start-half+1 to start+half-1
		// around the start, and from start+1 to start+windowSlots-1 within the window.
		around += *b.requests.at(start - half + 1)
		around -= b.requestsIn(start + half)
		within += b.requestsIn(start + 1)
		within -= b.requestsIn(start + windowSlots)
		if retries > ratio*(around+within)/2+slack {
			return false
		}
	}
	return true
}

// requestsIn returns the requests in a slot, which are none in later slots than the current.
func (b *Budget) requestsIn(slot int64) float64 {
	if slot > b.slot {
		return 0
	}
	return *b.requests.at(slot)
}

// advance makes the slot of the given time the current one.
func (b *Budget) advance(now time.Time) {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	slot := int64(now.Sub(b.epoch) / slotTime)
	for next := max(b.slot+1, slot-historySlots+1); next <= slot; next++ {
		*b.requests.at(next) = 0
		*b.retries.at(next) = 0
	}
	b.slot = max(b.slot, slot)
}
