package rollout

import (
	"sync"
	"time"
)

// uploadStallTimeout is how long an upload may make no progress before another one
// may replace it. It is well below the 8 s within which a bundle must be active on
// every node.
const uploadStallTimeout = 2 * time.Second

// uploadSlot admits one upload at a time. An accepted offer already reserves it, so
// that other entries do not send the same parts.
type uploadSlot struct {
	mu sync.Mutex
	// ticket is the number of the upload that holds the slot, and lastTicket the
	// highest number assigned. A zero ticket means that no upload has begun: the
	// slot is free, or reserved by an accepted offer.
	ticket, lastTicket uint64
	// expires is when the slot becomes free unless the upload makes progress.
	expires time.Time
}

// isHeld reports whether the slot is reserved or an upload is running.
func (u *uploadSlot) isHeld() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Now().Before(u.expires)
}

// reserve reserves the slot for the upload that follows an accepted offer. It
// returns false if the slot is held.
func (u *uploadSlot) reserve() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if now.Before(u.expires) {
		return false
	}
	u.ticket = 0
	u.expires = now.Add(uploadStallTimeout)
	return true
}

// begin assigns the slot to a new upload and returns its ticket. It returns zero if
// another upload is running. It does not matter which offer reserved the slot.
func (u *uploadSlot) begin() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.ticket != 0 && now.Before(u.expires) {
		return 0
	}
	u.lastTicket++
	u.ticket = u.lastTicket
	u.expires = now.Add(uploadStallTimeout)
	return u.ticket
}

// progress restarts the stall timeout of an upload. It returns false if another
// upload has replaced it.
func (u *uploadSlot) progress(ticket uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ticket != ticket {
		return false
	}
	u.expires = time.Now().Add(uploadStallTimeout)
	return true
}

// end releases the slot if the upload still holds it.
func (u *uploadSlot) end(ticket uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ticket == ticket {
		u.ticket = 0
		u.expires = time.Time{}
	}
}
