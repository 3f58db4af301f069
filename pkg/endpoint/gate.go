package endpoint

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

// gate is the state from which the control goroutine decides whether runs may use
// the engine's adapters. After each change of the authority, the engine's state is
// read again before a run may use an adapter.
type gate struct {
	// exclusive is the last value of Authority.Exclusive, but false after the engine
	// has rejected the token.
	exclusive bool
	// token is the last fencing token with which commands were allowed.
	token uint64
	// acceptedToken is the last token that a fence command delivered to the engine
	// since the engine started, or 0.
	acceptedToken uint64
	// rejectedToken is the highest token that the engine has rejected as outdated.
	rejectedToken uint64
	// epoch counts the changes of the authority. stateRead is true if the engine's
	// state has been read since the last change.
	epoch     uint64
	stateRead bool
	// fenceInFlight is true while a fence command is running. nextFence is the
	// earliest time of the next one.
	fenceInFlight bool
	nextFence     time.Time
}

// invalidate requires that the engine's state is read again before adapters are used.
func (g *gate) invalidate() {
	g.epoch++
	g.stateRead = false
}

// updateGate reads the authority and passes changes of it to the scheduler. It starts
// a fence command if the engine does not know the current token yet.
func (c *control) updateGate(now time.Time) {
	if c.sched == nil || c.e.set.Kind != KindModel {
		return
	}
	exclusive := c.e.authority.Exclusive()
	token, allowed := c.e.authority.Token()
	g := &c.gate
	if token != 0 && token <= g.rejectedToken {
		exclusive, allowed = false, false
	}
	if exclusive != g.exclusive || allowed && token != g.token {
		g.exclusive = exclusive
		if allowed {
			g.token = token
		}
		g.invalidate()
		c.pollSoon = true
	}
	if c.fenceDue(allowed) {
		c.startFence(now)
	}
	c.applyUse(now, c.adapterUse(allowed), allowed)
}

// checksTokens reports whether the engine rejects commands with outdated tokens.
func (c *control) checksTokens() bool { return c.e.set.Fencing == FencingChecked }

// fenceDue reports whether the engine must be sent the current token.
func (c *control) fenceDue(allowed bool) bool {
	return c.checksTokens() && c.gate.exclusive && allowed && c.gate.acceptedToken != c.gate.token
}

// adapterUse returns how runs may use the engine's adapters. An engine that checks
// tokens accepts commands of an earlier lease holder until it has received a higher
// token. So if no token of this process has been accepted, Exclusive is not enough:
// it may be true only because of the time since this process started. Adapters are made
// for one base model, so an engine with another one must not use them.
func (c *control) adapterUse(allowed bool) scheduler.AdapterUse {
	g := &c.gate
	switch {
	case !g.exclusive, c.otherModel:
		return scheduler.AdaptersRefused
	case c.checksTokens() && !allowed && g.acceptedToken == 0:
		return scheduler.AdaptersRefused
	case c.checksTokens() && g.acceptedToken != g.token, !g.stateRead:
		return scheduler.AdaptersHeld
	default:
		return scheduler.AdaptersUsable
	}
}

// applyUse passes the new adapter use and authority to the scheduler. It applies a
// stricter use before the change of authority and a less strict one after it, so that
// no work starts in between that one of them forbids.
func (c *control) applyUse(now time.Time, use scheduler.AdapterUse, allowed bool) {
	if use < c.use {
		c.setUse(now, use)
	}
	if allowed != c.mayLoad {
		c.mayLoad = allowed
		c.perform(c.sched.SetAuthority(now, allowed))
	}
	if use > c.use {
		c.setUse(now, use)
	}
}

func (c *control) setUse(now time.Time, use scheduler.AdapterUse) {
	c.use = use
	c.e.log.For(logging.ComponentEndpoint).Info().Str("use", use.String()).Uint("token", c.gate.token).Msg("permitted use of adapters changed")
	c.perform(c.sched.SetAdapterUse(now, use))
}

// startFence sends the current token to the engine in the background, unless a fence
// command is already running or was sent too recently.
func (c *control) startFence(now time.Time) {
	if c.gate.fenceInFlight || now.Before(c.gate.nextFence) {
		return
	}
	c.gate.fenceInFlight = true
	token, engineBoot := c.gate.token, c.bootID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), engineCallTimeout)
		defer cancel()
		err := c.fence(ctx, token)
		c.send(fenceDoneEvent{token: token, engineBoot: engineBoot, err: err})
	}()
}

func (c *control) fence(ctx context.Context, token uint64) error {
	return c.e.callEngine("fence", func() error {
		return c.e.engine.Fence(ctx, token, time.Now().Add(c.e.timing.commandDeadline))
	})
}

// fenceDoneEvent is the result of a fence command. engineBoot is the boot id of the
// engine when the command was sent.
type fenceDoneEvent struct {
	token      uint64
	engineBoot string
	err        error
}

func (ev fenceDoneEvent) apply(c *control, now time.Time) {
	c.gate.fenceInFlight = false
	switch {
	case errors.Is(ev.err, engine.ErrFenced):
		c.tokenRejected(ev.token)
	case ev.err != nil:
		c.log.Warn().Err(ev.err).Uint("token", ev.token).Msg("fence command failed; retrying")
		c.gate.nextFence = now.Add(max(c.e.timing.fenceRetry, c.e.backoff.remaining(now)))
	case ev.engineBoot == c.bootID && ev.token == c.gate.token:
		c.gate.acceptedToken = ev.token
		c.gate.invalidate()
		c.pollSoon = true
	}
	c.updateGate(now)
}

// tokenRejected records that the engine has rejected a token because another process
// has sent a higher one.
func (c *control) tokenRejected(token uint64) {
	if token > c.gate.rejectedToken {
		c.gate.rejectedToken = token
		c.log.Warn().Uint("token", token).Msg("engine rejected the fencing token; another process has taken over")
	}
}
