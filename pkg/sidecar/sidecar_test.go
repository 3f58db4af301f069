package sidecar

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// fakeServer is a model server that accepts every order and counts the queries of
// its id.
type fakeServer struct {
	id     fleet.ID
	report residency.Report
	asked  int
}

func (s *fakeServer) Report(context.Context) (residency.Report, error) { return s.report, nil }

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
