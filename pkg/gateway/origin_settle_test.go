package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/origin"
)

// resumeResult is what became of a resumed stream.
type resumeResult struct {
	version string
	fail    *failure
	took    time.Duration
}

// resume passes a request that resumes stream r1 through the origin filter of an entry.
func (s *fleetSim) resume(e *fleetEntry, limit time.Duration) resumeResult {
	x := s.exchange(e, Call{RequestID: "r2", Resumes: "r1", LastEventID: "1"})
	x.deadline = x.started.Add(limit)
	fail := chain(originFilter{e.gateway})(s.t.Context(), x)
	r := resumeResult{fail: fail, took: time.Since(x.started)}
	if v := x.software.Load(); v != nil {
		r.version = *v
	}
	return r
}

// newPartialFleet returns a fleet with servers of v1 and, in the last place, one of v2,
// which is all that the returned entry knows. It has just started.
func newPartialFleet(t *testing.T) (*fleetSim, *fleetEntry) {
	t.Helper()
	s := newFleetSim(t, 1)
	t.Cleanup(s.stop)
	v := s.addServer(fleetServers-1, "v2")
	e := s.startEntry()
	s.entries = append(s.entries, e)
	s.addEndpoint(e, v)
	return s, e
}

// Guards against a new entry that takes a partial list of servers for the whole and
// continues a stream at the only software version of that list. The server that began the
// stream, and the record beside it, are back 2 s after the store.
func TestNewEntryWaitsForTheWholeDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newPartialFleet(t)
		for _, v := range s.servers[:fleetServers-1] {
			v.registry.Add(origin.Record{Stream: origin.ID("r1"), Origin: origin.Origin{Service: modelService, SoftwareVersion: "v1"}, At: time.Now()})
		}
		time.AfterFunc(2*time.Second, func() {
			for _, v := range s.servers[:fleetServers-1] {
				s.addEndpoint(e, v)
			}
		})
		r := s.resume(e, 5*time.Second)
		assert.Assert(t, r.fail == nil, "%+v", r.fail)
		assert.Equal(t, r.version, "v1")
		assert.Equal(t, r.took, directorySettleTime)
	})
}

// Guards against refusing, or holding until the directory is complete, the streams of a
// service that has one version, at a new entry whose sidecars have known all versions for
// long.
func TestNewEntryContinuesAtTheOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newPartialFleet(t)
		s.servers[fleetServers-1].registry.VersionsKnown(origin.Period{Since: time.Now().Add(-streamAge(&streamRoute)), Until: time.Now()})
		r := s.resume(e, time.Second)
		assert.Assert(t, r.fail == nil, "%+v", r.fail)
		assert.Equal(t, r.version, "v2")
		assert.Equal(t, r.took, time.Duration(0))
	})
}

// Guards against an entry that takes what it and its sidecars know since their start for all
// that served before, and against refusing for longer than streams last.
func TestNewFleetContinuesOnlyYoungStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newPartialFleet(t)
		r := s.resume(e, 5*time.Second)
		assert.Assert(t, r.fail != nil, "continued at %s", r.version)
		assert.Equal(t, r.took, directorySettleTime)
		time.Sleep(streamAge(&streamRoute) + unchangedInterval)
		assert.Equal(t, s.resume(e, time.Second).version, "v2")
	})
}

// Guards against holding a request until its caller has gone, and against a Retry-After
// that leads to another refusal.
func TestNewEntryRefusesCallersThatLeaveTooSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newPartialFleet(t)
		time.Sleep(time.Second)
		left := directorySettleTime - time.Second
		r := s.resume(e, left+continueMargin-1)
		assert.Assert(t, r.fail != nil, "continued at %s", r.version)
		assert.Equal(t, r.fail.retryAfter, left)
		assert.Equal(t, r.took, time.Duration(0))
	})
}

// Guards against delaying the streams whose origin is known, and those that no later
// list could let continue, while the directory is incomplete.
func TestNewEntryDelaysNoKnownStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newPartialFleet(t)
		s.addEndpoint(e, s.servers[0])
		r := s.resume(e, 5*time.Second)
		assert.Assert(t, r.fail != nil, "continued at %s", r.version)
		assert.Equal(t, r.took, time.Duration(0))
		assert.Equal(t, r.fail.retryAfter, directorySettleTime)
		s.servers[0].registry.Add(origin.Record{Stream: origin.ID("r1"), Origin: origin.Origin{Service: modelService, SoftwareVersion: "v1"}, At: time.Now()})
		r = s.resume(e, time.Second)
		assert.Equal(t, r.version, "v1")
		assert.Equal(t, r.took, time.Duration(0))
	})
}

// Guards against a wait that goes on after the caller has left.
func TestWaitForTheDirectoryEndsWithTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newPartialFleet(t)
		x := s.exchange(e, Call{RequestID: "r2", Resumes: "r1", LastEventID: "1"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		fail := chain(originFilter{e.gateway})(ctx, x)
		assert.Assert(t, fail != nil)
		assert.Equal(t, time.Since(x.started), time.Second)
	})
}
