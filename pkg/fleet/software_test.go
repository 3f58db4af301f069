package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against forgetting the software version of servers that have just left, and
// against counting the versions of other services.
func TestRemovedSoftwareIsRemembered(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory()
	d.SetEndpoint(now, Endpoint{ID: "old", Service: "pool", SoftwareVersion: "v1"})
	d.SetEndpoint(now, Endpoint{ID: "new", Service: "pool", SoftwareVersion: "v2"})
	d.SetEndpoint(now, Endpoint{ID: "other", Service: "desk", SoftwareVersion: "v3"})
	d.RemoveEndpoint(now, "old")
	s := d.Snapshot()
	assert.DeepEqual(t, s.SoftwareVersions(now.Add(SoftwareRetention), "pool"), []string{"v1", "v2"})
	assert.DeepEqual(t, s.SoftwareVersions(now.Add(SoftwareRetention+1), "pool"), []string{"v2"})
	assert.DeepEqual(t, s.SoftwareVersions(now, "desk"), []string{"v3"})
}

// Guards against taking the new software version of a server, or its new service, for the
// only one while streams of the old one are resumed.
func TestReplacedSoftwareIsRemembered(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, next := range []Endpoint{
		{ID: "a", Service: "pool", SoftwareVersion: "v2", Born: 2},
		{ID: "a", Service: "pool", SoftwareVersion: "v2", Born: 1},
	} {
		d := NewDirectory()
		d.SetEndpoint(now, Endpoint{ID: "a", Service: "pool", SoftwareVersion: "v1", Born: 1})
		d.SetEndpoint(now, next)
		assert.DeepEqual(t, d.Snapshot().SoftwareVersions(now, "pool"), []string{"v1", "v2"})
		assert.DeepEqual(t, d.Snapshot().SoftwareVersions(now.Add(SoftwareRetention+1), "pool"), []string{"v2"})
	}
	d := NewDirectory()
	d.SetEndpoint(now, Endpoint{ID: "a", Service: "pool", SoftwareVersion: "v1"})
	d.SetEndpoint(now, Endpoint{ID: "a", Service: "pool", SoftwareVersion: "v1", State: Draining})
	assert.Equal(t, len(d.Snapshot().RemovedSoftware), 0)
	d.RestoreEndpoint(now, Endpoint{ID: "a", Service: "desk", SoftwareVersion: "v1", Born: 1})
	assert.DeepEqual(t, d.Snapshot().SoftwareVersions(now, "pool"), []string{"v1"})
}
