package retry

import (
	"sync"
	"time"
)

const (
	// reportTimeout is the age of the last report on the number of entries from which an
	// entry counts as out of contact.
	reportTimeout = 2 * time.Second
	// settleTime is how long an entry has been in contact before it uses its share: until
	// then, all retries of an earlier process in its place have left the window, and the
	// other entries know of it.
	settleTime = Window + reportTimeout
	// memoryTime is how long the highest number of entries is remembered at least. Entries
	// that are cut off from the reporting processes still make retries.
	memoryTime = time.Hour
)

// Share is the part of one entry of the retries in a window that all entries together may
// make beyond the ratio. It is safe for concurrent use.
type Share struct {
	total float64

	mu sync.Mutex
	// since is when the contact began, and last when the last report arrived.
	since, last time.Time
	// highest is the highest number of entries in the current period of memoryTime, which
	// began at rotated, and previous that of the period before.
	highest, previous int
	rotated           time.Time
}

// MinRetries returns the number of retries in a window that each of a number of entries may
// make beyond the ratio, if no limit is given for all entries together. Up to ten entries
// may make DefaultMinRetries each, more of them share what ten may make.
func MinRetries(entries int) float64 {
	return DefaultMinRetries * min(1, DefaultMinRetries/float64(max(entries, 1)))
}

// NewShare returns the share of an entry of total retries. If total is 0, no limit is given
// for all entries together, and the entry may always make DefaultMinRetries.
func NewShare(total float64) *Share { return &Share{total: total} }

// Observe records a report on the number of entries.
func (s *Share) Observe(now time.Time, entries int) {
	if entries <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last.IsZero() || now.Sub(s.last) > reportTimeout {
		s.since = now
	}
	s.last = now
	if s.rotated.IsZero() || now.Sub(s.rotated) >= memoryTime {
		s.previous, s.highest, s.rotated = s.highest, 0, now
	}
	s.highest = max(s.highest, entries)
}

// Entries returns the number of entries that the share is based on, or 0 if none is known.
func (s *Share) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.highest, s.previous)
}

// Slack returns the number of retries in a window that the entry may make beyond the ratio.
// It is 0 while the entry is out of contact, and for settleTime afterwards.
func (s *Share) Slack(now time.Time) float64 {
	if s.total <= 0 {
		return DefaultMinRetries
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last.IsZero() || now.Sub(s.last) > reportTimeout || now.Sub(s.since) < settleTime {
		return 0
	}
	return s.total / float64(max(s.highest, s.previous))
}

// Skip makes up for time during which the clock stood still because the VM was suspended.
func (s *Share) Skip(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = s.last.Add(-d)
	s.since = s.since.Add(-d)
	s.rotated = s.rotated.Add(-d)
}
