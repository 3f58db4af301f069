package endpoint

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

var errNoAuthority = errors.New("not allowed to send commands to the engine")

// submitEvent passes an attempt to the scheduler. The decision is sent to result.
type submitEvent struct {
	work   scheduler.Work
	result chan decision
}

func (ev submitEvent) apply(c *control, now time.Time) {
	if c.sched == nil {
		c.e.ledger.Refuse(now, ev.work.ID, now)
		c.e.metrics.recordRefusal(fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY)
		ev.result <- decision{reason: fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY}
		return
	}
	c.waiters[ev.work.ID] = ev.result
	c.perform(c.sched.Submit(now, ev.work))
}

// runDoneEvent tells the scheduler that a started attempt has ended.
type runDoneEvent struct{ id ident.AttemptID }

func (ev runDoneEvent) apply(c *control, now time.Time) { c.perform(c.sched.RunDone(now, ev.id)) }

// revokeEvent removes an attempt from the scheduler's queue.
type revokeEvent struct{ id ident.AttemptID }

func (ev revokeEvent) apply(c *control, now time.Time) {
	if c.sched == nil {
		return
	}
	actions, _ := c.sched.Revoke(now, ev.id)
	c.perform(actions)
}

// commandDoneEvent is the result of a load or unload command.
type commandDoneEvent struct {
	adapter ident.Adapter
	id      scheduler.CommandID
	load    bool
	token   uint64
	err     error
	took    time.Duration
}

func (ev commandDoneEvent) apply(c *control, now time.Time) {
	if ev.err != nil {
		c.log.Warn().Err(ev.err).Str("adapter", ev.adapter.String()).Msg("engine command failed")
	}
	if errors.Is(ev.err, engine.ErrFenced) {
		c.tokenRejected(ev.token)
		c.updateGate(now)
	}
	if ev.load {
		c.perform(ev.loadEnded(c, now))
	} else {
		c.perform(ev.unloadEnded(c, now))
	}
	c.pollSoon = c.pollSoon || ev.err != nil
}

// hadNoEffect reports whether the command is known not to have changed the engine.
func (ev commandDoneEvent) hadNoEffect() bool {
	return errors.IsAny(ev.err, errNoAuthority, engine.ErrFenced)
}

func (ev commandDoneEvent) loadEnded(c *control, now time.Time) []scheduler.Action {
	switch {
	case ev.err == nil:
		c.e.metrics.recordLoad(ev.took)
		c.log.Info().Str("adapter", ev.adapter.String()).Uint("load_ms", uint64(ev.took.Milliseconds())).Msg("adapter loaded")
		return c.sched.LoadDone(now, ev.adapter, ev.id)
	case ev.hadNoEffect() || errors.Is(ev.err, engine.ErrRefused):
		c.e.metrics.loadFailures.Inc(1)
		return c.sched.LoadFailed(now, ev.adapter, ev.id)
	default:
		c.e.metrics.loadFailures.Inc(1)
		return c.sched.CommandOutcomeUnknown(now, ev.adapter, ev.id)
	}
}

func (ev commandDoneEvent) unloadEnded(c *control, now time.Time) []scheduler.Action {
	c.e.metrics.recordEviction(ev.err)
	switch {
	case ev.err == nil || ev.hadNoEffect() || errors.Is(ev.err, engine.ErrNotResident):
		return c.sched.UnloadDone(now, ev.adapter, ev.id, ev.err == nil)
	default:
		return c.sched.CommandOutcomeUnknown(now, ev.adapter, ev.id)
	}
}

// permitEvent grants the load of an adapter, or, if queued, confirms that the entry
// has queued the permit request.
type permitEvent struct {
	adapter ident.Adapter
	queued  bool
}

func (ev permitEvent) apply(c *control, now time.Time) {
	switch {
	case c.sched == nil:
	case ev.queued:
		c.sched.PermitQueued(now)
	default:
		c.perform(c.sched.PermitGranted(now, ev.adapter))
	}
}

// permitsLostEvent tells the scheduler that another entry has become the permit
// coordinator, or that there is none any more.
type permitsLostEvent struct{}

func (permitsLostEvent) apply(c *control, now time.Time) {
	if c.sched != nil {
		c.perform(c.sched.PermitsLost(now))
	}
}

// leaveEvent makes the scheduler refuse new work.
type leaveEvent struct{}

func (leaveEvent) apply(c *control, _ time.Time) {
	if c.sched != nil {
		c.sched.Leave()
	}
}

// idleEvent registers a channel that is closed once nothing is queued or running and
// no command is pending.
type idleEvent struct{ ch chan struct{} }

func (ev idleEvent) apply(c *control, _ time.Time) { c.idleWaiters = append(c.idleWaiters, ev.ch) }

// unfinishedEvent requests the list of attempts that have not ended.
type unfinishedEvent struct{ out chan<- []scheduler.Unfinished }

func (ev unfinishedEvent) apply(c *control, _ time.Time) {
	if c.sched == nil {
		ev.out <- nil
		return
	}
	ev.out <- c.sched.Unfinished()
}

// tickEvent runs the periodic work: it removes old attempts from the ledger, updates
// the metrics of the positions, applies a new bundle and checks the authority and
// deadlines.
type tickEvent struct{}

func (tickEvent) apply(c *control, now time.Time) {
	c.e.ledger.Expire(now)
	if c.sched == nil {
		return
	}
	c.measurePositions(now)
	c.applyBundle()
	c.updateGate(now)
	c.perform(c.sched.Tick(now))
}

// applyBundle passes the scheduling weights of the active bundle to the scheduler if
// the bundle has changed.
func (c *control) applyBundle() {
	b := c.e.bundles.Current()
	if b == nil || b.Version() == c.appliedBundle {
		return
	}
	c.appliedBundle = b.Version()
	d := b.Deployment()
	c.sched.ApplyConfig(d.StallWeight, d.BatchWeight)
}

// measurePositions adds the time since the last tick, multiplied by the used and by
// all positions, to the metrics.
func (c *control) measurePositions(now time.Time) {
	if !c.lastTick.IsZero() {
		st := c.sched.Stats()
		used := min(st.Running+st.Foreign, c.limits.Positions)
		c.e.metrics.recordPositions(now.Sub(c.lastTick), used, c.limits.Positions)
	}
	c.lastTick = now
}
