package rollout

import (
	"context"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/internal/testkey"
	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// fakeStore is an in-memory kv.Store with fault injection.
type fakeStore struct {
	mu       sync.Mutex
	pairs    map[string]kv.Pair
	revision int64
	watches  []chan kv.Event
	accepted []*bundle.Root // every root ever stored, the expected result of tests
	txns     int
	delayed  []kv.Txn // transactions whose call failed and that take effect later

	down bool
	// nextRootFault is the fault of the next write of a root.
	nextRootFault txnFault
	// beforeRoot runs before the next write of a root.
	beforeRoot func()
	// beforePart runs before the next read of a part.
	beforePart func()
}

// txnFault is what happens to a transaction.
type txnFault int

const (
	faultNone txnFault = iota
	faultLostReply
	faultLostRequest
	faultDelayed
)

func newFakeStore() *fakeStore { return &fakeStore{pairs: map[string]kv.Pair{}} }

func (f *fakeStore) Get(_ context.Context, key string) (kv.Pair, error) {
	if hook := f.beforePart; hook != nil && strings.HasPrefix(key, partPrefix) {
		f.beforePart = nil
		hook()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return kv.Pair{}, kv.ErrUnavailable
	}
	p, ok := f.pairs[key]
	if !ok {
		return kv.Pair{}, kv.ErrNotFound
	}
	return p, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]kv.Pair, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, kv.ErrUnavailable
	}
	var out []kv.Pair
	for k, p := range f.pairs {
		if strings.HasPrefix(k, prefix) {
			out = append(out, p)
		}
	}
	return out, f.revision, nil
}

func (f *fakeStore) Txn(_ context.Context, t kv.Txn) (kv.TxnResult, error) {
	root := t.Ops[0].Key == RootKey
	if hook := f.beforeRoot; root && hook != nil {
		f.beforeRoot = nil
		hook()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.txns++
	next := faultNone
	if root {
		next, f.nextRootFault = f.nextRootFault, faultNone
	}
	switch {
	case f.down || next == faultLostRequest:
		return kv.TxnResult{}, kv.ErrUnavailable
	case next == faultDelayed:
		f.delayed = append(f.delayed, t)
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	res := f.apply(t)
	if next == faultLostReply {
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	return res, nil
}

func (f *fakeStore) apply(t kv.Txn) kv.TxnResult {
	for _, c := range t.Compares {
		if f.pairs[c.Key].ModRevision != c.ModRevision {
			res := kv.TxnResult{Revision: f.revision}
			for _, k := range t.OnFailure {
				if p, ok := f.pairs[k]; ok {
					res.Read = append(res.Read, p)
				}
			}
			return res
		}
	}
	f.revision++
	for _, op := range t.Ops {
		if op.Type == kv.OpDelete {
			delete(f.pairs, op.Key)
			continue
		}
		p := kv.Pair{Key: op.Key, Value: op.Value, ModRevision: f.revision}
		f.pairs[op.Key] = p
		if op.Key == RootKey {
			defer f.rootStored(p)
		}
	}
	return kv.TxnResult{Succeeded: true, Revision: f.revision}
}

func (f *fakeStore) rootStored(p kv.Pair) {
	root, err := bundle.DecodeRoot(p.Value)
	if err != nil {
		panic(err)
	}
	f.accepted = append(f.accepted, root)
	for _, w := range f.watches {
		w <- kv.Event{Type: kv.EventPut, Pair: p}
	}
}

// partBytes returns the size and number of the stored parts.
func (f *fakeStore) partBytes() (bytes, parts int) {
	for key, p := range f.pairs {
		if strings.HasPrefix(key, partPrefix) {
			bytes += len(p.Value)
			parts++
		}
	}
	return bytes, parts
}

// applyDelayed applies the transactions that were delayed by faultDelayed.
func (f *fakeStore) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.delayed {
		f.apply(t)
	}
	f.delayed = nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, _ int64) (<-chan kv.Event, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, kv.ErrUnavailable
	}
	ch := make(chan kv.Event, 100)
	f.watches = append(f.watches, ch)
	context.AfterFunc(ctx, func() { f.closeWatch(ch) })
	return ch, nil
}

func (f *fakeStore) closeWatch(ch chan kv.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.watches, ch); i >= 0 {
		f.watches = slices.Delete(f.watches, i, i+1)
		close(ch)
	}
}

// setDown starts or ends an outage. An outage closes all watches.
func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	f.down = down
	watches := slices.Clone(f.watches)
	f.mu.Unlock()
	if down {
		for _, ch := range watches {
			f.closeWatch(ch)
		}
	}
}

func (f *fakeStore) Grant(context.Context, time.Duration) (kv.LeaseID, error) {
	return 0, kv.ErrUnavailable
}
func (f *fakeStore) KeepAlive(context.Context, kv.LeaseID) (time.Duration, error) {
	return 0, kv.ErrUnavailable
}
func (f *fakeStore) Revoke(context.Context, kv.LeaseID) error { return kv.ErrUnavailable }

func testReviewers(names ...string) bundle.Reviewers {
	var rs bundle.Reviewers
	for _, n := range names {
		rs = append(rs, bundle.Reviewer{Name: n, Key: testkey.Public(n)})
	}
	return rs
}

// testText returns the text of a bundle. Its content depends on changed: the base
// models of the first adapters differ for different values.
func testText(version, adapters, changed int, reviewers bundle.Reviewers) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[bundle]\nversion = %d\n[deployment]\nname = test\n[team \"t\"]\n", version)
	for _, r := range reviewers {
		fmt.Fprintf(&b, "[reviewer %q]\npublic_key = %s\n", r.Name, base64.StdEncoding.EncodeToString(r.Key))
	}
	for i := range adapters {
		fmt.Fprintf(&b, "[adapter \"t/a%d\"]\nbase_model = m%d\nversions = 1\ncurrent = 1\n", i, max(0, changed-i))
	}
	return b.String()
}

// propose returns a proposal that follows base and is signed by the given reviewers.
func propose(operator, text string, base *bundle.Root, signers ...string) *bundle.Proposal {
	p, err := bundle.Propose("test", text, operator, base)
	if err != nil {
		panic(err)
	}
	root, _, err := p.Build()
	if err != nil {
		panic(err)
	}
	for _, s := range signers {
		p.Signatures = append(p.Signatures, root.Sign(s, testkey.Private(s)))
	}
	return p
}
