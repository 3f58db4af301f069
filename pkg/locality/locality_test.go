package locality

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

var (
	testKey   = fleet.AdapterKey{Model: "m", Name: "a1"}
	testScope = Scope{Key: testKey, Weights: 1, Adapter: 1}
)

func endpoints(n int) []*fleet.Endpoint {
	out := make([]*fleet.Endpoint, n)
	for i := range out {
		out[i] = &fleet.Endpoint{ID: fleet.ID(fmt.Sprintf("i-%d", i)), State: fleet.Ready, Slots: 64, Runtime: fleet.NewRuntime()}
		out[i].Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now(), Free: 1, LoadLimit: 1, Models: map[string]int{"m": 1}})
	}
	return out
}

func setResident(e *fleet.Endpoint, version int) {
	changeStatus(e, func(st *fleet.Status) { st.Residents = map[fleet.AdapterKey]int{testKey: version} })
}

func changeStatus(e *fleet.Endpoint, change func(*fleet.Status)) {
	st := *e.Runtime.Status()
	change(&st)
	e.Runtime.SetStatus(&st)
}

func choose(t *testing.T, r Request, list []*fleet.Endpoint) Choice {
	t.Helper()
	r.Key = testKey
	r.Now = time.Now()
	c, ok := New(DefaultWeights(), NewPrefixIndex()).Choose(&r, list)
	assert.Assert(t, ok)
	return c
}

// Guards against ranks that differ from those of a full sort by rendezvous hash.
func TestRanks(t *testing.T) {
	for _, n := range []int{1, 3, 5, 6, 56} {
		list := endpoints(n)
		key := xxhash.Sum64String("m/a1")
		for i, got := range ranks(testKey, list) {
			want := 0
			for j := range list {
				if ident.MixHashes(key, xxhash.Sum64String(string(list[j].ID))) > ident.MixHashes(key, xxhash.Sum64String(string(list[i].ID))) {
					want++
				}
			}
			assert.Equal(t, got, min(want, maxRank))
		}
	}
}

// Guards against loading an adapter although a server with little to do already has
// it, and against queueing at a busy server although another one could load the
// adapter sooner.
func TestHolderUnlessItsQueueIsLong(t *testing.T) {
	list := endpoints(4)
	setResident(list[2], 1)
	assert.Equal(t, choose(t, Request{PromptTokens: 800}, list).Endpoint, list[2])
	list[2].Runtime.Backlog[1].Add(200_000)
	c := choose(t, Request{PromptTokens: 800, Priority: 1}, list)
	assert.Assert(t, c.Endpoint != list[2] && !c.Resident)
}

// Guards against an urgent request that avoids a server because of less urgent work
// in its queue.
func TestUrgentRequestsPassTheQueue(t *testing.T) {
	list := endpoints(4)
	setResident(list[2], 1)
	list[2].Runtime.Backlog[2].Add(200_000)
	assert.Equal(t, choose(t, Request{PromptTokens: 800, Priority: 0}, list).Endpoint, list[2])
}

// Guards against choosing a server that is leaving or down, and against treating an
// older adapter version as resident.
func TestUnusableServers(t *testing.T) {
	list := endpoints(3)
	for _, e := range list {
		setResident(e, 1)
	}
	list[0].State = fleet.Draining
	st := *list[1].Runtime.Status()
	st.Draining = true
	list[1].Runtime.SetStatus(&st)
	assert.Equal(t, choose(t, Request{}, list).Endpoint, list[2])
	assert.Assert(t, !choose(t, Request{Version: 2}, list).Resident)
	st.Down, st.Draining = true, false
	list[2].Runtime.SetStatus(&st)
	_, ok := New(DefaultWeights(), NewPrefixIndex()).Choose(&Request{Now: time.Now(), Key: testKey}, list)
	assert.Assert(t, !ok)
}

