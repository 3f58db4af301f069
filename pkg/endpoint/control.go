package endpoint

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/attempts"
	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

// Intervals, timeouts and buffer sizes of the control loop.
const (
	tickInterval = 100 * time.Millisecond
	enginePoll   = time.Second
	// fastPoll replaces enginePoll while the engine runs requests that another
	// process started, while the effect of a command is unknown, and while work that
	// needs adapters is held back.
	fastPoll = 200 * time.Millisecond
	// backoffPoll replaces both while the engine wants no calls.
	backoffPoll       = 30 * time.Second
	fenceRetry        = 200 * time.Millisecond
	engineCallTimeout = 2 * time.Second
	// loadTimeout is the time limit for one adapter load.
	loadTimeout = time.Minute
	eventBuffer = 1024
)

// timing holds the intervals and time limits of an endpoint. Tests shorten them.
type timing struct {
	tick        time.Duration
	enginePoll  time.Duration
	fastPoll    time.Duration
	backoffPoll time.Duration
	fenceRetry  time.Duration
	leaveGrace  time.Duration
	stopGrace   time.Duration
	// commandDeadline is the time after which a command that has not reached the
	// engine has no effect. It is also the timeout of unload calls.
	commandDeadline time.Duration
}

func defaultTiming() timing {
	return timing{
		tick: tickInterval, enginePoll: enginePoll, fastPoll: fastPoll, backoffPoll: backoffPoll, fenceRetry: fenceRetry,
		leaveGrace: leaveGrace, stopGrace: stopGrace, commandDeadline: scheduler.DefaultCommandDeadline,
	}
}

// event is a change of the control state or a query of it. The control goroutine
// applies events one at a time.
type event interface {
	apply(c *control, now time.Time)
}

// decision tells whether a submitted attempt starts or is refused.
type decision struct {
	started bool
	reason  fescuev1.NotRunReason
	stall   time.Duration
	// restarts is the number of engine restarts detected before the attempt started.
	restarts uint64
}

// control owns the scheduler and the state of the engine. Other goroutines use only
// the channels and the snapshot; all other fields belong to the goroutine in run.
type control struct {
	e      *Endpoint
	log    logging.Logger
	events chan event
	done   chan struct{}
	// sched is nil until the state of a model engine is known.
	sched *scheduler.Scheduler
	// waiters holds the channels for the decisions on submitted attempts.
	waiters map[ident.AttemptID]chan decision
	// engineVersion is the version in the last status of the engine.
	engineVersion ident.EngineVersion
	// otherModel is true if the last status of the engine names another base model than
	// the settings.
	otherModel bool
	// bootID is the boot id of the engine, empty until known.
	bootID string
	// synced is true once the state of the engine is known.
	synced bool
	gate   gate
	// use and mayLoad are the permitted use of adapters and the permission to send
	// commands, as last passed to the scheduler.
	use     scheduler.AdapterUse
	mayLoad bool
	// pollSoon requests a status poll of the engine, to begin once the current
	// control state has been published.
	pollSoon bool
	poll     chan struct{}
	limits   scheduler.Config
	// appliedBundle is the version of the bundle whose weights the scheduler uses.
	appliedBundle ident.BundleVersion
	lastTick      time.Time

	// snapshot is the last published state, read by the control streams and the
	// engine poller.
	snapshot atomic.Pointer[snapshot]
	// idleWaiters are the channels that idle has returned and that are still open.
	idleWaiters []chan struct{}
}

// snapshot is the part of the control state that other goroutines need: the contents
// of reports, and what a status poll of the engine is compared with.
type snapshot struct {
	stats   scheduler.Stats
	limits  scheduler.Config
	ready   bool
	canLoad bool
	leaving bool
	bundle  ident.BundleVersion
	// engineVersion is the version in the last status of the engine.
	engineVersion ident.EngineVersion
	// revision and epoch are saved when a status poll begins. They tell later whether
	// the scheduler's state and the authority have changed during the poll.
	revision scheduler.Revision
	epoch    uint64
	// pollOften makes the engine poller use the interval fastPoll.
	pollOften bool
}

// needsImmediateReport reports whether the change from s to next must be sent to the
// entries at once. Changes of queue lengths and used positions wait for the next
// periodic report.
func (s *snapshot) needsImmediateReport(next *snapshot) bool {
	if s.engineVersion != next.engineVersion || s.ready != next.ready || s.canLoad != next.canLoad || s.leaving != next.leaving || s.bundle != next.bundle {
		return true
	}
	return !slices.Equal(s.stats.Residents, next.stats.Residents) || !slices.Equal(s.stats.Loading, next.stats.Loading)
}

func newControl(e *Endpoint) *control {
	c := &control{
		e:       e,
		log:     e.log.For(logging.ComponentScheduler),
		events:  make(chan event, eventBuffer),
		done:    make(chan struct{}),
		poll:    make(chan struct{}, 1),
		waiters: map[ident.AttemptID]chan decision{},
	}
	if e.set.Kind == KindService {
		c.limits = scheduler.Config{Positions: e.set.Positions, MaxQueued: e.set.MaxQueued}
		c.sched = scheduler.New(c.limits)
		c.synced = true
	}
	c.publish()
	return c
}

// send passes an event to the control goroutine. It drops the event if that
// goroutine has ended.
func (c *control) send(ev event) {
	select {
	case c.events <- ev:
	case <-c.done:
	}
}

