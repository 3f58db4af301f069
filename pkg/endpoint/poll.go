package endpoint

import (
	"context"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

// watchEngine polls the engine's state periodically, and at once after pollNow, until
// ctx ends.
func (c *control) watchEngine(ctx context.Context) {
	for {
		c.pollEngine(ctx)
		if !c.awaitPoll(ctx, time.Now()) {
			return
		}
	}
}

// awaitPoll waits until a poll is due after the one at the given time. It reports false if
// ctx has ended. An engine that wants no calls is polled at the interval backoffPoll only,
// which shows that it has restarted and that its backoff does not count any more.
func (c *control) awaitPoll(ctx context.Context, last time.Time) bool {
	interval := c.e.timing.enginePoll
	if c.snapshot.Load().pollOften {
		interval = c.e.timing.fastPoll
	}
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-c.poll:
	}
	held := min(c.e.backoff.remaining(time.Now()), time.Until(last.Add(c.e.timing.backoffPoll)))
	return wait.For(ctx, held)
}

// pollNow requests a status poll of the engine that begins after this call.
func (c *control) pollNow() {
	select {
	case c.poll <- struct{}{}:
	default:
	}
}

// pollEngine reads the engine's state once and passes it to the control goroutine.
func (c *control) pollEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	began := time.Now()
	before := c.snapshot.Load()
	st, err := c.e.engine.Status(ctx)
	c.e.recordRefusal("status", err)
	if err != nil {
		c.log.Warn().Err(err).Msg("cannot read engine status")
		return
	}
	c.send(engineStatusEvent{status: st, began: began, before: before})
}

// engineStatusEvent is the result of a status poll. before is the published control
// state when the poll began.
type engineStatusEvent struct {
	status engine.Status
	began  time.Time
	before *snapshot
}

func (ev engineStatusEvent) apply(c *control, now time.Time) {
	ev.updateModel(c)
	ev.updateVersion(c)
	if ev.status.BootID != c.bootID {
		ev.restarted(c, now)
	} else {
		c.perform(c.sched.ApplyEngineState(now, ev.engineState()))
	}
	if ev.before.epoch == c.gate.epoch {
		c.gate.stateRead = true
	}
	c.updateGate(now)
}

// updateModel stores whether the engine has another base model than the settings name. An
// engine that names none is not checked.
func (ev engineStatusEvent) updateModel(c *control) {
	model, want := ev.status.BaseModel, c.e.set.Backend
	other := model != "" && model != want
	if other == c.otherModel {
		return
	}
	c.e.log.For(logging.ComponentEndpoint).Warn().Str("base_model", model).Str("configured", want).Bool("other", other).Msg("base model of the engine changed")
	c.otherModel = other
}

// updateVersion stores the version of the engine.
func (ev engineStatusEvent) updateVersion(c *control) {
	v := ev.status.Version()
	if v == c.engineVersion {
		return
	}
	c.e.log.For(logging.ComponentEndpoint).Info().Str("before", c.engineVersion.String()).Str("engine_version", v.String()).Str("boot", ev.status.BootID).Msg("engine version changed")
	c.engineVersion = v
}

// restarted replaces the known state when the boot id of the engine is new. It ends
// the runs of the previous boot and clears the accepted token, because a started
// engine knows no fencing token.
func (ev engineStatusEvent) restarted(c *control, now time.Time) {
	c.e.log.For(logging.ComponentEndpoint).Info().Str("boot", ev.status.BootID).Int("residents", len(ev.status.Residents)).Int("running", len(ev.status.Running)).Msg("new engine boot detected")
	c.bootID = ev.status.BootID
	c.gate.acceptedToken = 0
	c.e.backoff.clear()
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
	c.perform(c.sched.EngineRestarted(now, ev.engineState()))
	tickEvent{}.apply(c, now)
}

// engineState converts the status to the scheduler's type.
func (ev engineStatusEvent) engineState() scheduler.EngineState {
	r := scheduler.EngineState{RequestedAt: ev.began, Revision: ev.before.revision}
	for _, n := range ev.status.Residents {
		if a, err := ident.ParseAdapter(n); err == nil {
			r.Residents = append(r.Residents, a)
		}
	}
	for _, run := range ev.status.Running {
		// Runs of the base model have no valid adapter name and get the zero Adapter.
		a, _ := ident.ParseAdapter(run.Adapter)
		r.Running = append(r.Running, scheduler.EngineRun{Request: ident.RequestID(run.RequestID), Adapter: a})
	}
	return r
}
