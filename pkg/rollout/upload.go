package rollout

import (
	"sync"
	"time"
)

// uploadStall is how long an upload may make no progress before another one
// replaces it. It is well below the 8 s within which a bundle must be active.
const uploadStall = 2 * time.Second

// uploadSlot admits one upload at a time. An entry gets it with an offer, so
// that other entries do not send the same parts.
type uploadSlot struct {
	mu sync.Mutex
	// ticket is the number of the present holder. Zero means that an offer was
	// accepted and its upload has not begun.
	ticket, last uint64
	// until is when the holder loses the slot without progress.
	until time.Time
}

// busy reports whether an upload is offered or running.
func (u *uploadSlot) busy() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Now().Before(u.until)
}

// reserve keeps the slot for the upload after an offer. It returns false if the
// slot is taken.
func (u *uploadSlot) reserve() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if now.Before(u.until) {
		return false
	}
	u.ticket = 0
	u.until = now.Add(uploadStall)
	return true
}

// begin returns the ticket of a new upload, or zero if another one is running.
func (u *uploadSlot) begin() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.ticket != 0 && now.Before(u.until) {
		return 0
	}
	u.last++
	u.ticket = u.last
	u.until = now.Add(uploadStall)
	return u.ticket
}

// progress extends the time of an upload. It returns false if another one has
// replaced it.
func (u *uploadSlot) progress(ticket uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ticket != ticket {
		return false
	}
	u.until = time.Now().Add(uploadStall)
	return true
}

// end frees the slot if the upload still holds it.
func (u *uploadSlot) end(ticket uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ticket == ticket {
		u.ticket = 0
		u.until = time.Time{}
	}
}
