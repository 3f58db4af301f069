package sidecar

import (
	"context"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
	"github.com/fescuecourse/fescuecourse/pkg/route"
	"github.com/fescuecourse/fescuecourse/pkg/upstream"
)

// fakeServer is a model server that accepts every order and counts the queries of
// its id and of its report.
type fakeServer struct {
	id      fleet.ID
	report  residency.Report
	asked   int
	reports int
	// backoff is the time for which the server asks for a backoff, or 0.
	backoff time.Duration
	// repeated are earlier reports that are returned before the current one.
	repeated []residency.Report
	// fails is the error of reads of the report, or nil.
	fails error
}

func (s *fakeServer) Report(context.Context) (residency.Report, error) {
	s.reports++
	if s.fails != nil {
		return residency.Report{}, s.fails
	}
	if s.backoff > 0 {
		return residency.Report{}, &upstream.BackoffError{For: s.backoff}
	}
	if len(s.repeated) > 0 {
		r := s.repeated[0]
		s.repeated = s.repeated[1:]
		return r, nil
	}
	return s.report, nil
}

func (s *fakeServer) Order(context.Context, fleet.ID, residency.Order) error { return nil }

func (s *fakeServer) Instance(context.Context, string) (fleet.ID, error) {
	s.asked++
	return s.id, nil
}

// newTestSidecar returns a Sidecar that has read the report and the id of srv once.
func newTestSidecar(t *testing.T, srv *fakeServer) (*Sidecar, *fleet.Snapshot) {
	t.Helper()
	s := New(Settings{ID: "p1", Service: "pool"}, nil, nil, srv, logging.Nop())
	s.directory.SetConfig(route.Config{Version: 1, Services: []route.Service{{Name: "pool", Engine: &route.Engine{MaxAdapters: 4}}}})
	snap := s.snapshot()
	assert.Assert(t, s.readReport(t.Context(), snap))
	return s, snap
}

// Guards against losing the demand history and the load limit while entries still
// name an earlier lifetime of the server, as all of them do after a power failure.
func TestPlannerSurvivesAnEntryWithAnOldInstance(t *testing.T) {
	srv := &fakeServer{id: "i-2"}
	s, snap := newTestSidecar(t, srv)
	k := fleet.AdapterKey{Model: "m", Name: "a1"}
	s.planner.Arrived(time.Unix(9, 0), k, 5)
	planner := s.planner
	for range 3 {
		p := &peer{arrivals: map[fleet.AdapterKey]int{}, notify: make(chan struct{}, 1)}
		s.hub.entries[p] = struct{}{}
		s.hub.record(p, demandOf("i-1", 0))
		assert.Assert(t, s.readReport(t.Context(), snap))
	}
	assert.Assert(t, s.planner == planner, "the planner was replaced")
	assert.Equal(t, s.instance, fleet.ID("i-2"))
	assert.Equal(t, srv.asked, 2, "one look for the first report, one for the old instance")
}

// Guards against using the demand history and the load limit of one lifetime of the
// server in the next one, whether or not its id changes.
func TestPlannerBelongsToOneLifetime(t *testing.T) {
	for name, change := range map[string]func(*fakeServer){
		"born again under its id": func(s *fakeServer) { s.report.Born = 7 },
		"restarted":               func(s *fakeServer) { s.report.Sequence = 0 },
	} {
		srv := &fakeServer{id: "i-1", report: residency.Report{Born: 1, Sequence: 3}}
		s, snap := newTestSidecar(t, srv)
		planner := s.planner
		change(srv)
		assert.Assert(t, s.readReport(t.Context(), snap), name)
		assert.Assert(t, s.planner != planner, name)
	}
	srv := &fakeServer{id: "i-1"}
	s, snap := newTestSidecar(t, srv)
	planner := s.planner
	srv.id = "i-2"
	p := &peer{arrivals: map[fleet.AdapterKey]int{}, notify: make(chan struct{}, 1)}
	s.hub.entries[p] = struct{}{}
	s.hub.record(p, demandOf("i-2", 0))
	assert.Assert(t, s.readReport(t.Context(), snap))
	assert.Equal(t, s.instance, fleet.ID("i-2"))
	assert.Assert(t, s.planner != planner, "the planner of another instance")
}