// Guards against ignoring shared prompt parts that a server has in its cache.
func TestKeptPrefixes(t *testing.T) {
	list := endpoints(6)
	for _, e := range list {
		setResident(e, 1)
	}
	prefixes := NewPrefixIndex()
	parts := []Part{{ID: "a", Tokens: 2500}, {ID: "b", Tokens: 3800}, {ID: "own", Tokens: 2890}}
	now := time.Now()
	last := list[5]
	prefixes.RecordPrompt(now, last.Runtime, testScope, parts)
	c, ok := New(DefaultWeights(), prefixes).Choose(&Request{Now: now, Key: testKey, Prefix: []Part{parts[0], {ID: "c", Tokens: 3800}}, PromptTokens: 6300}, []*fleet.Endpoint{list[5]})
	assert.Assert(t, ok)
	assert.Equal(t, c.CachedTokens, 2500)
	assert.Equal(t, prefixes.CachedTokens(now.Add(2*fleet.PrefixCacheTTL), last.Runtime, testScope, parts), 0)
	assert.Equal(t, prefixes.CachedTokens(now, list[0].Runtime, testScope, parts), 0)
	other := NewPrefixIndex()
	other.RecordParts(now, last.Runtime, SharedParts(testScope, parts))
	assert.Equal(t, other.CachedTokens(now, last.Runtime, testScope, parts), 6300, "parts read for another entry")
	for _, scope := range []Scope{
		{Key: fleet.AdapterKey{Model: "m", Name: "a2"}, Weights: 1, Adapter: 1},
		{Key: testKey, Weights: 2, Adapter: 1},
		{Key: testKey, Weights: 1, Adapter: 2},
		{Key: testKey, Adapter: 1},
	} {
		assert.Equal(t, other.CachedTokens(now, last.Runtime, scope, parts), 0, "%v", scope)
	}
}

// Guards against processing a long shared prompt part again although another server
// has it in its cache, and against fetching it from a server that may not respond.
// The case is a popular adapter that several servers have loaded, of which one has
// processed the part and is busy.
func TestKeptPartsAreFetchedFromAnotherHolder(t *testing.T) {
	parts := []Part{{ID: "a", Tokens: 2500}, {ID: "b", Tokens: 3800}, {ID: "own", Tokens: 2890}}
	now := time.Now()
	choose := func(change func(busy *fleet.Endpoint)) Choice {
		list := endpoints(2)
		busy, idle := list[0], list[1]
		setResident(busy, 1)
		setResident(idle, 1)
		busy.Runtime.Backlog[0].Store(40_000)
		prefixes := NewPrefixIndex()
		prefixes.RecordParts(now, busy.Runtime, SharedParts(testScope, parts))
		change(busy)
		c, ok := New(DefaultWeights(), prefixes).Choose(&Request{Now: now, Key: testKey, Prefix: parts, PromptTokens: 9190}, list)
		assert.Assert(t, ok)
		assert.Equal(t, c.Endpoint, idle)
		return c
	}
	c := choose(func(*fleet.Endpoint) {})
	assert.Assert(t, c.Source != nil)
	assert.Equal(t, c.CachedTokens, 6300)
	for name, change := range map[string]func(*fleet.Endpoint){
		"another version": func(e *fleet.Endpoint) { setResident(e, 2) },
		"other weights": func(e *fleet.Endpoint) {
			changeStatus(e, func(st *fleet.Status) { st.Models = map[string]int{"m": 2} })
		},
		"no weights": func(e *fleet.Endpoint) {
			changeStatus(e, func(st *fleet.Status) { st.Models = map[string]int{"m": 0} })
		},
		"being replaced": func(e *fleet.Endpoint) {
			changeStatus(e, func(st *fleet.Status) { st.Loading = map[fleet.AdapterKey]int{testKey: 2} })
		},
		"failing":  func(e *fleet.Endpoint) { e.Runtime.RecordFailure(now) },
		"draining": func(e *fleet.Endpoint) { e.State = fleet.Draining },
		"silent":   func(e *fleet.Endpoint) { e.Runtime.AgeStatus(2 * lateStatusAge) },
	} {
		c := choose(change)
		assert.Assert(t, c.Source == nil && c.CachedTokens == 0, name)
	}
}

