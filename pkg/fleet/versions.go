package fleet

import "time"

const (
	// VersionGrace is how long an older version may still serve requests after a new one
	// is announced, while the servers replace it.
	VersionGrace = 2 * time.Second
	// announcementSpacing limits the announcements that are kept for each adapter: one
	// that follows another within this time shares its grace, which it shortens by no
	// more than that.
	announcementSpacing = VersionGrace / 16
)

// Versions holds the announced versions of one adapter, or of the weights of a base
// model. Its zero value holds none. Values are immutable.
type Versions struct {
	// required is the newest version whose grace was over at the last announcement.
	required int
	// pending lists the later announcements, in increasing order of version and time.
	pending []announcement
}

// announcement is one announced version.
type announcement struct {
	version int
	at      time.Time
}

// Newest returns the newest announced version, or 0 if there is none.
func (v Versions) Newest() int {
	if n := len(v.pending); n > 0 {
		return v.pending[n-1].version
	}
	return v.required
}

// Required returns the lowest version that may serve requests, which is the newest
// one whose grace is over, or 0 if any version may. It never decreases over time.
func (v Versions) Required(now time.Time) int {
	required := v.required
	for _, a := range v.pending {
		if now.Sub(a.at) < VersionGrace {
			break
		}
		required = a.version
	}
	return required
}

// announce returns the versions with one more, which was announced at the given time.
// It reports false if the version is not higher than the newest one.
func (v Versions) announce(at time.Time, version int) (Versions, bool) {
	if version <= v.Newest() {
		return v, false
	}
	n := len(v.pending)
	if n > 0 && at.Before(v.pending[n-1].at) {
		at = v.pending[n-1].at // a later version cannot have been announced before
	}
	next := Versions{required: v.Required(at)}
	for _, a := range v.pending {
		if a.version > next.required {
			next.pending = append(next.pending, a)
		}
	}
	if n := len(next.pending); n > 0 && at.Sub(next.pending[n-1].at) < announcementSpacing {
		next.pending[n-1].version = version
		return next, true
	}
	next.pending = append(next.pending, announcement{version: version, at: at})
	return next, true
}
