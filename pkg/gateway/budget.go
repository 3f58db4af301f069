package gateway

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// budget returns the retry budget of a service, which is created on first use.
func (g *Gateway) budget(service string) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = &retry.Budget{}
		g.budgets[service] = b
	}
	return b
}

// takeRetry counts an attempt that is about to be sent, if an earlier one of the request may
// have reached a server. It reports whether the retry budget allows the attempt.
func (g *Gateway) takeRetry(x *exchange) bool {
	if !x.arrived {
		return true
	}
	now := time.Now()
	taken := g.budget(x.service.Name).TakeRetry(now, g.set.RetryRatio, g.share.Slack(now))
	if !taken {
		g.logRetry(x, false)
	}
	return taken
}

// logRetry logs the decision of the budget on a retry.
func (g *Gateway) logRetry(x *exchange, allowed bool) {
	message := "retry refused, budget spent"
	if allowed {
		message = "retry allowed"
	}
	g.log.For(logging.ComponentRoute).Info().
		Str("request", x.call.RequestID).
		Str("service", x.service.Name).
		Str("reason", x.result.detail).
		Int("entries", g.share.Entries()).
		Float("slack", g.share.Slack(time.Now())).
		Msg(message)
}

// skipBudgets makes up for a suspension of the VM, during which the clock stood still.
func (g *Gateway) skipBudgets(slept time.Duration) {
	g.share.Skip(slept)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.budgets {
		b.Skip(slept)
	}
}
