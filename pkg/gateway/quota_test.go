package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/quota"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// teamFilter sets the team of all requests, in place of authentication.
type teamFilter struct{ team *route.Team }

func (f teamFilter) do(ctx context.Context, x *exchange, next next) *failure {
	x.team = f.team
	return next(ctx, x)
}

// withQuota makes all requests belong to a team with a quota.
func (w *testGateway) withQuota(q route.Quota) *teamQuota {
	team := &route.Team{Name: "tokachi", Quota: q}
	g := w.gateway
	g.quotas.tolerance = quota.Tolerance{Window: 8 * time.Second}
	g.handle = chain(routeFilter{g}, teamFilter{team}, quotaFilter{g}, bodyFilter{g}, originFilter{g}, retryFilter{g}, endpointFilter{g}, sendFilter{g})
	return g.quotas.of(team, 1)
}

// sidecars adds model servers with sidecars of their own to the directory.
func (w *testGateway) sidecars(n int) []*fakeSidecar {
	var out []*fakeSidecar
	for range n {
		e := w.serve(modelService, func(http.ResponseWriter, *http.Request) {})
		s := newFakeSidecar()
		w.connect(e, s)
		out = append(out, s)
	}
	return out
}

func ok(w http.ResponseWriter, r *http.Request) {
	markFromPlatform(w, r)
	_, _ = io.WriteString(w, "ok")
}

