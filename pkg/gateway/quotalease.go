package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
	"github.com/fescuecourse/fescuecourse/pkg/quota"
	"github.com/fescuecourse/fescuecourse/pkg/route"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
)

const (
	// leaseTimeout limits a request to a keeper.
	leaseTimeout = 100 * time.Millisecond
	// hedgeDelay is the time without an answer after which the next keeper is asked, too.
	hedgeDelay = 10 * time.Millisecond
	// silentWait is the longest time that a request waits while most keepers do not answer, and
	// silentPause the pause before they are asked again.
	silentWait  = 500 * time.Millisecond
	silentPause = 20 * time.Millisecond
	// maxSettled limits what is reported of the time since the last change of the sidecars.
	maxSettled = time.Hour
	// largeRequestTokens is the size of a long prompt with its output, in tokens.
	largeRequestTokens = 40_000
)

// teamQuota is the quota of one team at this entry.
type teamQuota struct {
	quotas  *quotas
	name    ident.Team
	account *quota.Account
	metrics *quotaMetrics

	mu sync.Mutex
	// team, version and holders are what the account was last updated from.
	team    *route.Team
	version int64
	holders *origin.Holders
	keepers map[string]*fleet.Endpoint
	// waiters are the requests that wait for credit, oldest first. While searching is true,
	// the keepers are being asked for it.
	waiters   []*creditWaiter
	searching bool
	// joined holds a value if another request has begun to wait.
	joined chan struct{}
}

// creditWaiter is a request that waits for credit. Its fields do not change after done is closed.
type creditWaiter struct {
	cost     float64
	admitted bool
	done     chan struct{}
}

func newTeamQuota(q *quotas, name ident.Team) *teamQuota {
	account := quota.NewAccount(q.entry, string(name), q.tolerance)
	return &teamQuota{quotas: q, name: name, account: account, metrics: newQuotaMetrics(name, account), joined: make(chan struct{}, 1)}
}

// update sets the limit and the keepers if the configuration or the fleet has changed.
func (t *teamQuota) update(team *route.Team, version int64) {
	choice := t.quotas.origins.currentHolders()
	holders := choice.listed
	t.mu.Lock()
	defer t.mu.Unlock()
	if version < t.version || t.team == team && t.holders == holders {
		return // requests that began before a change of the configuration may come later
	}
	t.team, t.version, t.holders = team, version, holders
	chosen := holders.Candidates(origin.ID("quota/" + string(team.Name)))
	limit := quota.Limit{PerSecond: team.Quota.PerSecond, Burst: team.Quota.Burst, Version: version}
	chosen = chosen[:min(len(chosen), t.quotas.tolerance.Keepers(limit, largeRequest(team.Quota.Unit)))]
	t.keepers = make(map[string]*fleet.Endpoint, len(chosen))
	names := make([]string, 0, len(chosen))
	for _, e := range chosen {
		t.keepers[origin.HostOf(e)] = e
		names = append(names, origin.HostOf(e))
	}
	t.account.SetLimit(limit, names, choice.settledAt)
}

// largeRequest returns the cost of a request that each keeper should be able to grant.
func largeRequest(u route.QuotaUnit) float64 {
	if u == route.Requests {
		return 1
	}
	return largeRequestTokens
}

// acquire takes the cost of a request from the quota. It waits for an answer of the keepers
// only if the local credit is too small, and longer if most of them do not answer: after a loss
// of power, entries may be back before sidecars are.
func (t *teamQuota) acquire(ctx context.Context, cost float64) (r quota.Refusal, admitted bool) {
	began := time.Now()
	for {
		if t.account.Spend(time.Now(), cost) || t.await(ctx, cost) {
			t.refill()
			return quota.Refusal{}, true
		}
		r, admitted = t.account.Refuse(time.Now(), cost)
		if admitted || r.Cause != quota.NoKeeper || time.Since(began) > silentWait || !wait.For(ctx, silentPause) {
			return r, admitted
		}
	}
}

