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

// Intervals and limits of the control loop.
const (
	tickInterval = 100 * time.Millisecond
	enginePoll   = time.Second
	// fastPoll applies while the engine runs requests of a predecessor or the effect
	// of a command is not known.
	fastPoll          = 200 * time.Millisecond
	fenceRetry        = 200 * time.Millisecond
	engineCallTimeout = 2 * time.Second
	// loadTimeout is the longest time that one adapter load may take.
	loadTimeout = time.Minute
	eventBuffer = 1024
)

// timing are the intervals that tests shorten.
type timing struct {
	tick       time.Duration
	enginePoll time.Duration
	fastPoll   time.Duration
	fenceRetry time.Duration
	leaveGrace time.Duration
	stopGrace  time.Duration
	// commandDeadline is how long a command may take to reach the engine.
	commandDeadline time.Duration
}

func defaultTiming() timing {
	return timing{
		tick: tickInterval, enginePoll: enginePoll, fastPoll: fastPoll, fenceRetry: fenceRetry,
		leaveGrace: leaveGrace, stopGrace: stopGrace, commandDeadline: scheduler.DefaultCommandDeadline,
	}
}

// event is a change of control state. It is applied by the control goroutine.
type event interface {
	apply(c *control, now time.Time)
}

// verdict is the decision about one queued attempt.
type verdict struct {
	started bool
	reason  fescuev1.NotRunReason
	stall   time.Duration
	// boot is the number of engine restarts noticed before the start.
	boot uint64
}

// control owns the scheduler. Only its goroutine touches the unexported state.
type control struct {
	e       *Endpoint
	log     logging.Logger
	events  chan event
	done    chan struct{}
	sched   *scheduler.Scheduler
	waiters map[ident.AttemptID]chan verdict
	bootID  string
	synced  bool
	gate    gate
	use     scheduler.AdapterUse
	mayLoad bool
	// pollSoon asks for a reading of the engine's state once the current control
	// state is published.
	pollSoon bool
	poll     chan struct{}
	limits   scheduler.Config
	// applied is the bundle version whose weights the scheduler uses.
	applied ident.BundleVersion
	ticked  time.Time

	// snapshot is read by report goroutines.
	snapshot atomic.Pointer[snapshot]
	idleWait []chan struct{}
}

// snapshot is the part of the control state that reports contain.
type snapshot struct {
	stats   scheduler.Stats
	limits  scheduler.Config
	ready   bool
	canLoad bool
	leaving bool
	bundle  ident.BundleVersion
	// mark and epoch frame a reading of the engine's state.
	mark  scheduler.Revision
	epoch uint64
	// unsettled asks for readings at short intervals.
	unsettled bool
}

// urgent reports whether a change is to be reported at once. Load figures wait for
// the next look of the report goroutines.
func (s *snapshot) urgent(next *snapshot) bool {
	if s.ready != next.ready || s.canLoad != next.canLoad || s.leaving != next.leaving || s.bundle != next.bundle {
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
		waiters: map[ident.AttemptID]chan verdict{},
	}
	if e.set.Kind == KindService {
		c.limits = scheduler.Config{Positions: e.set.Positions, MaxQueued: e.set.MaxQueued}
		c.sched = scheduler.New(c.limits)
		c.synced = true
	}
	c.publish()
	return c
}

// send passes an event to the control goroutine.
func (c *control) send(ev event) {
	select {
	case c.events <- ev:
	case <-c.done:
	}
}

// run applies events until ctx ends.
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

