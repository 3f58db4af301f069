package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/quota"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// quotaUse is what one request has used of the quota of its team.
type quotaUse struct {
	// cost is 0 if the request is not counted.
	cost     float64
	at       time.Time
	waited   time.Duration
	refunded bool
}

// quotaFilter refuses requests beyond the quota of their team. It comes before the body is
// read. A request is counted once, however often it is sent.
type quotaFilter struct{ g *Gateway }

func (f quotaFilter) do(ctx context.Context, x *exchange, next next) *failure {
	if x.team == nil || x.team.Quota.PerSecond <= 0 {
		return next(ctx, x)
	}
	t := f.g.quotas.of(x.team, x.table.Version)
	cost := requestCost(x)
	began := time.Now()
	refusal, admitted := t.acquire(ctx, cost)
	waited := time.Since(began)
	f.g.quotas.waits.Update(waited.Microseconds())
	if !admitted {
		return f.refuse(x, t, cost, waited, &refusal)
	}
	x.quota = quotaUse{cost: cost, at: time.Now(), waited: waited}
	fail := next(ctx, x)
	if fail != nil && !x.arrived {
		x.quota.refunded = t.account.Refund(time.Now(), x.quota.at, cost)
	}
	return fail
}

// requestCost returns what a request counts in the unit of the quota of its team.
func requestCost(x *exchange) float64 {
	if x.team.Quota.Unit == route.Requests {
		return 1
	}
	if tokens := x.call.PromptTokens + x.call.MaxOutputTokens; tokens > 0 {
		return float64(tokens)
	}
	return x.team.Quota.PlainTokens
}

// refuse returns the failure of a request beyond the quota of its team, with the time at which
// there may be credit.
func (f quotaFilter) refuse(x *exchange, t *teamQuota, cost float64, waited time.Duration, r *quota.Refusal) *failure {
	t.metrics.refused(r.Cause).Inc(1)
	retryAfter := r.RetryAfter + rand.N(r.RetryAfter/2+1)
	state := t.account.State(time.Now())
	f.g.log.For(logging.ComponentRoute).Info().
		Str("request", x.call.RequestID).
		Str("team", string(x.team.Name)).
		Str("cause", r.Cause.String()).
		Float("cost", cost).
		Float("credit", r.Credit).
		Float("rate_per_s", state.PerSecond).
		Float("burst", state.Burst).
		Float("entry_use_per_s", state.EntryPerSecond).
		Float("fleet_use_per_s", state.FleetPerSecond).
		Int("keepers_denied", r.Denied).
		Int("keepers_silent", r.Silent).
		Str("keeper", state.Keeper).
		Dur("lease_age_ms", state.LeaseAge).
		Uint("config", uint64(x.table.Version)).
		Dur("waited_ms", waited).
		Dur("retry_after_ms", retryAfter).
		Msg("request refused by the quota of its team")
	return &failure{status: http.StatusTooManyRequests, reason: "the quota of the team is used up", retryAfter: retryAfter}
}

// quotas has the accounts of the teams at this entry.
type quotas struct {
	entry     string
	tolerance quota.Tolerance
	origins   *originTracker
	log       logging.Logger
	waits     histogram

	mu    sync.Mutex
	teams map[ident.Team]*teamQuota
}

func newQuotas(set *Settings, o *originTracker, log logging.Logger) *quotas {
	return &quotas{
		entry:     set.ID,
		tolerance: quota.Tolerance{Window: set.QuotaWindow, Overage: set.QuotaOverage, Slack: set.QuotaSlack},
		origins:   o,
		log:       log.For(logging.ComponentRoute),
		waits:     newQuotaWaits(),
		teams:     map[ident.Team]*teamQuota{},
	}
}

// of returns the quota of a team, with the limit of its configuration and its current keepers.
func (q *quotas) of(team *route.Team, version int64) *teamQuota {
	q.mu.Lock()
	t := q.teams[team.Name]
	if t == nil {
		t = newTeamQuota(q, team.Name)
		q.teams[team.Name] = t
	}
	q.mu.Unlock()
	t.update(team, version)
	return t
}

// retain drops the quotas of teams that are not in the configuration.
func (q *quotas) retain(table *route.Table) {
	if table == nil {
		return
	}
	known := map[ident.Team]bool{}
	for i := range table.Teams {
		known[table.Teams[i].Name] = true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, t := range q.teams {
		if !known[name] {
			t.metrics.unregister()
			delete(q.teams, name)
		}
	}
}

// drop ends all leases after a suspension of the VM, during which the clock stood still.
func (q *quotas) drop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.teams {
		t.account.Drop()
	}
}