// Guards against a server that is told to fetch parts although its own versions are not
// certain: its status is late, it is replacing the adapter, or it reports no weights. The
// case is one server without the parts beside one that has them.
func TestUncertainServersDoNotFetch(t *testing.T) {
	parts := []Part{{ID: "a", Tokens: 6000}, {ID: "own", Tokens: 200}}
	now := time.Now()
	for name, change := range map[string]func(*fleet.Endpoint){
		"silent": func(e *fleet.Endpoint) { e.Runtime.AgeStatus(2 * lateStatusAge) },
		"being replaced": func(e *fleet.Endpoint) {
			changeStatus(e, func(st *fleet.Status) { st.Loading = map[fleet.AdapterKey]int{testKey: 2} })
		},
		"no weights": func(e *fleet.Endpoint) {
			changeStatus(e, func(st *fleet.Status) { st.Models = map[string]int{"m": 0} })
		},
	} {
		list := endpoints(2)
		holder, target := list[0], list[1]
		setResident(holder, 1)
		setResident(target, 1)
		holder.Runtime.Backlog[0].Store(1_000_000)
		change(target)
		prefixes := NewPrefixIndex()
		prefixes.RecordParts(now, holder.Runtime, SharedParts(testScope, parts))
		c, ok := New(DefaultWeights(), prefixes).Choose(&Request{Now: now, Key: testKey, Prefix: parts, PromptTokens: 6200}, list)
		assert.Assert(t, ok && c.Endpoint == target && c.Resident, name)
		assert.Assert(t, c.Source == nil, name)
	}
}

// Guards against a server whose own cache is ignored because it does not report the
// version of its weights, as servers of an earlier release do not.
func TestOwnCacheCountsWithoutWeights(t *testing.T) {
	parts := []Part{{ID: "a", Tokens: 6000}, {ID: "own", Tokens: 200}}
	list := endpoints(1)
	setResident(list[0], 1)
	changeStatus(list[0], func(st *fleet.Status) { st.Models = map[string]int{"m": 0} })
	prefixes := NewPrefixIndex()
	now := time.Now()
	r := &Request{Now: now, Key: testKey, Prefix: parts, PromptTokens: 6200}
	first, _ := New(DefaultWeights(), prefixes).Choose(r, list)
	prefixes.RecordPrompt(now, list[0].Runtime, first.Scope, parts)
	second, _ := New(DefaultWeights(), prefixes).Choose(r, list)
	assert.Equal(t, second.CachedTokens, 6200)
}

// Guards against refusing a request that a server could still serve, and against
// letting one wait for loads that take longer than its caller waits.
func TestLoadBacklog(t *testing.T) {
	now := time.Now()
	other := fleet.AdapterKey{Model: "m", Name: "other"}
	st := &fleet.Status{ReceivedAt: now, PendingLoads: 11, LoadTime: 300 * time.Millisecond}
	assert.Equal(t, LoadBacklog(now, st, testKey), 750*time.Millisecond)
	st.Loading = map[fleet.AdapterKey]int{other: 1}
	assert.Equal(t, LoadBacklog(now, st, other), time.Duration(0), "being loaded")
	assert.Equal(t, LoadBacklog(now.Add(time.Minute), st, testKey), time.Duration(0), "no recent status")
	assert.Equal(t, LoadBacklog(now, nil, testKey), time.Duration(0))
	st.PendingLoads = 0
	assert.Equal(t, LoadBacklog(now, st, testKey), time.Duration(0))
}

// Guards against a plain endpoint that fails some of its requests and still gets as
// many as the others.
func TestPlainAvoidsFailingEndpoints(t *testing.T) {
	list := endpoints(3)
	for _, e := range list {
		e.Runtime.RecordSuccess(30 * time.Millisecond)
	}
	now := time.Now()
	for range 3 {
		list[0].Runtime.RecordFailure(now)
	}
	for spread := range uint64(12) {
		assert.Assert(t, ChoosePlain(&Request{Now: now}, list, spread) != list[0])
	}
	later := &Request{Now: now.Add(time.Minute)}
	assert.Equal(t, ChoosePlain(later, list, 0), list[0], "the endpoint must be tried again")
}

// BenchmarkChoose measures one choice for different numbers of model servers.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 56, 330, 2800} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			list := endpoints(n)
			c := New(DefaultWeights(), NewPrefixIndex())
			r := &Request{Now: time.Now(), Key: testKey, PromptTokens: 9190, Prefix: []Part{{ID: "a", Tokens: 2500}}}
			b.ReportAllocs()
			for b.Loop() {
				c.Choose(r, list)
			}
		})
	}
}

// Guards against a crash, and against a load, for a server of which nothing is known yet: it
// has just registered and not reported. A cost below that of a server without room led there.
func TestNoPreloadAtAServerThatHasNotReported(t *testing.T) {
	for _, warmup := range []time.Duration{0, -time.Hour} {
		list := endpoints(1)
		list[0].Runtime = fleet.NewRuntime()
		list[0].WarmupRemaining = warmup
		c := choose(t, Request{Version: 1, Upcoming: 2}, list)
		assert.Assert(t, c.Preload == nil)
	}
}
