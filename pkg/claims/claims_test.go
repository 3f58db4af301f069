package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/kv/etcd"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

const (
	retention = 15 * time.Minute
	entries   = 3
	team      = ident.Team("t")
	// bucketWidth is the period in which claims share a lease.
	bucketWidth = retention / bucketsPerRetention
)

type fault uint8

const (
	faultNone fault = iota
	faultDown
	faultReplyLost
	faultWriteDelayed
	faultPause
)

// faultyStore applies the next fault of a list to each write.
type faultyStore struct {
	*kvstore.Memory
	now           time.Time
	faults        []fault
	faultApplied  bool
	delayedWrites []func()
}

func (f *faultyStore) applyFault(call func()) error {
	next := faultNone
	if len(f.faults) > 0 {
		next, f.faults = f.faults[0], f.faults[1:]
	}
	f.faultApplied = f.faultApplied || next != faultNone
	switch next {
	case faultNone:
		call()
		return nil
	case faultPause:
		f.now = f.now.Add(retention / 2)
		call()
		return nil
	case faultReplyLost:
		call()
	case faultWriteDelayed:
		f.delayedWrites = append(f.delayedWrites, call)
	}
	return kv.ErrUnavailable
}

func (f *faultyStore) Txn(ctx context.Context, t kv.Txn) (r kv.TxnResult, err error) {
	if fault := f.applyFault(func() { r, err = f.Memory.Txn(ctx, t) }); fault != nil {
		return kv.TxnResult{}, fault
	}
	return r, err
}

func (f *faultyStore) Grant(ctx context.Context, ttl time.Duration) (id kv.LeaseID, err error) {
	if fault := f.applyFault(func() { id, err = f.Memory.Grant(ctx, ttl) }); fault != nil {
		return 0, fault
	}
	return id, err
}

// owner is the oracle's record of the request that alone may run for a key until the
// given time.
type owner struct {
	request  ident.RequestID
	revision int64
	until    time.Time
}

type model struct {
	store       *faultyStore
	claims      [entries]*Claims
	owners      map[string]owner
	lastSeen    map[string]Result // the latest record returned to a caller
	lastRequest int
	counts      *[4]int
}

func newModel(counts *[4]int) *model {
	m := &model{store: &faultyStore{now: time.Unix(1e9, 0)}, owners: map[string]owner{}, lastSeen: map[string]Result{}, counts: counts}
	m.store.Memory = kvstore.NewMemory(m.clock)
	for i := range m.claims {
		m.claims[i] = New(Settings{Retention: func() time.Duration { return retention }, Now: m.clock}, m.store)
	}
	return m
}

func (m *model) clock() time.Time { return m.store.now }

func (m *model) record() Record {
	m.lastRequest++
	return Record{Request: ident.RequestID(fmt.Sprint(m.lastRequest)), Endpoint: "e", Incarnation: 1, Attempt: 1}
}

func (m *model) draw(t *rapid.T) *Claims {
	kinds := []fault{faultNone, faultNone, faultNone, faultNone, faultDown, faultReplyLost, faultWriteDelayed, faultPause}
	m.store.faults = rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 4).Draw(t, "faults")
	m.store.faultApplied = false
	return m.claims[rapid.IntRange(0, entries-1).Draw(t, "entry")]
}

func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
}

// claim commits one group of claims, as a worker does.
func (m *model) claim(t *rapid.T) {
	c := m.draw(t)
	keys := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID).Draw(t, "keys")
	var group []*pendingClaim
	for _, key := range keys {
		w, err := newPendingClaim(Key(team, key), m.record())
		assert.NilError(t, err)
		group = append(group, w)
	}
	c.commit(group)
	for i, w := range group {
		select {
		case r := <-w.result:
			m.check(t, keys[i], w.record, r)
		default:
			t.Fatal("a claim of the group got no result")
		}
	}
}

// check compares a result with the oracle.
func (m *model) check(t *rapid.T, key string, rec Record, r Result) {
	m.counts[r.Status]++
	o, owned := m.owners[key]
	owned = owned && m.store.now.Before(o.until)
	switch r.Status {
	case Claimed:
		if owned {
			t.Fatalf("key %s claimed by %s while %s owns it", key, rec.Request, o.request)
		}
		assert.Equal(t, r.Record, rec)
		m.owners[key] = owner{request: rec.Request, revision: r.Revision, until: m.store.now.Add(retention)}
	case Existing:
		if owned {
			assert.Equal(t, r.Record.Request, o.request)
			assert.Equal(t, r.Revision, o.revision)
		}
	case Unavailable:
		assert.Assert(t, m.store.faultApplied, "unavailable without a fault: %v", r.Err)
		return
	}
	m.lastSeen[key] = r
}

