package claims

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// maxGroupRounds is how often the unfinished claims of a group are written together
// before they are written one by one.
const maxGroupRounds = 3

// enqueue adds a claim to the queue and starts a worker goroutine if fewer than
// Settings.InFlight are running.
func (c *Claims) enqueue(w *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, w)
	if c.workers < c.settings.InFlight {
		c.workers++
		go c.commitGroups()
	}
}

// abandon removes a claim from the queue after its caller has stopped waiting, so
// that the queue does not grow during an outage of the key-value service.
func (c *Claims) abandon(w *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.queue, w); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

// commitGroups is the worker goroutine. It commits groups until the queue is empty.
func (c *Claims) commitGroups() {
	for {
		group := c.nextGroup()
		if group == nil {
			return
		}
		c.commit(group)
	}
}

// nextGroup removes the next group of claims from the queue, or returns nil and ends
// the worker if the queue is empty. A transaction may contain each key only once, so
// a second claim of the same key stays in the queue for a later group.
func (c *Claims) nextGroup() []*pendingClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		c.workers--
		return nil
	}
	var group, rest []*pendingClaim
	seen := map[string]bool{}
	for _, w := range c.queue {
		if len(group) == c.settings.MaxGroup || seen[w.key] {
			rest = append(rest, w)
			continue
		}
		seen[w.key] = true
		group = append(group, w)
	}
	c.queue = rest
	return group
}

// commit sends a result to every claim of a group. If one of the keys already
// exists, the transaction of the group writes nothing and reads all keys instead. The
// claims of existing keys get their result from this read; the remaining claims are
// written again.
func (c *Claims) commit(group []*pendingClaim) {
	for range maxGroupRounds {
		group = c.commitOnce(group)
		if len(group) == 0 {
			return
		}
	}
	for _, w := range group {
		if len(c.commitOnce([]*pendingClaim{w})) > 0 {
			w.finish(Result{Err: ErrRecordRemoved})
		}
	}
}

// commitOnce writes a group once and returns the claims that have no result yet.
func (c *Claims) commitOnce(group []*pendingClaim) []*pendingClaim {
	read, err := c.write(context.Background(), group, 0)
	if err != nil {
		for _, w := range group {
			w.finish(Result{Err: err})
		}
		return nil
	}
	var rest []*pendingClaim
	for _, w := range group {
		if r, ok := w.resultFrom(read); ok {
			w.finish(r)
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

// write stores the records of a group if all their keys have the given revision; 0
// means that a key must not exist. It returns the stored pairs of the group by key.
// It returns ErrLateReply if the records might expire before the retention has passed.
func (c *Claims) write(ctx context.Context, group []*pendingClaim, revision int64) (map[string]kv.Pair, error) {
	lease, err := c.lease(ctx)
	if err != nil {
		return nil, err
	}
	result, err := c.txnWithRetry(ctx, groupTxn(group, revision, lease.id))
	if errors.Is(err, kv.ErrLeaseNotFound) {
		c.bucket.invalidate(lease.id)
		lease, err = c.lease(ctx)
		if err != nil {
			return nil, err
		}
		result, err = c.txnWithRetry(ctx, groupTxn(group, revision, lease.id))
	}
	if err != nil {
		return nil, err
	}
	if !lease.coversRetention(c.settings.Now()) {
		return nil, ErrLateReply
	}
	pairs := map[string]kv.Pair{}
	for _, p := range result.Read {
		pairs[p.Key] = p
	}
	if result.Succeeded {
		for _, w := range group {
			pairs[w.key] = kv.Pair{Key: w.key, Value: w.value, ModRevision: result.Revision}
		}
	}
	return pairs, nil
}

// groupTxn returns the transaction that stores the records of a group if all keys
// have the given revision, and otherwise reads the keys.
func groupTxn(group []*pendingClaim, revision int64, lease kv.LeaseID) kv.Txn {
	var t kv.Txn
	for _, w := range group {
		t.Compares = append(t.Compares, kv.Compare{Key: w.key, ModRevision: revision})
		t.Ops = append(t.Ops, kv.Op{Type: kv.OpPut, Key: w.key, Value: w.value, Lease: lease})
		t.OnFailure = append(t.OnFailure, w.key)
	}
	return t
}

// txnWithRetry runs a transaction and repeats it once if the reply was lost. If the
// first run took effect, the comparisons of the second one fail, so it reads the
// stored records. resultFrom then recognises the caller's own record among them.
func (c *Claims) txnWithRetry(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	r, err := c.txn(ctx, t)
	if errors.Is(err, kv.ErrUnavailable) {
		r, err = c.txn(ctx, t)
	}
	return r, err
}

func (c *Claims) txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	return c.store.Txn(ctx, t)
}

// resultFrom derives the result of a claim from the stored pairs. It returns false
// if the key is not among them. The whole record is compared, because a request that
// moves to another endpoint keeps its request ID.
func (w *pendingClaim) resultFrom(pairs map[string]kv.Pair) (Result, bool) {
	p, ok := pairs[w.key]
	if !ok {
		return Result{}, false
	}
	r := existingResult(p)
	if r.Err == nil && r.Record == w.record {
		r.Status = Claimed
	}
	return r, true
}
