package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// sentUpdate is an update that was sent to a recordingStream.
type sentUpdate struct {
	at      time.Duration
	message *fescuev1.DemandUpdate
}

// recordingStream records the updates that a link sends.
type recordingStream struct {
	grpc.BidiStreamingClient[fescuev1.DemandUpdate, fescuev1.ServerState]
	began time.Time
	mu    sync.Mutex
	sent  []sentUpdate
}

func (s *recordingStream) Send(m *fescuev1.DemandUpdate) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, sentUpdate{at: time.Since(s.began), message: m})
	return nil
}

// take returns the updates since the last call, once all goroutines are idle.
func (s *recordingStream) take() []sentUpdate {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sent
	s.sent = nil
	return sent
}

// startSending runs the sending part of a link until the test ends.
func startSending(t *testing.T, d *demand, origins *originLink) *recordingStream {
	t.Helper()
	s := &recordingStream{began: time.Now()}
	l := &link{endpoint: &fleet.Endpoint{Runtime: fleet.NewRuntime()}, demand: d, origins: origins, software: &atomic.Pointer[softwareList]{}, softwareKnown: nothingKnown, reloads: noReloads(), log: logging.Nop()}
	l.loads.total = &atomic.Int64{}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go l.send(ctx, cancel, s)
	return s
}

// Guards against an origin that is sent late, and against a message with an origin and
// without the demand, which a sidecar would take for the end of all demand.
func TestOriginIsSentAtOnceWithTheDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, l := newDemand(), newOriginLink()
		d.start(adapterKey, 0)
		s := startSending(t, d, l)
		time.Sleep(unchangedInterval + demandInterval/2) // between two updates
		s.take()
		for i := range origin.StreamID(3) {
			began := time.Since(s.began)
			assert.Assert(t, l.add(origin.Record{Stream: i, At: time.Now()}, true))
			sent := s.take()
			assert.Equal(t, len(sent), 1)
			assert.Equal(t, sent[0].at, began)
			m := sent[0].message
			assert.Equal(t, len(m.GetStreamOrigins()), 1)
			assert.DeepEqual(t, m.GetStreamOrigins()[0].GetStreams(), []uint64{uint64(i)})
			assert.Equal(t, len(m.GetAdapters()), 1)
			assert.Equal(t, m.GetAdapters()[0].GetInFlight(), uint32(1))
			time.Sleep(demandInterval / 10)
		}
	})
}

// Guards against a message for each origin at the holders that may get it later.
func TestOriginsWaitForTheNextUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newOriginLink()
		s := startSending(t, newDemand(), l)
		s.take()
		for i := range origin.StreamID(10) {
			assert.Assert(t, !l.add(origin.Record{Stream: i, At: time.Now()}, false))
			time.Sleep(demandInterval / 20)
		}
		assert.Equal(t, len(s.take()), 0)
		time.Sleep(demandInterval)
		sent := s.take()
		assert.Equal(t, len(sent), 1)
		assert.Equal(t, sent[0].at, demandInterval)
		assert.Equal(t, len(sent[0].message.GetStreamOrigins()[0].GetStreams()), 10)
	})
}

// Guards against a second message without news after an update that went out while the
// origin was added.
func TestOriginThatIsSentAlreadyCausesNoMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newOriginLink()
		s := startSending(t, newDemand(), l)
		s.take()
		l.due <- struct{}{}
		assert.Equal(t, len(s.take()), 0)
	})
}

// Guards against an origin that no holder gets at once because the first one is not
// connected, and against one that all get at once.
func TestOriginIsSentAtOnceToOneConnectedHolder(t *testing.T) {
	for _, connected := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newFleetSim(t, 1)
			t.Cleanup(s.stop)
			e := s.entries[0]
			time.Sleep(time.Second) // connects all links
			stream := origin.ID("r1")
			first := e.gateway.origins.holdersOf(stream)[0]
			if !connected {
				e.gateway.origins.link(first).addSenders(-1)
			}
			s.begin(e, "r1")
			synctest.Wait()
			var have []fleet.ID
			for _, v := range s.servers {
				if _, ok := v.registry.Find(time.Now(), stream); ok {
					have = append(have, v.item.ID)
				}
			}
			assert.Equal(t, len(have), 1)
			assert.Equal(t, have[0] == first.ID, connected)
		})
	}
}

// Guards against origins that cost an entry of the target size as many messages as there
// are holders: an update with an origin replaces the regular one of the same second. The
// fleet is a tenth of the target size, with as many streams for each link.
func TestMessagesForOrigins(t *testing.T) {
	const (
		links       = 280
		streamPause = time.Second * 10 / 39
		streams     = 300
		// maxExtra is about half of the messages that three for each stream would be.
		maxExtra = 1.5
	)
	count := func(streams int) int {
		sent := 0
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			var all []*originLink
			var recorded []*recordingStream
			for range links {
				l := newOriginLink()
				all, recorded = append(all, l), append(recorded, startSending(t, newDemand(), l))
				time.Sleep(unchangedInterval / links)
			}
			end := time.Now().Add(streamPause * 300)
			for i := range streams {
				for n, holder := range rng.Perm(links)[:3] {
					all[holder].add(origin.Record{Stream: origin.StreamID(i), At: time.Now()}, n == 0)
				}
				time.Sleep(streamPause)
			}
			time.Sleep(time.Until(end))
			for _, r := range recorded {
				sent += len(r.take())
			}
		})
		return sent
	}
	without, with := count(0), count(streams)
	extra := float64(with-without) / streams
	t.Logf("%d messages without streams, %d with %d streams: %.2f more for each", without, with, streams, extra)
	assert.Assert(t, extra > 0 && extra < maxExtra)
}

// Guards against a sidecar that restarts and gets only the origins that are new on its
// second connection.
func TestNewConnectionSendsAllOriginsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newOriginLink()
		for i := range 3 {
			l.add(origin.Record{Stream: origin.StreamID(i), At: time.Now()}, false)
			sent := startSending(t, newDemand(), l).take()
			assert.Equal(t, len(sent), 1)
			assert.Equal(t, len(sent[0].message.GetStreamOrigins()[0].GetStreams()), i+1)
		}
	})
}

// Guards against a sidecar that restarts and never gets the origins again, and against
// unbounded memory while one is unreachable.
func TestOriginsAreKeptForANewConnection(t *testing.T) {
	l := newOriginLink()
	now := time.Unix(1000, 0)
	for i := range origin.StreamID(maxLinkOrigins + 5) {
		l.add(origin.Record{Stream: i, At: now}, false)
	}
	_, next := l.since(0)
	origins, _ := l.since(0)
	assert.Equal(t, len(origins[0].GetStreams()), maxLinkOrigins)
	l.add(origin.Record{Stream: 1 << 40, At: now.Add(origin.Retention + 1)}, false)
	origins, _ = l.since(next)
	assert.DeepEqual(t, origins[0].GetStreams(), []uint64{1 << 40})
	origins, _ = l.since(0)
	assert.Equal(t, len(origins[0].GetStreams()), 1, "older origins are dropped")
}
