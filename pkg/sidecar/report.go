package sidecar

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
)

// callTimeout limits the calls that read the report and the id of the server.
const callTimeout = 300 * time.Millisecond

// readReport fetches the report into s.report. It returns false if the server does
// not respond or the id of its current lifetime cannot be determined.
func (s *Sidecar) readReport(ctx context.Context, snap *fleet.Snapshot) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	log := s.log.For(logging.ComponentEndpoint)
	r, err := s.server.Report(call)
	if err == nil && s.isOlder(&r) {
		r, err = s.server.Report(call)
	}
	if s.backsOff(err) {
		return false
	}
	s.refusesConnections = errors.Is(err, syscall.ECONNREFUSED)
	if err != nil {
		if s.reachable && ctx.Err() == nil {
			log.Warn().Err(err).Msg("dependency lost: server")
		}
		s.reachable = false
		return false
	}
	if s.report == nil || s.report.Born != r.Born || r.Sequence < s.report.Sequence {
		s.resetForRestart()
	}
	if s.hub.namesOtherInstance(string(s.instance)) {
		s.instance = ""
	}
	s.report = &r
	s.recordLeaving(&r)
	if _, held := r.Residents[s.unloading]; !held || !r.Busy {
		s.unloading = fleet.AdapterKey{}
	}
	if s.instance == "" && !s.identify(call, snap) {
		return false
	}
	if !s.reachable {
		log.Info().Str("instance", string(s.instance)).Msg("dependency regained: server")
	}
	s.reachable = true
	return true
}

// isOlder reports whether a report seems to be from before the last one. A faulty server may
// repeat an earlier response, which is taken for the one to the next request on its connection;
// a server that has restarted says the same when it is asked again.
func (s *Sidecar) isOlder(r *residency.Report) bool {
	return s.report != nil && r.Born == s.report.Born && r.Sequence < s.report.Sequence
}

// resetForRestart discards what is known about the previous lifetime of the server.
func (s *Sidecar) resetForRestart() {
	s.instance, s.plannerInstance = "", ""
	s.planner = residency.New()
	s.leaving = false
}

// recordLeaving records whether the response with a report says that the server leaves.
func (s *Sidecar) recordLeaving(r *residency.Report) {
	if !r.Leaving || s.leaving {
		return
	}
	s.leaving = true
	s.log.For(logging.ComponentEndpoint).Info().
		Str("instance", string(s.instance)).
		Bool("draining", r.Draining).
		Msg("server says that it leaves")
}

// identify queries the id of the server. If it differs from the previous one, the
// server has restarted and the planner is replaced.
func (s *Sidecar) identify(ctx context.Context, snap *fleet.Snapshot) bool {
	if snap.Table == nil || snap.Table.Service(s.settings.Service) == nil {
		return false
	}
	id, err := s.server.Instance(ctx, snap.Table.Service(s.settings.Service).HealthPath)
	if s.backsOff(err) {
		return false
	}
	if err != nil {
		s.log.For(logging.ComponentEndpoint).Debug().Err(err).Msg("cannot determine the instance id of the server yet")
		return false
	}
	s.instance = id
	if id == s.plannerInstance {
		return true // an entry that named an earlier lifetime caused the query
	}
	if s.plannerInstance != "" {
		s.planner = residency.New()
		s.leaving = s.report.Leaving
	}
	s.plannerInstance = id
	s.log.For(logging.ComponentEndpoint).Info().
		Str("instance", string(id)).
		Uint("born", uint64(s.report.Born)).
		Int("models", len(s.report.Models)).
		Int("adapters", len(s.report.Residents)).
		Msg("server identified")
	return true
}
