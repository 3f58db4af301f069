package endpoint

import (
	"context"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

// watchEngine reads the engine's state at intervals and when asked to.
func (c *control) watchEngine(ctx context.Context) {
	for {
		c.pollEngine(ctx)
		interval := c.e.timing.enginePoll
		if c.snapshot.Load().unsettled {
			interval = c.e.timing.fastPoll
		}
		t := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-c.poll:
		}
		t.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// pollNow asks for a reading of the engine's state that begins from now on.
func (c *control) pollNow() {
	select {
	case c.poll <- struct{}{}:
	default:
	}
}

func (c *control) pollEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	began := time.Now()
	before := c.snapshot.Load()
	st, err := c.e.engine.Status(ctx)
	if err != nil {
		c.log.Warn().Err(err).Msg("engine does not answer")
		return
	}
	c.send(engineStatusEvent{status: st, began: began, before: before})
}

// engineStatusEvent carries the state that the engine reports, and the control
// state from before the request.
type engineStatusEvent struct {
	status engine.Status
	began  time.Time
	before *snapshot
}

func (ev engineStatusEvent) apply(c *control, now time.Time) {
	if ev.status.BootID != c.bootID {
		ev.restarted(c, now)
	} else {
		c.perform(c.sched.ApplyEngineState(now, ev.reading()))
	}
	if ev.before.epoch == c.gate.epoch {
		c.gate.verified = true
	}
	c.updateGate(now)
}

// restarted begins with the state of a newly started engine, which knows no
// fencing token.
func (ev engineStatusEvent) restarted(c *control, now time.Time) {
	c.e.log.For(logging.ComponentEndpoint).Info().Str("boot", ev.status.BootID).Int("residents", len(ev.status.Residents)).Int("running", len(ev.status.Running)).Msg("engine started")
	c.bootID = ev.status.BootID
	c.gate.fenced = 0
	c.e.runs.restarted()
	if c.sched == nil {
		c.limits = scheduler.Config{MaxQueued: c.e.set.MaxQueued, ShareInterval: c.e.set.ShareInterval, CommandDeadline: c.e.timing.commandDeadline, Evictor: c.e.set.evictor()}
		c.limits.Slots, c.limits.Positions = ev.status.SlotsTotal, ev.status.PositionsTotal
		c.sched = scheduler.New(c.limits)
		if c.e.leaving.Load() {
			c.sched.Leave()
		}
	}
	c.synced = true
	c.limits.Slots, c.limits.Positions = ev.status.SlotsTotal, ev.status.PositionsTotal
	c.sched.SetCapacity(c.limits.Slots, c.limits.Positions)
	c.updateGate(now)
	c.perform(c.sched.EngineRestarted(now, ev.reading()))
	tickEvent{}.apply(c, now)
}

func (ev engineStatusEvent) reading() scheduler.EngineState {
	r := scheduler.EngineState{RequestedAt: ev.began, Revision: ev.before.mark}
	for _, n := range ev.status.Residents {
		if a, err := ident.ParseAdapter(n); err == nil {
			r.Residents = append(r.Residents, a)
		}
	}
	for _, run := range ev.status.Running {
		// A name that is no adapter is that of the base model.
		a, _ := ident.ParseAdapter(run.Adapter)
		r.Running = append(r.Running, scheduler.EngineRun{Request: ident.RequestID(run.RequestID), Adapter: a})
	}
	return r
}
