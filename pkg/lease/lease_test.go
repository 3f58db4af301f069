package lease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// A part of endpoint.Authority, repeated here because importing the endpoint package
// would be an import cycle.
var _ interface {
	Token() (token uint64, ok bool)
} = (*Manager)(nil)

// faultyStore is a store with faults. The next call takes the time before until it
// takes effect and the time after until its reply arrives. If lose is set, its reply is
// lost; if late is set, it fails and takes effect later. Calls fail while down is set.
type faultyStore struct {
	*kvstore.Memory
	now     time.Time
	down    atomic.Bool
	calls   atomic.Int64
	before  time.Duration
	after   time.Duration
	lose    bool
	late    bool
	during  func() // runs between the effect of a call and its reply
	delayed []func()
}

func (f *faultyStore) clear() {
	f.before, f.after, f.lose, f.late, f.during = 0, 0, false, false, nil
}

// do makes one call with the faults set for it.
func (f *faultyStore) do(call func()) error {
	f.calls.Add(1)
	f.now = f.now.Add(f.before)
	switch {
	case f.down.Load():
		return kv.ErrUnavailable
	case f.late:
		f.delayed = append(f.delayed, call)
		return kv.ErrUnavailable
	}
	call()
	after, lose, during := f.after, f.lose, f.during
	f.clear()
	if during != nil {
		during()
	}
	f.now = f.now.Add(after)
	// The reply is not dropped after a long delay, because a paused process can still
	// read a reply that arrived long before.
	if lose {
		return kv.ErrUnavailable
	}
	return nil
}

func (f *faultyStore) Get(ctx context.Context, key string) (p kv.Pair, err error) {
	fault := f.do(func() { p, err = f.Memory.Get(ctx, key) })
	return p, firstError(fault, err)
}

func (f *faultyStore) Txn(ctx context.Context, t kv.Txn) (r kv.TxnResult, err error) {
	fault := f.do(func() { r, err = f.Memory.Txn(ctx, t) })
	return r, firstError(fault, err)
}

func (f *faultyStore) Grant(ctx context.Context, ttl time.Duration) (id kv.LeaseID, err error) {
	fault := f.do(func() { id, err = f.Memory.Grant(ctx, ttl) })
	return id, firstError(fault, err)
}

func (f *faultyStore) KeepAlive(ctx context.Context, id kv.LeaseID) (ttl time.Duration, err error) {
	fault := f.do(func() { ttl, err = f.Memory.KeepAlive(ctx, id) })
	return ttl, firstError(fault, err)
}

func (f *faultyStore) Revoke(ctx context.Context, id kv.LeaseID) (err error) {
	fault := f.do(func() { err = f.Memory.Revoke(ctx, id) })
	return firstError(fault, err)
}

func firstError(fault, err error) error {
	if fault != nil {
		return fault
	}
	return err
}

type command struct {
	holder   string
	token    uint64
	deadline time.Time
}

// model simulates two processes with the same endpoint id and an engine that ignores
// fencing tokens.
type model struct {
	store       *faultyStore
	managers    [2]*Manager
	inFlight    []command
	newestToken map[string]uint64 // highest accepted token by holder id
	accepted    int
	takeovers   int
}

func newModel() *model {
	m := &model{store: &faultyStore{now: time.Unix(0, 0)}, newestToken: map[string]uint64{}}
	m.store.Memory = kvstore.NewMemory(m.clock)
	m.start(0)
	m.start(1)
	return m
}

func (m *model) clock() time.Time { return m.store.now }

func (m *model) start(i int) {
	m.managers[i] = New(Settings{Endpoint: "e", Now: m.clock}, m.store, logging.Nop())
}

func (m *model) step(t *rapid.T) {
	delay := rapid.SampledFrom([]time.Duration{0, 0, 0, time.Second, DefaultCallTimeout, 70 * time.Second})
	m.store.before = delay.Draw(t, "before")
	m.store.after = delay.Draw(t, "after")
	m.store.lose = rapid.IntRange(0, 5).Draw(t, "lose") == 0
	m.store.late = rapid.IntRange(0, 7).Draw(t, "late") == 0
	i := rapid.IntRange(0, 1).Draw(t, "holder")
	calls := rapid.IntRange(0, 4).Draw(t, "calls of the other")
	m.store.during = func() {
		for range calls {
			m.managers[1-i].step(context.Background())
		}
	}
	m.managers[i].step(context.Background())
	m.store.clear()
}

// runCalls makes several calls of one process without faults.
func (m *model) runCalls(t *rapid.T) {
	h := m.managers[rapid.IntRange(0, 1).Draw(t, "holder")]
	for range rapid.IntRange(1, 5).Draw(t, "calls") {
		h.step(context.Background())
	}
}