func (c *control) publish() {
	s := &snapshot{limits: c.limits, ready: c.ready(), canLoad: c.mayLoad && c.use == scheduler.AdaptersUsable, leaving: c.e.leaving.Load(), bundle: c.e.bundles.Version(), epoch: c.gate.epoch}
	pending := false
	if c.sched != nil {
		s.stats = c.sched.Stats()
		s.mark = c.sched.Revision()
		s.unsettled = s.stats.Foreign > 0 || c.sched.UnresolvedCommands() > 0 || c.use == scheduler.AdaptersHeld
		pending = c.sched.CommandsPending(time.Now())
	}
	prev := c.snapshot.Swap(s)
	if prev == nil || prev.urgent(s) {
		c.e.hub.notify()
	}
	if prev != nil && s.unsettled && !prev.unsettled {
		c.pollSoon = true
	}
	if c.pollSoon {
		c.pollSoon = false
		c.pollNow()
	}
	if !pending && len(c.waiters) == 0 && s.stats.Running == 0 && s.stats.Queued == 0 {
		for _, ch := range c.idleWait {
			close(ch)
		}
		c.idleWait = nil
	}
}

// ready reports whether the endpoint serves all kinds of work for its back end.
func (c *control) ready() bool {
	return c.synced && (c.e.set.Kind == KindService || c.use == scheduler.AdaptersUsable)
}

// idle returns a channel that is closed once nothing is queued or running and no
// command can take effect any more, so that the lease may be released.
func (c *control) idle() <-chan struct{} {
	ch := make(chan struct{})
	c.send(idleEvent{ch: ch})
	return ch
}

// perform carries out the decisions of the scheduler.
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
		c.e.metrics.refused(a.Reason)
		c.log.Info().Str("request", string(a.ID.Request)).Str("reason", a.Reason.String()).Msg("attempt refused")
		c.reply(a.ID, verdict{reason: a.Reason})
	case scheduler.Load:
		c.log.Info().Str("adapter", a.Adapter.String()).Msg("loading adapter")
		go c.command(a, true)
	case scheduler.Unload:
		c.log.Info().Str("adapter", a.Adapter.String()).Msg("evicting adapter")
		go c.command(a, false)
	case scheduler.RequestPermit:
		if c.e.set.LoadPermits == PermitsNone {
			go c.send(permitEvent{adapter: a.Adapter}) // the inbox may be full
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
		c.reply(a.ID, verdict{reason: fescuev1.NotRunReason_NOT_RUN_REASON_REVOKED})
		c.perform(c.sched.RunDone(time.Now(), a.ID))
		return
	}
	c.log.Info().Str("request", string(a.ID.Request)).Str("adapter", a.Adapter.String()).Uint("stall_ms", uint64(a.Stall.Milliseconds())).Msg("attempt started")
	c.e.metrics.stallUS.Update(a.Stall.Microseconds())
	c.reply(a.ID, verdict{started: true, stall: a.Stall, boot: c.e.runs.current()})
}

func (c *control) reply(id ident.AttemptID, v verdict) {
	if ch := c.waiters[id]; ch != nil {
		delete(c.waiters, id)
		ch <- v
	}
}

// command gives one load or unload command to the engine.
func (c *control) command(a scheduler.Action, load bool) {
	token, ok := c.e.authority.Token()
	if !ok {
		c.send(commandDoneEvent{adapter: a.Adapter, id: a.Command, load: load, err: errNoAuthority})
		return
	}
	timeout, call := c.e.timing.commandDeadline, c.e.engine.Unload
	if load {
		timeout, call = loadTimeout, c.e.engine.Load
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := time.Now()
	err := call(ctx, engine.Command{Adapter: a.Adapter, Token: token, Deadline: a.Deadline})
	c.send(commandDoneEvent{adapter: a.Adapter, id: a.Command, load: load, token: token, err: err, took: time.Since(began)})
}

// revoke makes sure that an attempt which has not started never will.
// sent is the endpoint's clock when the attempt was addressed to it.
func (c *control) revoke(id ident.AttemptID, sent time.Time) attempts.State {
	state := c.e.ledger.Refuse(time.Now(), id, sent)
	if state == attempts.Refused {
		c.send(revokeEvent{id: id})
	}
	return state
}
