package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
	"github.com/fescuecourse/fescuecourse/pkg/wait"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
	"github.com/fescuecourse/fescuecourse/standin/kvstore"
)

// Faults of the key-value service, and rollouts with and without such faults.
const (
	FaultKVDown              FaultKind = "key-value service down"
	FaultKVDownPastLease     FaultKind = "key-value service down past the lease"
	FaultKVSlow              FaultKind = "key-value service slow"
	FaultKVLostReplies       FaultKind = "key-value service loses replies"
	FaultKVMutedWatches      FaultKind = "key-value service mutes watches"
	FaultRollout             FaultKind = "rollout"
	FaultRolloutRace         FaultKind = "rollout race of two operators"
	FaultRolloutKVDown       FaultKind = "rollout, then key-value service down"
	FaultRolloutLostReplies  FaultKind = "rollout with lost replies"
	FaultRolloutMutedWatches FaultKind = "rollout with muted watches"
	FaultRolloutKVSlow       FaultKind = "rollout with slow key-value service"
)

var platformKinds = []FaultKind{
	FaultRollout, FaultRolloutRace, FaultRolloutKVDown, FaultKVDown, FaultRolloutLostReplies, FaultKVDownPastLease,
	FaultRolloutMutedWatches, FaultKVSlow, FaultKVLostReplies, FaultKVMutedWatches, FaultRolloutKVSlow,
}

// Parameters of the faults of the key-value service.
const (
	kvDelay       = 300 * time.Millisecond
	kvLostReplies = 6
	// A short fault lasts from kvFaultMin to kvFaultMin+kvFaultSpread.
	kvFaultMin    = time.Second
	kvFaultSpread = 3 * time.Second
	// pastLeaseMargin is how much longer than the time to live of an engine lease a
	// long outage lasts.
	pastLeaseMargin = 3 * time.Second
	// platformPause is the mean pause between two platform faults.
	platformPause = 500 * time.Millisecond
	// activePoll is the interval at which the operator checks whether a bundle is
	// active.
	activePoll = 20 * time.Millisecond
)

// PlannedPlatformFault is one fault of the key-value service or one rollout. Platform
// faults do not overlap, so that their effects can be told apart.
type PlannedPlatformFault struct {
	Kind FaultKind
	// Pause is the time before the fault, Duration the length of a short fault of the
	// key-value service.
	Pause    time.Duration
	Duration time.Duration
}

// PlanPlatformFaults returns n faults and rollouts. Every kind occurs once before
// any occurs again. Equal arguments give equal plans.
func PlanPlatformFaults(seed uint64, n int) []PlannedPlatformFault {
	rng := rand.New(rand.NewPCG(seed, 3))
	var out []PlannedPlatformFault
	for len(out) < n {
		for _, k := range rng.Perm(len(platformKinds)) {
			out = append(out, PlannedPlatformFault{
				Kind:     platformKinds[k],
				Pause:    time.Duration(rng.ExpFloat64() * float64(platformPause)),
				Duration: kvFaultMin + time.Duration(rng.Int64N(int64(kvFaultSpread))),
			})
		}
	}
	return out[:n]
}

// operator rolls out bundles and injects faults into the key-value service. It is
// used by a single goroutine.
type operator struct {
	f             *faultRun
	rng           *rand.Rand
	bundleContent bundleContent
	root          *bundle.Root
	client        *workload.Client
	requests      int
	// activationTimes are the times from the acceptance of a bundle until it was
	// active everywhere.
	activationTimes []time.Duration
}

func newOperator(f *faultRun, seed uint64) *operator {
	return &operator{f: f, rng: rand.New(rand.NewPCG(seed, 4)), bundleContent: newContent(&f.c.Opts), root: f.c.root, client: workload.NewClient()}
}

// run executes a plan until ctx ends. When it returns, the key-value service has no
// faults.
func (o *operator) run(ctx context.Context, steps []PlannedPlatformFault) {
	defer o.client.Close()
	defer o.f.c.KV.SetFaults(kvstore.Faults{})
	for _, s := range steps {
		if !wait.For(ctx, s.Pause) {
			return
		}
		o.f.count(s.Kind)
		o.inject(ctx, s)
	}
}

