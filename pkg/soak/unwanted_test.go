package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// Guards against a soak test that passes although entries send requests to a server that has
// asked them for none.
func TestUnwantedRequestsAreFound(t *testing.T) {
	began := time.Now()
	at := func(entry string, after time.Duration) platform.Arrival {
		return platform.Arrival{Entry: entry, At: began.Add(after)}
	}
	rows := map[string]struct {
		arrivals []platform.Arrival
		found    int
	}{
		"none":          {},
		"in the slack":  {arrivals: []platform.Arrival{at("e1", 0), at("e1", 400*time.Millisecond)}},
		"another entry": {arrivals: []platform.Arrival{at("e1", 0), at("e2", time.Second)}},
		"after the end": {arrivals: []platform.Arrival{at("e1", 0), at("e1", backoffAsked)}},
		"too early":     {arrivals: []platform.Arrival{at("e1", 0), at("e2", 0), at("e1", time.Second)}, found: 1},
	}
	for name, r := range rows {
		assert.Equal(t, len(checkUnwanted("s", r.arrivals, backoffAsked)), r.found, name)
	}
}
