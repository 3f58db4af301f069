package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/endcause"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

const (
	// watchInterval is how often the server of a running attempt is checked.
	watchInterval = 200 * time.Millisecond
	// serverLostAfter is how long both the status reports and the bytes of an attempt must be
	// missing before the server counts as lost. Reports arrive at least every 500 ms.
	serverLostAfter = 1500 * time.Millisecond
	// serverDownAfter is the same for a server that its sidecar reports as down. It exceeds
	// the gaps that routes permit between two events.
	serverDownAfter = 800 * time.Millisecond
	// lostChecks is the number of checks in a row in which a server must count as lost. After
	// a pause of this process, the first one precedes the bytes that have arrived meanwhile.
	lostChecks = 2
)

// canMove reports whether the request may be sent to another server if its current
// server is lost.
func (f sendFilter) canMove(x *exchange) bool {
	return x.forModelServer() && x.repeatable() && x.sends < x.route.MaxAttempts
}

// moveWatch ends an attempt whose server is lost if its request can go on elsewhere.
type moveWatch struct {
	g        *Gateway
	x        *exchange
	endpoint *fleet.Endpoint
	// request is what another server would be chosen by. It excludes those that have failed.
	request locality.Request
}

// newMoveWatch must be called by the goroutine of the request, before the attempt begins.
func newMoveWatch(g *Gateway, x *exchange) *moveWatch {
	r := endpointFilter{g}.request(x)
	r.Excluded = append(slices.Clone(x.excluded), x.endpoint.ID)
	r.Outdated = slices.Clone(x.outdated)
	return &moveWatch{g: g, x: x, endpoint: x.endpoint, request: *r}
}

// run cancels the attempt with endcause.ServerLost when its server is lost and another one
// could continue the request in time. Otherwise the attempt stays with its server.
func (m *moveWatch) run(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	checks := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !m.serverLost(time.Now()) {
			checks = 0
			continue
		}
		checks++
		if checks < lostChecks || !m.continuesElsewhere() {
			continue
		}
		cancel(endcause.ServerLost)
		if endcause.Of(ctx) == endcause.ServerLost {
			m.log()
		}
		return
	}
}

// serverLost reports whether neither the attempt nor the process beside its server has shown a
// sign of the server for too long. Either alone says nothing: a server that leaves takes no new
// connections and serves on, and one that reads a long prompt sends nothing.
func (m *moveWatch) serverLost(now time.Time) bool {
	st := m.endpoint.Runtime.Status()
	if st == nil {
		return false
	}
	silent := m.x.silence(now)
	if st.Down && now.Sub(st.DownSince) >= serverDownAfter && silent >= serverDownAfter {
		return true
	}
	return now.Sub(st.ReceivedAt) >= serverLostAfter && silent >= serverLostAfter
}

// continuesElsewhere reports whether the request, if it left its server now, would be sent to
// another one, and in time: a server has its adapter or can load it before the caller leaves,
// the retry budget allows the attempt, and this entry does not stop before.
func (m *moveWatch) continuesElsewhere() bool {
	now := time.Now()
	r := m.request
	r.Now, r.SoftwareVersion = now, m.x.software.Load()
	s := m.g.control.snapshot.Load()
	endpointFilter{m.g}.setVersions(&r, s.Versions[r.Key])
	choice, ok := m.g.chooser.Choose(&r, s.Services[m.x.service.Name])
	if !ok {
		return false
	}
	// A request without a model can run wherever it is sent.
	choice.Resident = choice.Resident || r.Key.Model == ""
	wait, ok := m.g.chooser.TimeToStart(&r, &choice)
	if !ok || !now.Add(wait).Before(m.x.nextEventBy()) {
		return false
	}
	return m.g.endsInTime(now.Add(wait), choice.Endpoint) &&
		m.g.budget(m.x.service.Name).Allows(now, m.g.set.RetryRatio, m.g.share.Slack(now))
}

func (m *moveWatch) log() {
	now := time.Now()
	ev := m.g.log.For(logging.ComponentRoute).Warn().
		Str("request", m.x.call.RequestID).
		Str("endpoint", string(m.endpoint.ID)).
		Dur("silent_ms", m.x.silence(now))
	if st := m.endpoint.Runtime.Status(); st != nil {
		ev = ev.Bool("down", st.Down).Dur("status_age_ms", now.Sub(st.ReceivedAt))
	}
	ev.Msg("server lost, request moves")
}

// transferred records that bytes of the current attempt have passed. It may be called by
// several goroutines.
func (x *exchange) transferred() { x.lastTransfer.Store(int64(time.Since(x.started))) }

// silence returns the time since the current attempt began or bytes of it have passed.
func (x *exchange) silence(now time.Time) time.Duration {
	return now.Sub(x.started) - time.Duration(x.lastTransfer.Load())
}