// run applies events and publishes the state after each of them, until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	tick := time.NewTicker(c.e.timing.tick)
	defer tick.Stop()
	if c.e.set.Kind == KindModel {
		go c.watchEngine(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-c.events:
			ev.apply(c, time.Now())
		case now := <-tick.C:
			tickEvent{}.apply(c, now)
		}
		c.publish()
	}
}

// publish stores a new snapshot, wakes the control streams and the engine poller if
// needed, and closes the channels of idle if all work has ended.
func (c *control) publish() {
	s := &snapshot{limits: c.limits, ready: c.ready(), canLoad: c.mayLoad && c.use == scheduler.AdaptersUsable, leaving: c.e.leaving.Load(), bundle: c.e.bundles.Version(), epoch: c.gate.epoch, engineVersion: c.engineVersion}
	pending := false
	if c.sched != nil {
		s.stats = c.sched.Stats()
		s.revision = c.sched.Revision()
		s.pollOften = s.stats.Foreign > 0 || c.sched.UnresolvedCommands() > 0 || c.use == scheduler.AdaptersHeld
		pending = c.sched.CommandsPending(time.Now())
	}
	prev := c.snapshot.Swap(s)
	if prev == nil || prev.needsImmediateReport(s) {
		c.e.hub.notify()
	}
	if prev != nil && s.pollOften && !prev.pollOften {
		c.pollSoon = true
	}
	if c.pollSoon {
		c.pollSoon = false
		c.pollNow()
	}
	if !pending && len(c.waiters) == 0 && s.stats.Running == 0 && s.stats.Queued == 0 {
		for _, ch := range c.idleWaiters {
			close(ch)
		}
		c.idleWaiters = nil
	}
}

// ready reports whether the endpoint accepts work with and without adapters. An
// endpoint of a plain service is always ready.
func (c *control) ready() bool {
	return c.synced && (c.e.set.Kind == KindService || c.use == scheduler.AdaptersUsable)
}

// idle returns a channel that is closed once nothing is queued or running and no
// command can still take effect. The engine lease may be released then.
func (c *control) idle() <-chan struct{} {
	ch := make(chan struct{})
	c.send(idleEvent{ch: ch})
	return ch
}

// perform carries out the actions that the scheduler has returned.
func (c *control) perform(actions []scheduler.Action) {
	for _, a := range actions {
		c.performOne(a)
	}
}

func (c *control) performOne(a scheduler.Action) {
	switch a.Kind {
	case scheduler.Start:
		c.start(a)
	case scheduler.Refuse:
		c.e.ledger.Refuse(time.Now(), a.ID, time.Now())
		c.e.metrics.recordRefusal(a.Reason)
		c.log.Info().Str("request", string(a.ID.Request)).Str("reason", a.Reason.String()).Msg("attempt refused")
		c.reply(a.ID, decision{reason: a.Reason})
	case scheduler.Load:
		c.log.Info().Str("adapter", a.Adapter.String()).Msg("loading adapter")
		go c.sendCommand(a, true)
	case scheduler.Unload:
		c.log.Info().Str("adapter", a.Adapter.String()).Msg("evicting adapter")
		go c.sendCommand(a, false)
	case scheduler.RequestPermit:
		if c.e.set.LoadPermits == PermitsNone {
			go c.send(permitEvent{adapter: a.Adapter}) // this goroutine drains the buffer, which may be full
			return
		}
		c.e.hub.requestPermit(a)
	case scheduler.ReleasePermit:
		if c.e.set.LoadPermits != PermitsNone {
			c.e.hub.releasePermit(a)
		}
	}
}

func (c *control) start(a scheduler.Action) {
	if !c.e.ledger.Start(a.ID) {
		c.reply(a.ID, decision{reason: fescuev1.NotRunReason_NOT_RUN_REASON_REVOKED})
		c.perform(c.sched.RunDone(time.Now(), a.ID))
		return
	}
	c.log.Info().Str("request", string(a.ID.Request)).Str("adapter", a.Adapter.String()).Uint("stall_ms", uint64(a.Stall.Milliseconds())).Msg("attempt started")
	c.e.metrics.stallUS.Update(a.Stall.Microseconds())
	c.reply(a.ID, decision{started: true, stall: a.Stall, restarts: c.e.runs.current()})
}

func (c *control) reply(id ident.AttemptID, v decision) {
	if ch := c.waiters[id]; ch != nil {
		delete(c.waiters, id)
		ch <- v
	}
}

// sendCommand sends one load or unload command to the engine and passes the result
// to the control goroutine.
func (c *control) sendCommand(a scheduler.Action, load bool) {
	token, ok := c.e.authority.Token()
	if !ok {
		c.send(commandDoneEvent{adapter: a.Adapter, id: a.Command, load: load, err: errNoAuthority})
		return
	}
	name, timeout, call := "unload", c.e.timing.commandDeadline, c.e.engine.Unload
	if load {
		name, timeout, call = "load", loadTimeout, c.e.engine.Load
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := time.Now()
	err := c.e.callEngine(name, func() error {
		return call(ctx, engine.Command{Adapter: a.Adapter, Token: token, Deadline: a.Deadline})
	})
	c.send(commandDoneEvent{adapter: a.Adapter, id: a.Command, load: load, token: token, err: err, took: time.Since(began)})
}

// revoke ensures that an attempt which has not started never starts, and returns the
// state of the attempt. sent is the time, by the endpoint's clock, at which the entry
// addressed the attempt to this endpoint.
func (c *control) revoke(id ident.AttemptID, sent time.Time) attempts.State {
	state := c.e.ledger.Refuse(time.Now(), id, sent)
	if state == attempts.Refused {
		c.send(revokeEvent{id: id})
	}
	return state
}