// Guards against a team over its quota whose requests are held or whose bodies are read, and
// against a 429 without the time at which there is credit.
func TestRequestsOverTheQuotaAreRefusedBeforeTheBody(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	w.serve(plainService, ok)
	w.sidecars(4)
	w.withQuota(route.Quota{PerSecond: 0.5, Burst: 20})
	statuses := map[int]int{}
	for range 40 {
		statuses[w.do(http.MethodGet, "/p/x", nil).status]++
	}
	// New keepers start with half of the burst.
	assert.Check(t, statuses[http.StatusOK] >= 8 && statuses[http.StatusOK] <= 21, "%v", statuses)
	assert.Equal(t, statuses[http.StatusOK]+statuses[http.StatusTooManyRequests], 40)

	for range 5 { // on one connection
		req, err := http.NewRequest(http.MethodPost, w.front.URL+"/p/x", strings.NewReader("body"))
		assert.NilError(t, err)
		req.Host = "h.example"
		refusal, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.Equal(t, refusal.StatusCode, http.StatusTooManyRequests)
		assert.Check(t, !refusal.Close, "the connection is closed")
		_, _ = io.Copy(io.Discard, refusal.Body)
		assert.NilError(t, refusal.Body.Close())
	}
	body, unsent := io.Pipe()
	defer unsent.Close()
	req, err := http.NewRequest(http.MethodPost, w.front.URL+"/p/x", body)
	assert.NilError(t, err)
	req.Host = "h.example"
	began := time.Now()
	refusal, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer refusal.Body.Close()
	assert.Equal(t, refusal.StatusCode, http.StatusTooManyRequests)
	assert.Check(t, time.Since(began) < time.Second)
	wait, err := strconv.ParseFloat(refusal.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Check(t, wait > 0.1 && wait <= 12, "%v s", wait)
}

// Guards against tokens that are counted as requests, and against requests without a number of
// tokens that count nothing.
func TestQuotaInTokens(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	w.serve(plainService, ok)
	w.sidecars(1)
	w.withQuota(route.Quota{PerSecond: 1, Burst: 4000, Unit: route.Tokens, PlainTokens: 300})
	admitted := 0
	for range 20 {
		if w.do(http.MethodGet, "/p/x", nil).status == http.StatusOK {
			admitted++
		}
	}
	assert.Equal(t, admitted, 6) // of the 2000 with which a keeper starts
	assert.Equal(t, w.do(http.MethodGet, "/p/x", map[string]string{"Prompt": "a:150"}).status, http.StatusOK)
}

// Guards against a request that waits long for, or is refused because of, a keeper that does
// not answer, and against one that is asked again for each request.
func TestSilentKeeperDoesNotHoldUpRequests(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	w.serve(plainService, ok)
	sidecars := w.sidecars(4)
	w.withQuota(route.Quota{PerSecond: 1000, Burst: 1000})
	sidecars[0].unreachable.Store(true)
	sidecars[1].unreachable.Store(true)
	began := time.Now()
	for range 200 {
		assert.Equal(t, w.do(http.MethodGet, "/p/x", nil).status, http.StatusOK)
	}
	assert.Check(t, time.Since(began) < 3*time.Second, "%v", time.Since(began))
	asked := sidecars[0].leases.Load() + sidecars[1].leases.Load()
	assert.Check(t, asked <= 12, "silent keepers were asked %d times", asked)
}

// Guards against a message for each request of a team that is far below its quota.
func TestLeasesCoverManyRequests(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	w.serve(plainService, ok)
	sidecars := w.sidecars(4)
	w.withQuota(route.Quota{PerSecond: 10_000, Burst: 10_000})
	for range 4 { // leases ahead of use begin once the buckets of new keepers are full
		w.do(http.MethodGet, "/p/x", nil)
		time.Sleep(300 * time.Millisecond)
	}
	for range 300 {
		assert.Equal(t, w.do(http.MethodGet, "/p/x", nil).status, http.StatusOK)
	}
	asked := int32(0)
	for _, s := range sidecars {
		asked += s.leases.Load()
	}
	assert.Check(t, asked < 60, "%d messages for 300 requests", asked)
}

// Guards against requests of the same moment of which one spends the credit that was granted
// for another, which is then refused although the keepers have more.
func TestConcurrentRequestsWithinTheQuota(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	w.serve(plainService, ok)
	for _, s := range w.sidecars(4) {
		s.delay.Store(int64(3 * time.Millisecond))
	}
	w.withQuota(route.Quota{PerSecond: 1000, Burst: 1000})
	var (
		wg      sync.WaitGroup
		refused atomic.Int32
	)
	for range 100 {
		wg.Go(func() {
			if w.do(http.MethodGet, "/p/x", nil).status != http.StatusOK {
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, refused.Load(), int32(0))
}

// Guards against credit that is lost with requests that no server could take.
func TestCreditOfRequestsThatDidNotRunComesBack(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	w.sidecars(1)
	w.withQuota(route.Quota{PerSecond: 1, Burst: 20})
	for range 40 {
		assert.Equal(t, w.do(http.MethodGet, "/p/x", nil).status, http.StatusServiceUnavailable)
	}
	w.serve(plainService, ok)
	assert.Equal(t, w.do(http.MethodGet, "/p/x", nil).status, http.StatusOK)
}

// Guards against a retry that is charged like another request.
func TestRetriesAreNotCharged(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	var failures atomic.Int32
	w.serve(plainService, func(rw http.ResponseWriter, r *http.Request) {
		if failures.Add(1)%2 == 1 {
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ok(rw, r)
	})
	w.sidecars(1)
	account := w.withQuota(route.Quota{PerSecond: 0.001, Burst: 20}).account
	for range 5 {
		w.do(http.MethodGet, "/p/x", nil)
	}
	assert.Check(t, account.State(time.Now()).EntryPerSecond <= 5/4.0)
}

// Guards against a fleet without any sidecars that answers no request of a team with a quota
// at all, or holds it.
func TestQuotaWithoutKeepers(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	w.serve(plainService, ok)
	w.withQuota(route.Quota{PerSecond: 1, Burst: 20})
	began := time.Now()
	resp := w.do(http.MethodGet, "/p/x", nil)
	assert.Equal(t, resp.status, http.StatusTooManyRequests)
	assert.Check(t, resp.header.Get("Retry-After") != "" && time.Since(began) < time.Second)
	assert.Check(t, strings.Contains(resp.body, "quota"))
}

// Guards against an entry that counts the time since the last change of the fleet from its
// first request, so that keepers start with a part of their capacity for no reason.
func TestFleetSettlesWithoutRequests(t *testing.T) {
	w := newTestGateway(t, plainRoute)
	w.sidecars(2)
	before := w.gateway.origins.currentHolders().settledAt
	w.publish()
	assert.Equal(t, w.gateway.origins.currentHolders().settledAt, before, "the hosts are the same")
	w.sidecars(1)
	assert.Assert(t, w.gateway.origins.currentHolders().settledAt.After(before))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.gateway.sweep(ctx)
	w.sidecars(1)
	noticed := func() bool { return w.gateway.origins.holders.Load().snapshot == w.gateway.control.snapshot.Load() }
	for range 100 {
		if noticed() {
			break
		}
		time.Sleep(sweepInterval / 5)
	}
	assert.Assert(t, noticed())
}