func (m *model) crash(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
		m.start(rapid.IntRange(0, 1).Draw(t, "holder"))
	}
}

// issueCommands lets each process check its authority and, if allowed, send a command
// twice: one copy arrives at once, the other may be delayed by the network or a pause
// of the process.
func (m *model) issueCommands(t *rapid.T) {
	for _, h := range m.managers {
		token, ok := h.Token()
		if !ok {
			continue
		}
		o := command{holder: h.holderID, token: token, deadline: m.store.now.Add(DefaultCommandDeadline)}
		m.accept(t, o)
		m.inFlight = append(m.inFlight, o)
	}
}

// deliver passes a delayed command to the engine, which checks only its deadline.
func (m *model) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "order")
	o := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	m.accept(t, o)
}

func (m *model) accept(t *rapid.T, o command) {
	if m.store.now.After(o.deadline) {
		return
	}
	// Commands of one process may arrive out of order after it has lost and regained
	// its lease.
	for holder, token := range m.newestToken {
		if holder != o.holder && token > o.token {
			t.Fatalf("engine accepted a command with token %d after one of a later holder with token %d", o.token, token)
		}
	}
	if m.newestToken[o.holder] == 0 && len(m.newestToken) > 0 {
		m.takeovers++
	}
	m.newestToken[o.holder] = max(m.newestToken[o.holder], o.token)
	m.accepted++
}

func (m *model) applyLate(t *rapid.T) {
	if len(m.store.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.store.delayed)-1).Draw(t, "write")
	call := m.store.delayed[i]
	m.store.delayed = append(m.store.delayed[:i], m.store.delayed[i+1:]...)
	call()
}

func (m *model) release(t *rapid.T) {
	if m.store.down.Load() {
		return
	}
	i := rapid.IntRange(0, 1).Draw(t, "holder")
	// A process releases its lease only after its commands were answered or have
	// passed their deadline.
	m.store.now = m.store.now.Add(DefaultCommandDeadline + 1)
	m.managers[i].release(context.Background())
	m.start(i)
}

func (m *model) advance(t *rapid.T) {
	by := rapid.SampledFrom([]time.Duration{time.Second, DefaultCommandDeadline, DefaultRenewInterval, DefaultTTL})
	m.store.now = m.store.now.Add(by.Draw(t, "by"))
}

// advanceToLimit moves the clock to a boundary case: the last moment of a lease, the
// first moment at which commands are allowed, or the deadline of a command.
func (m *model) advanceToLimit(t *rapid.T) {
	var limits []time.Time
	for _, h := range m.managers {
		v := h.view.Load()
		limits = append(limits, v.expiry.Add(-1), v.notBefore)
	}
	for _, o := range m.inFlight {
		limits = append(limits, o.deadline)
	}
	if limit := rapid.SampledFrom(limits).Draw(t, "limit"); limit.After(m.store.now) {
		m.store.now = limit
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"step":    m.step,
		"work1":   m.runCalls,
		"work2":   m.runCalls,
		"work3":   m.runCalls,
		"issue1":  m.issueCommands,
		"issue2":  m.issueCommands,
		"deliver": m.deliver,
		"late":    m.applyLate,
		"release": m.release,
		"crash":   m.crash,
		"outage":  func(t *rapid.T) { m.store.down.Store(rapid.IntRange(0, 3).Draw(t, "down") == 0) },
		"advance": m.advance,
		"limit1":  m.advanceToLimit,
		"limit2":  m.advanceToLimit,
	}
}

// checkRecovery checks that a single process acquires the lease after all faults have
// ended.
func (m *model) checkRecovery(t *rapid.T) {
	m.store.down.Store(false)
	h := m.managers[0]
	end := m.store.now.Add(10 * time.Minute)
	for m.store.now.Before(end) {
		if h.Authority().State == Held {
			return
		}
		m.store.now = m.store.now.Add(max(h.step(context.Background()), time.Millisecond))
	}
	t.Fatal("the lease was not acquired within 10 minutes after all faults ended")
}

// modelsPerCheck is the number of simulations per check of rapid. Several are needed,
// because few of them reach a command of a second holder.
const modelsPerCheck = 10

// Simulates two processes with random faults. Guards against a command of a former
// holder that takes effect after the first command of a later holder, and against a
// lease that no process can acquire any more.
func TestOneHolderCommandsTheEngine(t *testing.T) {
	violations := invariant.Violations()
	accepted, takeovers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		for range modelsPerCheck {
			m := newModel()
			t.Repeat(m.actions())
			m.checkRecovery(t)
			accepted += m.accepted
			takeovers += m.takeovers
		}
	})
	// The test proves nothing if commands of a second holder are rare.
	assert.Assert(t, takeovers > 10)
	assert.Equal(t, invariant.Violations(), violations)
	t.Logf("%d commands accepted, %d of them the first ones of a later holder", accepted, takeovers)
}

