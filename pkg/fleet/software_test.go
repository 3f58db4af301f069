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
	d.SetEndpoint(Endpoint{ID: "old", Service: "pool", SoftwareVersion: "v1"})
	d.SetEndpoint(Endpoint{ID: "new", Service: "pool", SoftwareVersion: "v2"})
	d.SetEndpoint(Endpoint{ID: "other", Service: "desk", SoftwareVersion: "v3"})
	d.RemoveEndpoint(now, "old")
	s := d.Snapshot()
	assert.DeepEqual(t, s.SoftwareVersions(now.Add(SoftwareRetention), "pool"), []string{"v1", "v2"})
	assert.DeepEqual(t, s.SoftwareVersions(now.Add(SoftwareRetention+1), "pool"), []string{"v2"})
	assert.DeepEqual(t, s.SoftwareVersions(now, "desk"), []string{"v3"})
}