// await waits until there is enough credit for a request. It reports false if the keepers do
// not grant it or ctx ends.
func (t *teamQuota) await(ctx context.Context, cost float64) bool {
	w := &creditWaiter{cost: cost, done: make(chan struct{})}
	t.join(w)
	select {
	case <-w.done:
	case <-ctx.Done():
		t.leave(w)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return w.admitted
}

// join adds a waiting request, and starts a search for credit if there is none.
func (t *teamQuota) join(w *creditWaiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiters = append(t.waiters, w)
	if !t.searching {
		t.searching = true
		go t.search()
		return
	}
	select {
	case t.joined <- struct{}{}:
	default:
	}
}

func (t *teamQuota) leave(w *creditWaiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiters = slices.DeleteFunc(t.waiters, func(other *creditWaiter) bool { return other == w })
}

// search asks the keepers in turn until there is credit for all waiting requests, or no keeper
// is left to ask. A keeper that does not answer within hedgeDelay does not hold up the next one.
func (t *teamQuota) search() {
	tried := map[string]bool{}
	answers := make(chan *quota.Ask)
	running := 0
	for {
		var hedge <-chan time.Time
		if ask, ok := t.account.Next(time.Now(), t.admit(), tried); ok {
			tried[ask.Keeper] = true
			running++
			go func() { answers <- t.send(&ask) }()
			hedge = time.After(hedgeDelay)
		}
		if running == 0 && t.end() {
			return
		}
		select {
		case ask := <-answers:
			running--
			if ask != nil {
				delete(tried, ask.Keeper)
			}
		case <-hedge:
		case <-t.joined:
		}
	}
}

// admit admits the waiting requests for which there is credit, and returns the costs of the
// others, oldest first.
func (t *teamQuota) admit() []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var costs []float64
	now := time.Now()
	t.waiters = slices.DeleteFunc(t.waiters, func(w *creditWaiter) bool {
		w.admitted = t.account.Spend(now, w.cost)
		if !w.admitted {
			costs = append(costs, w.cost)
			return false
		}
		close(w.done)
		return true
	})
	return costs
}

// end ends a search without success for the requests that still wait. It reports false if
// another request has begun to wait meanwhile.
func (t *teamQuota) end() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.joined) > 0 {
		return false
	}
	for _, w := range t.waiters {
		close(w.done)
	}
	t.waiters, t.searching = nil, false
	return true
}

// refill asks for credit ahead of use in the background, if it is due.
func (t *teamQuota) refill() {
	if ask, ok := t.account.Refill(time.Now()); ok {
		go t.send(&ask)
	}
}

// send sends a request to a keeper and records its answer. It returns the request if the keeper
// may be asked again: it has granted the needed credit, or denied that of several requests.
func (t *teamQuota) send(ask *quota.Ask) *quota.Ask {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	resp, err := t.lease(ctx, ask)
	if err != nil {
		t.account.Silent(time.Now(), ask)
		t.quotas.log.Warn().Str("team", string(t.name)).Str("keeper", ask.Keeper).Err(err).Msg("keeper of a quota does not answer")
		return nil
	}
	t.account.Granted(time.Now(), ask, quota.Grant{
		Credit:         resp.GetGranted(),
		RetryAfter:     time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
		SpentPerSecond: resp.GetSpentPerSecond(),
	})
	if resp.GetGranted() < ask.Demand.Needed && !ask.Joint {
		return nil
	}
	return ask
}

func (t *teamQuota) lease(ctx context.Context, ask *quota.Ask) (*fescuev1.LeaseCreditResponse, error) {
	t.mu.Lock()
	keeper := t.keepers[ask.Keeper]
	t.mu.Unlock()
	client, err := t.quotas.client(ctx, keeper)
	if err != nil {
		return nil, err
	}
	d := &ask.Demand
	return client.LeaseCredit(ctx, &fescuev1.LeaseCreditRequest{ //nolint:wrapcheck // logged by send
		EntryId:       d.Entry,
		Team:          d.Team,
		RatePerSecond: d.Limit.PerSecond,
		Burst:         d.Limit.Burst,
		ConfigVersion: d.Limit.Version,
		Needed:        d.Needed,
		Expected:      d.Expected,
		Unspent:       d.Unspent,
		LifetimeMs:    uint32(d.Lifetime.Milliseconds()),
		SettledMs:     uint32(min(d.Settled, maxSettled).Milliseconds()),
	})
}

// client returns the client of a keeper.
func (q *quotas) client(ctx context.Context, keeper *fleet.Endpoint) (fescuev1.ResidencyClient, error) {
	if keeper == nil {
		return nil, errNoConnection
	}
	link := q.origins.link(keeper)
	if link == nil {
		return nil, errNoConnection
	}
	if client := link.connection(ctx); client != nil {
		return client, nil
	}
	return nil, errNoConnection
}
