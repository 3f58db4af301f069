package endpoint

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

var errNoAuthority = errors.New("no authority to give commands to the engine")

// submitEvent queues an attempt.
type submitEvent struct {
	work   scheduler.Work
	result chan verdict
}

func (ev submitEvent) apply(c *control, now time.Time) {
	if c.sched == nil {
		c.e.ledger.Refuse(now, ev.work.ID, now)
		c.e.metrics.refused(fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY)
		ev.result <- verdict{reason: fescuev1.NotRunReason_NOT_RUN_REASON_NOT_READY}
		return
	}
	c.waiters[ev.work.ID] = ev.result
	c.perform(c.sched.Submit(now, ev.work))
}

// runDoneEvent ends a started attempt.
type runDoneEvent struct{ id ident.AttemptID }

func (ev runDoneEvent) apply(c *control, now time.Time) { c.perform(c.sched.RunDone(now, ev.id)) }

// revokeEvent removes an attempt from the queue.
type revokeEvent struct{ id ident.AttemptID }

func (ev revokeEvent) apply(c *control, now time.Time) {
	if c.sched == nil {
		return
	}
	actions, _ := c.sched.Revoke(now, ev.id)
	c.perform(actions)
}

// commandDoneEvent ends a load or unload command.
type commandDoneEvent struct {
	adapter ident.Adapter
	id      scheduler.CommandID
	load    bool
	err     error
	took    time.Duration
}

func (ev commandDoneEvent) apply(c *control, now time.Time) {
	if ev.err != nil {
		c.log.Warn().Err(ev.err).Str("adapter", ev.adapter.String()).Msg("engine command failed")
	}
	switch {
	case !ev.load:
		c.e.metrics.evicted(ev.err)
		c.perform(c.sched.UnloadDone(now, ev.adapter, ev.id, ev.err == nil))
	case ev.err != nil:
		c.e.metrics.loadFailures.Inc(1)
		c.perform(c.sched.LoadFailed(now, ev.adapter, ev.id))
	default:
		c.e.metrics.loaded(ev.took)
		c.log.Info().Str("adapter", ev.adapter.String()).Uint("load_ms", uint64(ev.took.Milliseconds())).Msg("adapter loaded")
		c.perform(c.sched.LoadDone(now, ev.adapter, ev.id))
	}
}

// permitEvent grants a load, or states that the request for it waits for its turn.
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

// permitsLostEvent states that another entry grants permits from now on.
type permitsLostEvent struct{}

func (permitsLostEvent) apply(c *control, now time.Time) {
	if c.sched != nil {
		c.perform(c.sched.PermitsLost(now))
	}
}

// engineStatusEvent carries the state that the engine reports, and the control
// state from before the request.
type engineStatusEvent struct {
	status engine.Status
	before *snapshot
}

func (ev engineStatusEvent) apply(c *control, now time.Time) {
	if ev.status.BootID == c.bootID {
		ev.reconcile(c, now)
		return
	}
	c.e.log.For(logging.PartEndpoint).Info().Str("boot", ev.status.BootID).Int("residents", len(ev.status.Residents)).Msg("engine started")
	c.bootID = ev.status.BootID
	if c.sched == nil {
		c.limits = scheduler.Config{Slots: ev.status.SlotsTotal, Positions: ev.status.PositionsTotal, MaxQueued: c.e.set.MaxQueued, ShareInterval: c.e.set.ShareInterval, Evictor: c.e.set.evictor()}
		c.sched = scheduler.New(c.limits)
		if c.e.leaving.Load() {
			c.sched.Leave()
		}
	}
	c.synced = true
	c.limits.Slots, c.limits.Positions = ev.status.SlotsTotal, ev.status.PositionsTotal
	c.sched.SetCapacity(c.limits.Slots, c.limits.Positions)
	c.perform(c.sched.EngineRestarted(now, parseAdapters(ev.status.Residents)))
	tickEvent{}.apply(c, now)
}

// reconcile adopts the engine's resident adapters if no command ran meanwhile.
func (ev engineStatusEvent) reconcile(c *control, now time.Time) {
	if ev.before.quiet {
		c.perform(c.sched.Reconcile(now, ev.before.commands, parseAdapters(ev.status.Residents)))
	}
}

func parseAdapters(names []string) []ident.Adapter {
	var out []ident.Adapter
	for _, n := range names {
		if a, err := ident.ParseAdapter(n); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// leaveEvent stops the acceptance of new work.
type leaveEvent struct{}

func (leaveEvent) apply(c *control, _ time.Time) {
	if c.sched != nil {
		c.sched.Leave()
	}
}

// idleEvent registers a channel that is closed once nothing runs.
type idleEvent struct{ ch chan struct{} }

func (ev idleEvent) apply(c *control, _ time.Time) { c.idleWait = append(c.idleWait, ev.ch) }

// tickEvent drives deadlines and the check of the authority.
type tickEvent struct{}

func (tickEvent) apply(c *control, now time.Time) {
	c.e.ledger.Expire(now)
	if c.sched == nil {
		return
	}
	c.measure(now)
	c.applyBundle()
	if _, ok := c.e.authority.Token(); ok != c.canLoad {
		c.canLoad = ok
		c.perform(c.sched.SetAuthority(now, ok))
	}
	c.perform(c.sched.Tick(now))
}

// applyBundle passes the weights of a newly adopted bundle to the scheduler.
func (c *control) applyBundle() {
	b := c.e.bundles.Current()
	if b == nil || b.Version() == c.applied {
		return
	}
	c.applied = b.Version()
	d := b.Deployment()
	c.sched.ApplyConfig(d.StallWeight, d.BatchWeight)
}

// measure adds the time since the last tick to the used and offered positions.
func (c *control) measure(now time.Time) {
	if !c.ticked.IsZero() {
		c.e.metrics.positions(now.Sub(c.ticked), c.sched.Stats().Running, c.limits.Positions)
	}
	c.ticked = now
}
