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
	tickInterval      = 100 * time.Millisecond
	enginePoll        = time.Second
	engineCallTimeout = 2 * time.Second
	// commandDeadline is how long a command may take to reach the engine.
	commandDeadline = 5 * time.Second
	// loadTimeout is the longest time that one adapter load may take.
	loadTimeout = time.Minute
	eventBuffer = 1024
)

// event is a change of control state. It is applied by the control goroutine.
type event interface {
	apply(c *control, now time.Time)
}

// verdict is the decision about one queued attempt.
type verdict struct {
	started bool
	reason  fescuev1.NotRunReason
	stall   time.Duration
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
	canLoad bool
	limits  scheduler.Config
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
	// commands is the number of engine commands so far, quiet states that none runs.
	commands scheduler.CommandID
	quiet    bool
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
		log:     e.log.For(logging.PartSched),
		events:  make(chan event, eventBuffer),
		done:    make(chan struct{}),
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
	tick := time.NewTicker(tickInterval)
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
	s := &snapshot{limits: c.limits, ready: c.synced, canLoad: c.canLoad, leaving: c.e.leaving.Load(), bundle: c.e.bundles.Version()}
	if c.sched != nil {
		s.stats = c.sched.Stats()
		s.commands, s.quiet = c.sched.Quiet()
	}
	if prev := c.snapshot.Swap(s); prev == nil || prev.urgent(s) {
		c.e.hub.notify()
	}
	if len(c.waiters) == 0 && s.stats.Running == 0 && s.stats.Queued == 0 {
		for _, ch := range c.idleWait {
			close(ch)
		}
		c.idleWait = nil
	}
}

// idle returns a channel that is closed once nothing is queued or running.
func (c *control) idle() <-chan struct{} {
	ch := make(chan struct{})
	c.send(idleEvent{ch: ch})
	return ch
}

// watchEngine reads the engine's state, at first and after every restart.
func (c *control) watchEngine(ctx context.Context) {
	for {
		c.pollEngine(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(enginePoll):
		}
	}
}

func (c *control) pollEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	before := c.snapshot.Load()
	st, err := c.e.engine.Status(ctx)
	if err != nil {
		c.log.Warn().Err(err).Msg("engine does not answer")
		return
	}
	c.send(engineStatusEvent{status: st, before: before})
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
	c.reply(a.ID, verdict{started: true, stall: a.Stall})
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
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	cmd := engine.Command{Adapter: a.Adapter, Token: token, Deadline: time.Now().Add(commandDeadline)}
	call := c.e.engine.Unload
	if load {
		call = c.e.engine.Load
	}
	began := time.Now()
	err := call(ctx, cmd)
	c.send(commandDoneEvent{adapter: a.Adapter, id: a.Command, load: load, err: err, took: time.Since(began)})
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
