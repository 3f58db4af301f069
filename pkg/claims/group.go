package claims

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// maxGroupRounds is how often a group is written without the claims that failed
// before the rest is written one by one.
const maxGroupRounds = 3

// enqueue adds a claim to the queue and starts a goroutine that commits groups if
// fewer than the limit run.
func (c *Claims) enqueue(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, w)
	if c.workers < c.set.InFlight {
		c.workers++
		go c.work()
	}
}

// abandon removes a claim whose caller no longer waits, so that an outage does
// not fill the queue.
func (c *Claims) abandon(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.queue, w); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

// work commits groups until the queue is empty.
func (c *Claims) work() {
	for {
		group := c.take()
		if group == nil {
			return
		}
		c.commit(group)
	}
}

// take removes the next group from the queue. A transaction may contain a key
// only once, so a second claim of a key waits for the next group.
func (c *Claims) take() []*waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		c.workers--
		return nil
	}
	var group, rest []*waiter
	seen := map[string]bool{}
	for _, w := range c.queue {
		if len(group) == c.set.MaxGroup || seen[w.key] {
			rest = append(rest, w)
			continue
		}
		seen[w.key] = true
		group = append(group, w)
	}
	c.queue = rest
	return group
}

// commit finishes all claims of a group. A group with an existing key fails as a
// whole; the transaction reads all its keys, which settles the existing ones.
func (c *Claims) commit(group []*waiter) {
	for range maxGroupRounds {
		group = c.commitOnce(group)
		if len(group) == 0 {
			return
		}
	}
	for _, w := range group {
		if len(c.commitOnce([]*waiter{w})) > 0 {
			w.finish(Result{Err: ErrRecordRemoved})
		}
	}
}

// commitOnce returns the claims that are not settled.
func (c *Claims) commitOnce(group []*waiter) []*waiter {
	read, err := c.write(context.Background(), group, 0)
	if err != nil {
		for _, w := range group {
			w.finish(Result{Err: err})
		}
		return nil
	}
	var rest []*waiter
	for _, w := range group {
		if r, ok := w.match(read); ok {
			w.finish(r)
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

// write puts the records of a group if all keys have the given revision. It
// returns the pairs of the group that exist afterwards.
func (c *Claims) write(ctx context.Context, group []*waiter, revision int64) (map[string]kv.Pair, error) {
	lease, err := c.lease(ctx)
	if err != nil {
		return nil, err
	}
	result, err := c.settled(ctx, groupTxn(group, revision, lease.id))
	if errors.Is(err, kv.ErrLeaseNotFound) {
		c.bucket.forget(lease.id)
		lease, err = c.lease(ctx)
		if err != nil {
			return nil, err
		}
		result, err = c.settled(ctx, groupTxn(group, revision, lease.id))
	}
	if err != nil {
		return nil, err
	}
	if !lease.reliable(c.set.Now()) {
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

// groupTxn puts the records of a group, or reads them if a key has another
// revision.
func groupTxn(group []*waiter, revision int64, lease kv.LeaseID) kv.Txn {
	var t kv.Txn
	for _, w := range group {
		t.Compares = append(t.Compares, kv.Compare{Key: w.key, ModRevision: revision})
		t.Ops = append(t.Ops, kv.Op{Type: kv.OpPut, Key: w.key, Value: w.value, Lease: lease})
		t.OnFailure = append(t.OnFailure, w.key)
	}
	return t
}

// settled makes a transaction and repeats it once if its reply was lost. If the
// first one took effect, the compares of the second fail and it reads the
// records, which are compared with the own ones.
func (c *Claims) settled(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	r, err := c.txn(ctx, t)
	if errors.Is(err, kv.ErrUnavailable) {
		r, err = c.txn(ctx, t)
	}
	return r, err
}

func (c *Claims) txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.set.CallTimeout)
	defer cancel()
	return c.store.Txn(ctx, t)
}

// match derives the result of a claim from the stored pairs. The whole record is
// compared: a request that changes its endpoint keeps its request id.
func (w *waiter) match(pairs map[string]kv.Pair) (Result, bool) {
	p, ok := pairs[w.key]
	if !ok {
		return Result{}, false
	}
	r := existing(p)
	if r.Err == nil && r.Record == w.record {
		r.Status = Claimed
	}
	return r, true
}