func (o *operator) inject(ctx context.Context, s PlannedPlatformFault) {
	kvFaults := o.f.c.KV
	defer kvFaults.SetFaults(kvstore.Faults{})
	switch s.Kind {
	case FaultKVDown, FaultKVDownPastLease, FaultKVSlow, FaultKVLostReplies, FaultKVMutedWatches:
		o.injectKVFault(ctx, s)
	case FaultRolloutRace:
		o.race(ctx)
	case FaultRolloutKVDown:
		o.rolloutThenDown(ctx)
	case FaultRolloutLostReplies:
		kvFaults.SetFaults(kvstore.Faults{LoseReplies: kvLostReplies})
		o.rollout(ctx)
	case FaultRolloutMutedWatches:
		kvFaults.SetFaults(kvstore.Faults{MuteWatches: true})
		o.rollout(ctx)
	case FaultRolloutKVSlow:
		kvFaults.SetFaults(kvstore.Faults{Delay: kvDelay})
		o.rollout(ctx)
	default:
		o.rollout(ctx)
	}
}

// injectKVFault keeps a fault of the key-value service active for its duration.
func (o *operator) injectKVFault(ctx context.Context, s PlannedPlatformFault) {
	fault, hold := kvstore.Faults{}, s.Duration
	switch s.Kind {
	case FaultKVDown:
		fault.Down = true
	case FaultKVDownPastLease:
		fault.Down = true
		hold = o.f.c.Opts.LeaseTTL + pastLeaseMargin
	case FaultKVSlow:
		fault.Delay = kvDelay
	case FaultKVLostReplies:
		fault.LoseReplies = kvLostReplies
	case FaultKVMutedWatches:
		fault.MuteWatches = true
	}
	o.f.c.KV.SetFaults(fault)
	wait.For(ctx, hold)
}

// rootWriteTimer records when the root record of a bundle was last sent to the
// key-value service.
type rootWriteTimer struct {
	kv.Store
	mu   sync.Mutex
	sent time.Time
}

// Txn implements kv.Store.
func (s *rootWriteTimer) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	for _, op := range t.Ops {
		if op.Key == rollout.RootKey {
			s.mu.Lock()
			s.sent = time.Now()
			s.mu.Unlock()
		}
	}
	return s.Store.Txn(ctx, t)
}

// rolloutAttempt is the result of one rollout by one operator. at is when the root
// record was sent.
type rolloutAttempt struct {
	bundleContent bundleContent
	adapter       ident.Adapter
	root          *bundle.Root
	at            time.Time
	err           error
}

func (o *operator) attemptRollout(ctx context.Context, name string, next bundleContent, added ident.Adapter) rolloutAttempt {
	store := &rootWriteTimer{Store: o.f.c.store()}
	root, err := o.f.c.Rollout(context.WithoutCancel(ctx), store, next.text(&o.f.c.Opts), name, o.root)
	return rolloutAttempt{bundleContent: next, adapter: added, root: root, at: store.sent, err: err}
}

// rollout rolls out one bundle and waits until it is active everywhere.
func (o *operator) rollout(ctx context.Context) {
	next, added := o.bundleContent.next(&o.f.c.Opts, o.rng)
	t := o.attemptRollout(ctx, "operator-a", next, added)
	if t.err != nil {
		o.addViolation("rollout of version %d: %v", next.Version, t.err)
		return
	}
	o.recordAccepted(t)
	o.awaitActive(ctx, &t)
}