// releaseOwner models the proof that the attempt recorded at a revision did not run.
func (m *model) releaseOwner(key string, revision int64) {
	if m.owners[key].revision == revision {
		delete(m.owners, key)
	}
}

func (m *model) takeOver(t *rapid.T) {
	key := drawKey(t)
	seen, ok := m.lastSeen[key]
	if !ok {
		return
	}
	c := m.draw(t)
	rec := m.record()
	m.releaseOwner(key, seen.Revision)
	current, _ := m.store.Get(context.Background(), Key(team, key))
	r := c.TakeOver(context.Background(), team, key, seen.Revision, rec)
	if current.ModRevision == seen.Revision && !m.store.faultApplied {
		assert.Equal(t, r.Status, Claimed)
	}
	if r.Err != nil && !m.store.faultApplied {
		assert.ErrorIs(t, r.Err, ErrRecordRemoved)
		return
	}
	m.check(t, key, rec, r)
}

func (m *model) drop(t *rapid.T) {
	key := drawKey(t)
	seen, ok := m.lastSeen[key]
	if !ok {
		return
	}
	c := m.draw(t)
	m.releaseOwner(key, seen.Revision)
	current, absent := m.store.Get(context.Background(), Key(team, key))
	err := c.Drop(context.Background(), team, key, seen.Revision)
	if m.store.faultApplied {
		return
	}
	if absent == nil && current.ModRevision != seen.Revision {
		assert.ErrorIs(t, err, ErrRecordReplaced)
		return
	}
	assert.NilError(t, err)
}

func (m *model) applyDelayedWrite(t *rapid.T) {
	if len(m.store.delayedWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.store.delayedWrites)-1).Draw(t, "write")
	call := m.store.delayedWrites[i]
	m.store.delayedWrites = append(m.store.delayedWrites[:i], m.store.delayedWrites[i+1:]...)
	call()
}

func (m *model) advance(t *rapid.T) {
	by := rapid.SampledFrom([]time.Duration{time.Minute, bucketWidth - 1, retention - 1, retention})
	m.store.now = m.store.now.Add(by.Draw(t, "by"))
}

// modelsPerCheck is the number of simulations per check of rapid. Several are needed,
// because few of them reach the end of a lease.
const modelsPerCheck = 10

// Compares the claims of several entries with an oracle under random store faults.
// Guards against two requests that both own a key within the retention, a caller's
// own record that is mistaken for another request's after a lost reply, and claims
// that get no result after their group failed.
func TestOneOwnerPerKey(t *testing.T) {
	var counts [4]int
	rapid.Check(t, func(t *rapid.T) {
		for range modelsPerCheck {
			m := newModel(&counts)
			t.Repeat(map[string]func(*rapid.T){
				"claim1":   m.claim,
				"claim2":   m.claim,
				"takeover": m.takeOver,
				"drop":     m.drop,
				"late":     m.applyDelayedWrite,
				"advance":  m.advance,
			})
		}
	})
	t.Logf("unavailable %d, claimed %d, existing %d", counts[Unavailable], counts[Claimed], counts[Existing])
	assert.Assert(t, counts[Claimed] > 100 && counts[Existing] > 100)
}

// Guards against acceptance of a UUIDv7 key whose record may have expired, and
// against the refusal of keys that contain no time.
func TestOldKeysAreRefused(t *testing.T) {
	m := newModel(new([4]int))
	v7 := uuid.Must(uuid.NewV7())
	sec, nsec := v7.Time().UnixTime()
	m.store.now = time.Unix(sec, nsec).Add(retention)
	ctx := context.Background()
	assert.Equal(t, m.claims[0].Claim(ctx, team, v7.String(), m.record()).Status, Claimed)
	m.store.now = m.store.now.Add(time.Second)
	assert.Equal(t, m.claims[0].Claim(ctx, team, v7.String(), m.record()).Status, TooOld)
	assert.Equal(t, m.claims[0].Claim(ctx, team, uuid.NewString(), m.record()).Status, Claimed)
}

