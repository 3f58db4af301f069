package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// startedBeside returns why an entry is not ready that has just started in a fleet of the
// given number of model servers, of which some have not reported.
func startedBeside(t *testing.T, servers, silent int) string {
	t.Helper()
	w := newTestGateway(t, streamRoute)
	w.gateway.started = time.Now()
	for i := range servers {
		id := fleet.ID(fmt.Sprintf("s%03d", i)) // the directory is sorted by id
		w.directory.SetEndpoint(time.Now(), fleet.Endpoint{ID: id, Service: modelService, Address: "127.0.0.1:1", Slots: 4, State: fleet.Ready, Born: 1})
		if i >= silent {
			w.directory.Snapshot().Services[modelService][i].Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now()})
		}
	}
	w.publish()
	return w.gateway.unready()
}

// Guards against an entry that takes requests before it knows where adapters are.
func TestNotReadyBeforeMostServersHaveReported(t *testing.T) {
	assert.Assert(t, startedBeside(t, 9, 9) != "")
	assert.Assert(t, startedBeside(t, 117, 60) != "")
	assert.Equal(t, startedBeside(t, 9, 0), "")
}

// Guards against entries that all stay unready after a loss of power because a single one of
// many servers does not report: the larger the fleet, the surer there is one.
func TestReadyAlthoughOneOfManyServersIsSilent(t *testing.T) {
	assert.Equal(t, startedBeside(t, 117, 1), "")
}

// Guards against an entry in a small fleet that waits the whole grace period for a server that
// is down, and against one that is ready with too few servers although the rest may still report.
func TestReadinessAsReportsArrive(t *testing.T) {
	for _, c := range []struct {
		waited          time.Duration
		servers, silent int
		ready           bool
	}{
		{0, 0, 0, true}, {0, 9, 1, false}, {0, 117, 12, false}, {0, 117, 11, true},
		{reportTime, 9, 1, true}, {reportTime, 9, 4, true}, {reportTime, 9, 5, false},
		{startGrace, 9, 9, true},
	} {
		var list []*fleet.Endpoint
		for i := range c.servers {
			e := &fleet.Endpoint{State: fleet.Ready, Runtime: fleet.NewRuntime()}
			if i >= c.silent {
				e.Runtime.SetStatus(&fleet.Status{})
			}
			list = append(list, e)
		}
		leaving := &fleet.Endpoint{State: fleet.Draining, Runtime: fleet.NewRuntime()}
		assert.Equal(t, enoughReported(c.waited, append(list, leaving)), c.ready, "%+v", c)
	}
}