// race lets two operators roll out the same version at the same time. One must win,
// and the other must get a conflict error that names the winning rollout.
func (o *operator) race(ctx context.Context) {
	var got [2]rolloutAttempt
	var wg sync.WaitGroup
	for i, name := range []string{"operator-a", "operator-b"} {
		next, added := o.bundleContent.next(&o.f.c.Opts, o.rng)
		wg.Go(func() { got[i] = o.attemptRollout(ctx, name, next, added) })
	}
	wg.Wait()
	winner, loser := &got[0], &got[1]
	if winner.err != nil {
		winner, loser = loser, winner
	}
	if winner.err != nil || loser.err == nil {
		o.addViolation("race for version %d: %v and %v", winner.bundleContent.Version, got[0].err, got[1].err)
		return
	}
	o.recordAccepted(*winner)
	var conflict *rollout.ConflictError
	if !errors.As(loser.err, &conflict) || conflict.Winner.RolloutID != winner.root.RolloutID {
		o.addViolation("loser of version %d, won by %s, was told: %v", winner.bundleContent.Version, winner.root.RolloutID, loser.err)
	}
	o.awaitActive(ctx, winner)
}

// rolloutThenDown rolls out a bundle and makes the key-value service unavailable
// once one entry has the bundle.
func (o *operator) rolloutThenDown(ctx context.Context) {
	next, added := o.bundleContent.next(&o.f.c.Opts, o.rng)
	t := o.attemptRollout(ctx, "operator-a", next, added)
	if t.err != nil {
		o.addViolation("rollout of version %d: %v", next.Version, t.err)
		return
	}
	o.recordAccepted(t)
	for !o.f.versionMonitor.seenBy(o.f.c.Entries, next.Version) && time.Since(t.at) < o.f.bundleHistory.limit {
		if !wait.For(ctx, activePoll) {
			return
		}
	}
	o.f.c.KV.SetFaults(kvstore.Faults{Down: true})
	o.awaitActive(ctx, &t)
}

func (o *operator) recordAccepted(t rolloutAttempt) {
	o.bundleContent, o.root = t.bundleContent, t.root
	o.f.bundleHistory.add(acceptedBundle{bundleContent: t.bundleContent, at: t.at})
}

// awaitActive waits until every live node has the bundle, then requests the new
// adapter version. It gives up kvFaultSpread after the limit; the monitor reports
// nodes that are late.
func (o *operator) awaitActive(ctx context.Context, t *rolloutAttempt) {
	for !o.f.versionMonitor.activeAt(t.bundleContent.Version) {
		if time.Since(t.at) > o.f.bundleHistory.limit+kvFaultSpread || !wait.For(ctx, activePoll) {
			return
		}
	}
	o.activationTimes = append(o.activationTimes, time.Since(t.at))
	o.requestNewAdapter(ctx, t.adapter)
}

// operatorSeqBase is added to the sequence numbers of the operator's own requests, so
// that they differ from those of the load.
const operatorSeqBase = 1_000_000

// requestNewAdapter requests a new adapter version by name at every entry. An entry
// on which the bundle is active must know the version.
func (o *operator) requestNewAdapter(ctx context.Context, a ident.Adapter) {
	for i, e := range o.f.c.Entries {
		before, live := e.live()
		if !live {
			continue
		}
		o.requests++
		r := workload.Request{
			Seq: operatorSeqBase + o.requests, Class: workload.ClassCompletion, Team: o.team(a.Team), Adapter: a, Model: a.String(),
			Prompt: fmt.Sprintf("operator request %d", o.requests), Tokens: 4, Deadline: faultDeadline,
		}
		o.f.wg.Go(func() {
			answer := o.client.Send(context.WithoutCancel(ctx), o.f.c.Entries[i].Addr(), &r, time.Now())
			after, _ := e.live()
			broken := answer.Err != nil && after != before
			o.f.record(workload.Sample{Request: r, Answer: answer, IntendedStart: answer.Start}, broken)
			if answer.Status == http.StatusNotFound && after == before {
				o.f.addViolation(workload.Violation{Kind: workload.BundleActivatedLate, Detail: fmt.Sprintf("%s does not know %s", e.settings.ID, a)})
			}
		})
	}
}

func (o *operator) team(name ident.Team) *workload.Team {
	for i := range o.f.c.Opts.Teams {
		if o.f.c.Opts.Teams[i].Name == name {
			return &o.f.c.Opts.Teams[i]
		}
	}
	return nil
}

func (o *operator) addViolation(format string, args ...any) {
	o.f.addViolation(workload.Violation{Kind: workload.WrongRolloutResult, Detail: fmt.Sprintf(format, args...)})
}
