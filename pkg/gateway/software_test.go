package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// recordedStream keeps the software versions that were announced on it, with the time.
type recordedStream struct {
	grpc.BidiStreamingClient[fescuev1.DemandUpdate, fescuev1.ServerState]
	announced []string
	at        []time.Duration
	began     time.Time
}

func (s *recordedStream) Send(m *fescuev1.DemandUpdate) error {
	text := ""
	for _, o := range m.GetStreamOrigins() {
		text += o.GetService() + "@" + o.GetSoftwareVersion() + " "
	}
	if text != "" {
		s.announced, s.at = append(s.announced, text), append(s.at, time.Since(s.began))
	}
	return nil
}

// Guards against streams that continue at another version at an entry that learns late of
// a version, after the sidecars with the records were restarted: some holder has to know
// that there is another version. Also guards against announcing versions while each
// service has a single one.
func TestSeveralSoftwareVersionsAreAnnounced(t *testing.T) {
	w := newTestGateway(t, streamRoute)
	c := w.gateway.control
	synctest.Test(t, func(t *testing.T) {
		add := func(id fleet.ID, version string) {
			w.directory.SetEndpoint(time.Now(), fleet.Endpoint{ID: id, Service: modelService, SoftwareVersion: version, State: fleet.Ready})
			c.show(w.directory.Snapshot())
		}
		add("i-1", "v1")
		l := &link{endpoint: &fleet.Endpoint{Runtime: fleet.NewRuntime()}, demand: newDemand(), origins: newOriginLink(), software: &c.software, softwareKnown: nothingKnown, reloads: &c.reloads, log: logging.Nop()}
		l.loads.total = c.serviceLoads(modelService)
		s := &recordedStream{began: time.Now()}
		go l.send(t.Context(), func() {}, s)
		time.Sleep(10*time.Second + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(s.announced), 0)
		add("i-2", "v2")
		time.Sleep(softwareInterval + time.Second)
		synctest.Wait()
		assert.DeepEqual(t, s.announced, []string{"pool@v1 pool@v2 ", "pool@v1 pool@v2 "})
		assert.Assert(t, s.at[0] <= 10*time.Second+demandInterval, "announced after %s", s.at[0])
		assert.Assert(t, s.at[1]-s.at[0] <= softwareInterval+demandInterval)
	})
}
