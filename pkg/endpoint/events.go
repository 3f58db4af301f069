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
		c.e.ledger.Refuse(now, ev.work.ID)
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
		c.perform(c.sched.UnloadDone(now, ev.adapter, ev.err == nil))
	case ev.err != nil:
		c.perform(c.sched.LoadFailed(now, ev.adapter))
	default:
		c.log.Info().Str("adapter", ev.adapter.String()).Uint("load_ms", uint64(ev.took.Milliseconds())).Msg("adapter loaded")
		c.perform(c.sched.LoadDone(now, ev.adapter))
	}
}

// permitEvent grants a load.
type permitEvent struct{ adapter ident.Adapter }

func (ev permitEvent) apply(c *control, now time.Time) {
	if c.sched != nil {
		c.perform(c.sched.PermitGranted(now, ev.adapter))
	}
}

// engineStatusEvent carries the state that the engine reports.
type engineStatusEvent struct{ status engine.Status }

func (ev engineStatusEvent) apply(c *control, now time.Time) {
	if ev.status.BootID == c.bootID {
		return
	}
	c.e.log.For(logging.PartEndpoint).Info().Str("boot", ev.status.BootID).Int("residents", len(ev.status.Residents)).Msg("engine started")
	c.bootID = ev.status.BootID
	if c.sched == nil {
		c.limits = scheduler.Config{Slots: ev.status.SlotsTotal, Positions: ev.status.PositionsTotal, MaxQueued: c.e.set.MaxQueued}
		c.sched = scheduler.New(c.limits)
	}
	c.synced = true
	c.perform(c.sched.SetResidents(now, parseAdapters(ev.status.Residents)))
	tickEvent{}.apply(c, now)
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
	if _, ok := c.e.authority.Token(); ok != c.canLoad {
		c.canLoad = ok
		c.perform(c.sched.SetAuthority(now, ok))
	}
	c.perform(c.sched.Tick(now))
}
