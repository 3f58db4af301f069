package endpoint

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/engine"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/scheduler"
)

// gate decides whether runs may rely on the engine's adapters. After each change
// of the authority the engine's state is read before any run relies on it.
type gate struct {
	settled bool
	// token is the last fencing token that allowed commands.
	token uint64
	// fenced is the token that the engine has accepted since its last start.
	fenced uint64
	// rejected is the highest token that the engine has refused as old.
	rejected uint64
	// epoch numbers the changes of the authority, and verified states that the
	// engine's state has been read in the current epoch.
	epoch    uint64
	verified bool
	// fencing states that a fence command is running, nextFence is the earliest time
	// of the next one.
	fencing   bool
	nextFence time.Time
}

func (g *gate) invalidate() {
	g.epoch++
	g.verified = false
}

// updateGate applies the current authority to the scheduler.
func (c *control) updateGate(now time.Time) {
	if c.sched == nil || c.e.set.Kind != KindModel {
		return
	}
	settled := c.e.authority.Exclusive()
	token, ok := c.e.authority.Token()
	g := &c.gate
	if token != 0 && token <= g.rejected {
		settled, ok = false, false
	}
	if settled != g.settled || ok && token != g.token {
		g.settled = settled
		if ok {
			g.token = token
		}
		g.invalidate()
		c.pollSoon = true
	}
	if c.fenceDue(ok) {
		c.startFence(now)
	}
	c.applyUse(now, c.adapterUse(ok), ok)
}

func (c *control) checksTokens() bool { return c.e.set.Fencing == FencingChecked }

func (c *control) fenceDue(ok bool) bool {
	return c.checksTokens() && c.gate.settled && ok && c.gate.fenced != c.gate.token
}

// adapterUse derives the use of the adapters. On an engine that checks tokens a
// predecessor may give commands until a higher token has reached the engine, so
// without one the time since the start of the process proves nothing.
func (c *control) adapterUse(ok bool) scheduler.AdapterUse {
	g := &c.gate
	switch {
	case !g.settled:
		return scheduler.AdaptersRefused
	case c.checksTokens() && !ok && g.fenced == 0:
		return scheduler.AdaptersRefused
	case c.checksTokens() && g.fenced != g.token, !g.verified:
		return scheduler.AdaptersHeld
	default:
		return scheduler.AdaptersUsable
	}
}

// applyUse lowers the use before the authority changes and raises it after, so
// that no work starts in between.
func (c *control) applyUse(now time.Time, use scheduler.AdapterUse, ok bool) {
	if use < c.use {
		c.setUse(now, use)
	}
	if ok != c.mayLoad {
		c.mayLoad = ok
		c.perform(c.sched.SetAuthority(now, ok))
	}
	if use > c.use {
		c.setUse(now, use)
	}
}

func (c *control) setUse(now time.Time, use scheduler.AdapterUse) {
	c.use = use
	c.e.log.For(logging.ComponentEndpoint).Info().Str("use", use.String()).Uint("token", c.gate.token).Msg("use of adapters changed")
	c.perform(c.sched.SetAdapterUse(now, use))
}

// startFence gives the engine the new token.
func (c *control) startFence(now time.Time) {
	if c.gate.fencing || now.Before(c.gate.nextFence) {
		return
	}
	c.gate.fencing = true
	token, boot := c.gate.token, c.bootID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), engineCallTimeout)
		defer cancel()
		err := c.e.engine.Fence(ctx, token, time.Now().Add(c.e.timing.commandDeadline))
		c.send(fenceDoneEvent{token: token, boot: boot, err: err})
	}()
}

// fenceDoneEvent ends a fence command.
type fenceDoneEvent struct {
	token uint64
	boot  string
	err   error
}

func (ev fenceDoneEvent) apply(c *control, now time.Time) {
	c.gate.fencing = false
	switch {
	case errors.Is(ev.err, engine.ErrFenced):
		c.reject(ev.token)
	case ev.err != nil:
		c.log.Warn().Err(ev.err).Uint("token", ev.token).Msg("fence command failed, repeating")
		c.gate.nextFence = now.Add(c.e.timing.fenceRetry)
	case ev.boot == c.bootID && ev.token == c.gate.token:
		c.gate.fenced = ev.token
		c.gate.invalidate()
		c.pollSoon = true
	}
	c.updateGate(now)
}

// reject notes that a process with a higher token commands the engine.
func (c *control) reject(token uint64) {
	if token > c.gate.rejected {
		c.gate.rejected = token
		c.log.Warn().Uint("token", token).Msg("engine refused the fencing token, another process has taken over")
	}
}
