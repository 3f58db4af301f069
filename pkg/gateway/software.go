package gateway

import (
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// softwareInterval is the interval at which unchanged software versions are announced
// again. Sidecars remember them for origin.Retention.
const softwareInterval = origin.Retention / 2

// softwareList has the software versions of the services that have several. Entries
// announce it to all sidecars, so that an entry that learns late of a new version hears
// of it when it asks for the origin of a stream.
type softwareList struct {
	// key identifies the content of the list.
	key      string
	versions []*fescuev1.StreamOrigins
}

// mixedSoftware returns the software versions of the services that have several.
func mixedSoftware(now time.Time, s *fleet.Snapshot) *softwareList {
	list := &softwareList{}
	for _, name := range s.ServiceNames() {
		versions := s.SoftwareVersions(now, name)
		if len(versions) < 2 {
			continue
		}
		list.key += name + ":" + strings.Join(versions, ",") + ";"
		for _, v := range versions {
			list.versions = append(list.versions, &fescuev1.StreamOrigins{Service: name, SoftwareVersion: v})
		}
	}
	return list
}

// show makes a snapshot of the directory visible to requests.
func (c *control) show(s *fleet.Snapshot) {
	c.snapshot.Store(s)
	list := mixedSoftware(time.Now(), s)
	if previous := c.software.Load(); previous != nil && previous.key == list.key {
		return
	}
	c.software.Store(list)
	// The sidecars must know of a new version before a stream can begin there: the entry may
	// be lost with the origin of the stream, and others may not have heard of the version.
	c.originLinks.Range(func(_, l any) bool {
		l.(*originLink).makeDue() //nolint:forcetypeassert // only links are stored
		return true
	})
}

// softwareKnown returns the period of which this entry knows the software versions of all
// servers, because it has followed their list itself.
func (c *control) softwareKnown() origin.Period {
	since, until, ok := c.source.Followed()
	if !ok {
		return origin.Period{}
	}
	if at := c.syncedAt.Load(); c.set.FirstStart && at != nil && !since.After(*at) {
		since = since.Add(-origin.Retention) // no stream has begun before
	}
	return origin.Period{Since: since, Until: until}
}

// announcement is what a connection to a sidecar has announced last.
type announcement struct {
	list *softwareList
	at   time.Time
}

// next returns the software versions to announce. It reports false if none are due.
func (a *announcement) next(now time.Time, list *softwareList) ([]*fescuev1.StreamOrigins, bool) {
	if list == nil || list == a.list && (len(list.versions) == 0 || now.Sub(a.at) < softwareInterval) {
		return nil, false
	}
	a.list, a.at = list, now
	return list.versions, true
}