// Guards against commands without authority during an outage of the key-value service,
// against a Manager that gives up its token in an outage although the engine checks
// tokens, and against a wait after a release.
func TestOutageAndRelease(t *testing.T) {
	for _, checked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := &faultyStore{Memory: kvstore.NewMemory(time.Now)}
			run := func() (*Manager, func()) {
				h := New(Settings{Endpoint: "e", EngineChecksTokens: checked}, store, logging.Nop())
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { defer close(done); h.Run(ctx) }()
				return h, func() { cancel(); <-done }
			}
			h, stop := run()
			synctest.Wait()
			assert.Equal(t, h.Authority(), Authority{State: Held, Token: 1})
			store.down.Store(true)
			time.Sleep(DefaultTTL - DefaultRenewInterval)
			assert.Equal(t, h.Authority().State, Held)
			time.Sleep(DefaultRenewInterval)
			want := Authority{}
			if checked {
				want = Authority{State: FencingOnly, Token: 1}
			}
			assert.Equal(t, h.Authority(), want)
			store.down.Store(false)
			time.Sleep(DefaultRenewInterval + time.Second)
			synctest.Wait()
			assert.Equal(t, h.Authority(), Authority{State: Held, Token: 2})
			stop()
			assert.Equal(t, h.Authority(), Authority{})
			h, stop = run()
			synctest.Wait()
			assert.Equal(t, h.Authority(), Authority{State: Held, Token: 3})
			stop()
		})
	}
}

// Guards against a Manager that makes more calls than the key-value service can handle
// from 2,800 endpoints, in normal operation and during an outage.
func TestCallsPerMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{Memory: kvstore.NewMemory(time.Now)}
		h := New(Settings{Endpoint: "e"}, store, logging.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); h.Run(ctx) }()
		synctest.Wait()
		start := store.calls.Load()
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		rest := store.calls.Load() - start
		store.down.Store(true)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		outage := store.calls.Load() - start - rest
		t.Logf("%d calls in 10 minutes of normal operation, %d in an outage of 10 minutes", rest, outage)
		assert.Equal(t, rest, int64(30))
		assert.Assert(t, outage <= 36)
		cancel()
		<-done
	})
}

// Guards against runs on adapters that a crashed process may still evict. Exclusive must
// stay false until the lease and the command deadline of the crashed process have
// passed, with and without the key-value service. If the engine checks tokens, there is
// nothing to wait for.
func TestExclusiveAfterCrash(t *testing.T) {
	for _, c := range []struct {
		name          string
		checked, down bool
		want          time.Duration
	}{
		{"tokens ignored", false, false, DefaultTTL + DefaultCommandDeadline},
		{"tokens ignored, service down", false, true, DefaultTTL + DefaultCommandDeadline},
		{"tokens checked", true, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kvstore.NewMemory(time.Now)
				crashed, crash := context.WithCancel(t.Context())
				old := New(Settings{Endpoint: "e", EngineChecksTokens: c.checked}, crashingStore{store}, logging.Nop())
				done := make(chan struct{})
				go func() { defer close(done); old.Run(crashed) }()
				synctest.Wait()
				assert.Assert(t, old.Exclusive())
				crash()
				<-done
				var next kv.Store = store
				if c.down {
					next = unavailable{}
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				h := New(Settings{Endpoint: "e", EngineChecksTokens: c.checked}, next, logging.Nop())
				stopped := make(chan struct{})
				go func() { defer close(stopped); h.Run(ctx) }()
				began := time.Now()
				for !h.Exclusive() {
					time.Sleep(time.Second)
				}
				took := time.Since(began)
				assert.Assert(t, took >= c.want && took <= c.want+2*time.Second, "exclusive after %s", took)
				cancel()
				<-stopped
			})
		})
	}
}

// crashingStore makes a Manager end as in a crash: its release has no effect, because
// only the transaction that creates the record succeeds.
type crashingStore struct{ kv.Store }

func (u crashingStore) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if txn.Compares[0].ModRevision != 0 {
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	return u.Store.Txn(ctx, txn)
}

// unavailable is a key-value service whose reads fail, as in an outage.
type unavailable struct{ kv.Store }

func (unavailable) Get(context.Context, string) (kv.Pair, error) {
	return kv.Pair{}, kv.ErrUnavailable
}
