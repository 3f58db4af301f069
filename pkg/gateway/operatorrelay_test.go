package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// relaySidecar answers with one item, whose revision is given, unless that is 0.
type relaySidecar struct {
	fescuev1.ResidencyClient
	revision int64
	asked    atomic.Int32
}

func (s *relaySidecar) ReadOperatorItems(context.Context, *fescuev1.ReadOperatorItemsRequest, ...grpc.CallOption) (*fescuev1.ReadOperatorItemsResponse, error) {
	s.asked.Add(1)
	if s.revision == 0 {
		return nil, errors.New("unreachable")
	}
	return &fescuev1.ReadOperatorItemsResponse{Items: []*fescuev1.OperatorItem{{Key: "config", Revision: s.revision}}}, nil
}

func (s *relaySidecar) link() *originLink {
	l := newOriginLink()
	l.connected(s)
	return l
}

const testPatience = 1500 * time.Millisecond

// newTestRelay returns a relay that has read revision 1. Supplied items are read at once.
func newTestRelay(available bool) *operatorRelay {
	r := newOperatorRelay(testPatience, logging.Nop())
	r.available = func() bool { return available }
	r.supply = func(_ context.Context, era kv.Era, pairs []kv.Pair) bool {
		r.read(era, pairs[0].ModRevision)
		return true
	}
	r.read(0, 1)
	return r
}

// Guards against questions to sidecars, or against none, by what the store does: it brings the
// item within the pause of the watch, turns the entry away, or says nothing.
func TestRelayAsksOnlyIfTheStoreDoesNotBringItems(t *testing.T) {
	for name, tc := range map[string]struct {
		available    bool
		storeAfter   time.Duration
		asked        int32
		caughtUpIn   time.Duration
		needsItemNow bool
	}{
		"the store brings it":                   {available: true, storeAfter: time.Second, caughtUpIn: time.Second},
		"the store says nothing":                {available: true, asked: 1, caughtUpIn: testPatience},
		"the store turns the entry away":        {asked: 1},
		"a request needs it":                    {available: true, asked: 1, needsItemNow: true},
		"a request needs it, and it comes soon": {available: true, storeAfter: testPatience * 2, asked: 1, needsItemNow: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, s := newTestRelay(tc.available), &relaySidecar{revision: 2}
				if tc.storeAfter > 0 {
					time.AfterFunc(tc.storeAfter, func() { r.read(0, 2) })
				}
				began := time.Now()
				r.report(t.Context(), s.link(), 2)
				if tc.needsItemNow {
					r.await(t.Context())
				}
				for _, behind := r.behind(); behind; _, behind = r.behind() {
					time.Sleep(time.Millisecond)
				}
				assert.Assert(t, time.Since(began)-tc.caughtUpIn < 10*time.Millisecond, "after %v", time.Since(began))
				time.Sleep(3 * testPatience)
				assert.Equal(t, s.asked.Load(), tc.asked)
			})
		})
	}
}

// Guards against an entry that asks only a lost sidecar, that asks it without a pause, or that
// counts as behind for good because of a report that nobody can confirm.
func TestRelayWithLostSidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, lost := newTestRelay(false), &relaySidecar{}
		r.report(t.Context(), lost.link(), 9)
		time.Sleep(10 * time.Second)
		assert.Equal(t, lost.asked.Load(), int32(1))
		_, behind := r.behind()
		assert.Assert(t, !behind)

		sound := &relaySidecar{revision: 9}
		r.report(t.Context(), lost.link(), 9)
		synctest.Wait() // the lost one has been asked before the other one reports
		r.report(t.Context(), sound.link(), 9)
		time.Sleep(2 * relayPause)
		_, behind = r.behind()
		assert.Assert(t, !behind)
		assert.Equal(t, sound.asked.Load(), int32(1))
	})
}

// Guards against reports of a new era that are ignored because the revisions of the earlier
// one were higher.
func TestRelayInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s := newTestRelay(false), &relaySidecar{revision: 5}
		r.read(1, 900)
		r.read(2, 3)
		r.report(t.Context(), s.link(), 5)
		_, behind := r.behind()
		assert.Assert(t, behind)
		synctest.Wait()
	})
}

// storeSidecar reads the operator's items from a store.
type storeSidecar struct {
	fescuev1.ResidencyClient
	store *kvstore.Memory
}

func (s *storeSidecar) ReadOperatorItems(ctx context.Context, q *fescuev1.ReadOperatorItemsRequest, _ ...grpc.CallOption) (*fescuev1.ReadOperatorItemsResponse, error) {
	pairs, _, err := s.store.List(ctx, "version/")
	resp := &fescuev1.ReadOperatorItemsResponse{}
	for _, p := range pairs {
		if p.ModRevision > q.GetAfterRevision() {
			resp.Items = append(resp.Items, &fescuev1.OperatorItem{Key: p.Key, Value: p.Value, Revision: p.ModRevision})
		}
	}
	return resp, err
}

// Guards against an entry that the store turns away and that uses an old configuration although
// sidecars know a newer one, and against one that it reads twice.
func TestItemsReachAnEntryThatTheStoreTurnsAway(t *testing.T) {
	store := &separableStore{Memory: kvstore.NewMemory(time.Now)}
	store.announce(t, 1)
	c, stop := startControl(t, store)
	defer stop()
	newest := func(version int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if v := c.snapshot.Load().Versions[adapterKey]; v.Newest() == version {
				return poll.Success()
			}
			return poll.Continue("not yet")
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	newest(1)
	store.separate(true)
	store.announce(t, 2)
	p, err := store.Get(t.Context(), "version/a1")
	assert.NilError(t, err)
	link := newOriginLink()
	link.connected(&storeSidecar{store: store.Memory})
	c.relay.report(t.Context(), link, p.ModRevision)
	newest(2)
	_, behind := c.relay.behind()
	assert.Assert(t, !behind)
	store.announce(t, 3)
	store.separate(false)
	newest(3)
}

// Guards against a question to a sidecar without a wait for the store, because of a request that
// needed an earlier item.
func TestRelayForgetsEarlierHurry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s := newTestRelay(true), &relaySidecar{revision: 2}
		r.hurry <- struct{}{}
		r.report(t.Context(), s.link(), 2)
		time.Sleep(testPatience / 2)
		assert.Equal(t, s.asked.Load(), int32(0))
		time.Sleep(testPatience)
		assert.Equal(t, s.asked.Load(), int32(1))
	})
}
