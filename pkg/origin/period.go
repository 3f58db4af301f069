package origin

import (
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// maxUnseen is the longest interruption of a Period that hides no software version. A server
// stays listed longer than that: it drains first, or its item lasts for three heartbeats.
const maxUnseen = 3 * time.Second

// Period is a span of time of which a process knows all software versions that served. The
// zero value is no time at all.
type Period struct{ Since, Until time.Time }

// join returns the span of both periods if no version can be hidden between them, and
// otherwise the one that ends later.
func (p Period) join(other Period) Period {
	if other.Until.After(p.Until) {
		p, other = other, p
	}
	if p.Since.Sub(other.Until) <= maxUnseen && other.Since.Before(p.Since) {
		p.Since = other.Since
	}
	return p
}

// KnownFor returns for how long before now all software versions are known to processes that
// know those of the given periods: at most Retention, and 0 if no period reaches now.
func KnownFor(now time.Time, periods []Period) time.Duration {
	known := now
	for extended := true; extended; {
		extended = false
		for _, p := range periods {
			if !p.Since.IsZero() && p.Since.Before(known) && known.Sub(p.Until) <= maxUnseen {
				known, extended = p.Since, true
			}
		}
	}
	return min(now.Sub(known), Retention)
}

// EncodePeriod returns a period as a message that is sent now, with times of Retention at
// most, or nil if the period ended before that.
func EncodePeriod(now time.Time, p Period) *fescuev1.SoftwarePeriod {
	until := max(0, now.Sub(p.Until))
	if until >= Retention {
		return nil
	}
	return &fescuev1.SoftwarePeriod{
		SinceMsAgo: uint32(min(now.Sub(p.Since), Retention).Milliseconds()),
		UntilMsAgo: uint32(until.Milliseconds()),
	}
}

// DecodePeriod returns the period of a message that has arrived now, or none for nil.
func DecodePeriod(now time.Time, m *fescuev1.SoftwarePeriod) Period {
	if m == nil {
		return Period{}
	}
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	return Period{Since: ago(max(m.GetSinceMsAgo(), m.GetUntilMsAgo())), Until: ago(m.GetUntilMsAgo())}
}