// Guards against claims that fail until the end of a bucket because the key-value
// service has lost the lease of the bucket.
func TestLostLeaseIsReplaced(t *testing.T) {
	m := newModel(new([4]int))
	ctx := context.Background()
	assert.Equal(t, m.claims[0].Claim(ctx, team, "a", m.record()).Status, Claimed)
	assert.NilError(t, m.store.Revoke(ctx, m.claims[0].bucket.lease.id))
	assert.Equal(t, m.claims[0].Claim(ctx, team, "b", m.record()).Status, Claimed)
}

// Guards against concurrent entries that both claim the same key, also when replies
// are lost on a real connection.
func TestConcurrentEntriesOverLoopback(t *testing.T) {
	const keys = 200
	s, stop := startStore(t)
	defer stop()
	s.SetFaults(kvstore.Faults{LoseReplies: 2})
	var claimed, existing atomic.Int64
	var wg sync.WaitGroup
	for i := range entries {
		c := New(Settings{Retention: func() time.Duration { return retention }}, etcd.New(s.Addr(), etcd.Options{}))
		for k := range keys {
			wg.Go(func() {
				rec := Record{Request: ident.RequestID(fmt.Sprint(i, "/", k))}
				for {
					switch c.Claim(context.Background(), team, fmt.Sprint(k), rec).Status {
					case Claimed:
						claimed.Add(1)
						return
					case Existing:
						existing.Add(1)
						return
					}
				}
			})
		}
	}
	wg.Wait()
	assert.Equal(t, claimed.Load(), int64(keys))
	assert.Equal(t, existing.Load(), int64((entries-1)*keys))
}

// slowStore counts transactions and delays each of them.
type slowStore struct {
	*kvstore.Memory
	txns atomic.Int64
}

func (s *slowStore) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	s.txns.Add(1)
	time.Sleep(time.Millisecond)
	return s.Memory.Txn(ctx, t)
}

// Guards against waiting claims that do not share a transaction, and against claims
// that stay in the queue after their callers have stopped waiting.
func TestWaitingClaimsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Memory: kvstore.NewMemory(time.Now)}
		c := New(Settings{Retention: func() time.Duration { return retention }}, store)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond/2)
		defer cancel()
		var claimed, unavailable atomic.Int64
		for i := range 2 * DefaultMaxGroup {
			go func() {
				if c.Claim(t.Context(), team, fmt.Sprint(i), Record{}).Status == Claimed {
					claimed.Add(1)
				}
			}()
		}
		synctest.Wait()
		go func() {
			if c.Claim(ctx, team, "abandoned", Record{}).Status == Unavailable {
				unavailable.Add(1)
			}
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, claimed.Load(), int64(2*DefaultMaxGroup))
		assert.Equal(t, unavailable.Load(), int64(1))
		// Each worker first commits a group of its own; the remaining claims form
		// full groups.
		assert.Assert(t, store.txns.Load() <= DefaultInFlight+2)
		_, err := store.Get(t.Context(), Key(team, "abandoned"))
		assert.ErrorIs(t, err, kv.ErrNotFound)
	})
}

func startStore(t testing.TB) (*kvstore.Server, func()) {
	s, err := kvstore.New("127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return s, func() {
		cancel()
		assert.NilError(t, <-done)
	}
}

// BenchmarkClaims reports claims per second and store calls per claim. Each call
// takes 2 ms, and 256 requests wait at the same time.
func BenchmarkClaims(b *testing.B) {
	for _, group := range []int{1, DefaultMaxGroup} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			s, stop := startStore(b)
			defer stop()
			s.SetFaults(kvstore.Faults{Delay: 2 * time.Millisecond})
			set := Settings{Retention: func() time.Duration { return retention }, MaxGroup: group}
			c := New(set, etcd.New(s.Addr(), etcd.Options{}))
			var next, failed atomic.Int64
			var wg sync.WaitGroup
			b.ResetTimer()
			for range 256 {
				wg.Go(func() {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						r := c.Claim(context.Background(), team, fmt.Sprint(n), Record{Request: ident.NewRequestID()})
						if r.Status != Claimed {
							failed.Add(1)
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(s.Counts().Total())/float64(b.N), "calls/claim")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}