// Guards against reports and orders that reach a server which has asked its sidecar for a
// backoff, and against a server that counts as down meanwhile.
func TestServerInBackoffIsNotCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv := &fakeServer{id: "i-1"}
		s, _ := newTestSidecar(t, srv)
		s.step(t.Context())
		srv.backoff = 3 * time.Second
		s.step(t.Context())
		reports := srv.reports
		for range 29 {
			time.Sleep(100 * time.Millisecond)
			s.step(t.Context())
		}
		assert.Equal(t, srv.reports, reports)
		assert.Assert(t, !s.hub.state.GetDown())
		srv.backoff = 0
		time.Sleep(100 * time.Millisecond)
		s.step(t.Context())
		assert.Equal(t, srv.reports, reports+1)
	})
}

// Guards against a backoff that outlasts the lifetime of the server that has asked for it.
func TestBackoffEndsWithTheLifetimeOfTheServer(t *testing.T) {
	srv := &fakeServer{id: "i-1", backoff: 0}
	s, _ := newTestSidecar(t, srv)
	srv.backoff = time.Minute
	s.step(t.Context())
	srv.backoff, srv.id = 0, "i-2"
	p := &peer{arrivals: map[fleet.AdapterKey]int{}, notify: make(chan struct{}, 1)}
	s.hub.entries[p] = struct{}{}
	s.hub.record(p, demandOf("i-2", 0))
	s.step(t.Context())
	assert.Equal(t, s.instance, fleet.ID("i-2"))
}

// Guards against entries that are told that a server takes requests again after it has said that
// it leaves, and against another lifetime of the server that counts as leaving.
func TestLeavingServerStaysDraining(t *testing.T) {
	srv := &fakeServer{id: "i-1", report: residency.Report{Born: 1}}
	s, _ := newTestSidecar(t, srv)
	for _, leaving := range []bool{false, true, false} {
		srv.report.Leaving = leaving
		s.step(t.Context())
	}
	assert.Assert(t, s.hub.state.GetDraining())
	srv.report.Born, srv.id = 2, "i-2"
	s.step(t.Context())
	assert.Assert(t, !s.hub.state.GetDraining())
}

// Guards against taking a report that the server repeats for a restart: what is known of the
// lifetime would be lost, and orders would be based on what the server held before.
func TestRepeatedReportIsNoRestart(t *testing.T) {
	srv := &fakeServer{id: "i-1", report: residency.Report{Born: 1, Sequence: 3}}
	s, snap := newTestSidecar(t, srv)
	srv.report.Sequence = 5
	assert.Assert(t, s.readReport(t.Context(), snap))
	planner := s.planner
	srv.repeated = []residency.Report{{Born: 1, Sequence: 3}}
	assert.Assert(t, s.readReport(t.Context(), snap))
	assert.Assert(t, s.planner == planner, "the planner was replaced")
	assert.Equal(t, s.report.Sequence, int64(5))
	assert.Equal(t, srv.asked, 1)
}

// Guards against work that is taken from a server that leaves: it closes its listener first and
// serves on. One that has crashed ends its connections itself. A server that does not answer at
// all is down.
func TestServerThatTakesNoConnectionsIsNotDown(t *testing.T) {
	for _, c := range []struct {
		err            error
		down, draining bool
	}{
		{errors.Wrap(syscall.ECONNREFUSED, "dial"), false, true},
		{context.DeadlineExceeded, true, false},
		{io.ErrUnexpectedEOF, true, false},
	} {
		srv := &fakeServer{id: "i-1"}
		s, _ := newTestSidecar(t, srv)
		s.step(t.Context())
		srv.fails = c.err
		s.step(t.Context())
		assert.Equal(t, s.hub.state.GetDown(), c.down, "%v", c.err)
		assert.Equal(t, s.hub.state.GetDraining(), c.draining, "%v", c.err)
		srv.fails = nil
		s.step(t.Context())
		assert.Assert(t, !s.hub.state.GetDown() && !s.hub.state.GetDraining(), "%v", c.err)
	}
}
