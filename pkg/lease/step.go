package lease

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// phase is the next call of a holder. Each step makes one call, so any order of
// the calls of two holders can be tested.
type phase uint8

const (
	phaseRead phase = iota
	phasePresence
	phaseRevoke
	phaseGrant
	phaseWrite
	phaseRenew
)

// releaseRetry is the pause between attempts to release. It is short, because the
// process waits for the release before it ends.
const releaseRetry = 200 * time.Millisecond

// step makes the next call and returns the time until the following one.
func (h *Manager) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, h.set.CallTimeout)
	defer cancel()
	failures := h.failures
	d := h.call(ctx)
	if h.failures == failures {
		h.failures = 0
	}
	return d
}

func (h *Manager) call(ctx context.Context) time.Duration {
	switch h.phase {
	case phasePresence:
		return h.checkPresence(ctx)
	case phaseRevoke:
		return h.revokePredecessor(ctx)
	case phaseGrant:
		return h.grant(ctx)
	case phaseWrite:
		return h.write(ctx)
	case phaseRenew:
		return h.renew(ctx)
	default:
		return h.read(ctx)
	}
}

func (h *Manager) next(p phase) time.Duration {
	h.phase = p
	return 0
}

// retry logs a failed call and returns the pause before the next one.
func (h *Manager) retry(err error) time.Duration {
	h.log.Warn().Err(err).Msg("call to the key-value service failed, retrying")
	h.failures++
	return h.backoff()
}

// backoff doubles from the retry interval up to the renewal interval, so that an
// outage causes no more calls than normal operation.
func (h *Manager) backoff() time.Duration {
	d := h.set.RetryInterval
	for range h.failures - 1 {
		d *= 2
		if d >= h.set.RenewInterval {
			return h.set.RenewInterval
		}
	}
	return d
}

// read looks at the record and decides how to acquire the lease. It also settles
// a write whose reply was lost.
func (h *Manager) read(ctx context.Context) time.Duration {
	pair, err := h.store.Get(ctx, RecordKey(h.set.Endpoint))
	if errors.Is(err, kv.ErrNotFound) {
		h.seen, h.revision = Record{}, 0
		return h.next(phaseGrant)
	}
	if err != nil {
		return h.retry(err)
	}
	r, err := decodeRecord(pair.Value)
	if err != nil {
		return h.retry(err)
	}
	h.seen, h.revision = r, pair.ModRevision
	switch {
	case r.Holder == h.self && h.pending != nil && r == *h.pending:
		h.hold(&r, pair.ModRevision)
		return h.next(phaseRenew)
	case r.Holder == h.self:
		// The lease expired, or an earlier write took effect late. No other
		// process has taken over, so there is nobody to wait for.
		return h.next(phaseGrant)
	case r.Released:
		h.loseToken()
		return h.next(phaseGrant)
	}
	h.loseToken()
	if h.superseded {
		// Two live processes with the same endpoint id would otherwise take the
		// lease from each other forever.
		return h.next(phasePresence)
	}
	return h.next(phaseRevoke)
}

// checkPresence waits while the process that took over from this one renews its
// lease.
func (h *Manager) checkPresence(ctx context.Context) time.Duration {
	_, err := h.store.Get(ctx, PresenceKey(h.set.Endpoint))
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return h.next(phaseRevoke)
	case err != nil:
		return h.retry(err)
	}
	h.phase = phaseRead
	return h.set.RenewInterval
}

// revokePredecessor ends the renewals of the predecessor. Its last renewal was
// sent before the revocation took effect, so the time to live and the command
// deadline bound its commands from the reply on.
func (h *Manager) revokePredecessor(ctx context.Context) time.Duration {
	err := h.store.Revoke(ctx, h.seen.Lease)
	if err != nil && !errors.Is(err, kv.ErrLeaseNotFound) {
		return h.retry(err)
	}
	if !h.set.EngineChecksTokens {
		// An engine that checks tokens needs no wait: the first command of this
		// holder ends the authority of the predecessor.
		h.waitUntil(h.set.Now().Add(h.seen.settle()))
	}
	h.log.Info().Str("holder", h.seen.Holder).Uint("token", h.seen.Token).Msg("lease of the predecessor revoked")
	return h.next(phaseGrant)
}

// grant gets the key-value lease under which the record is written.
func (h *Manager) grant(ctx context.Context) time.Duration {
	sent := h.set.Now()
	id, err := h.store.Grant(ctx, h.set.TTL)
	if err != nil {
		return h.retry(err)
	}
	h.own, h.ownSent = id, sent
	return h.next(phaseWrite)
}

// write takes over by compare-and-swap on the record.
func (h *Manager) write(ctx context.Context) time.Duration {
	r := &Record{
		Token:             h.seen.Token + 1,
		Holder:            h.self,
		Lease:             h.own,
		TTLMS:             h.set.TTL.Milliseconds(),
		CommandDeadlineMS: h.set.CommandDeadline.Milliseconds(),
	}
	value, err := r.encode()
	if err != nil {
		return h.retry(err)
	}
	h.pending = r
	result, err := h.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{{Key: RecordKey(h.set.Endpoint), ModRevision: h.revision}},
		Ops: []kv.Op{
			{Type: kv.OpPut, Key: RecordKey(h.set.Endpoint), Value: value},
			{Type: kv.OpPut, Key: PresenceKey(h.set.Endpoint), Lease: h.own},
		},
	})
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound):
		return h.next(phaseGrant)
	case err != nil:
		h.phase = phaseRead
		return h.retry(err)
	case !result.Succeeded:
		return h.next(phaseRead)
	}
	h.hold(r, result.Revision)
	h.phase = phaseRenew
	return h.set.RenewInterval
}

// renew renews the key-value lease.
func (h *Manager) renew(ctx context.Context) time.Duration {
	sent := h.set.Now()
	ttl, err := h.store.KeepAlive(ctx, h.own)
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound):
		// Expired or revoked: another process may be taking over, so the lease
		// counts as ended. An engine that checks tokens still protects itself.
		h.renewed(sent, 0)
		return h.next(phaseRead)
	case err != nil:
		return h.retry(err)
	}
	h.renewed(sent, ttl)
	return h.set.RenewInterval
}

// release ends the authority and marks the record as released, so that the
// successor need not wait. It does not mark it while commands of a predecessor
// can still take effect, because the successor would not wait for those either.
func (h *Manager) release(ctx context.Context) {
	waiting := h.set.Now().Before(h.view.Load().notBefore)
	h.view.Store(&view{})
	if !waiting {
		h.markReleased(ctx)
	}
	if h.own != 0 {
		_ = h.store.Revoke(ctx, h.own)
	}
}

// markReleased tries until ctx ends. Without a mark the successor waits for the
// lease to end.
func (h *Manager) markReleased(ctx context.Context) {
	for ctx.Err() == nil {
		if h.tryRelease(ctx) {
			return
		}
		h.pause(ctx)
	}
	h.log.Warn().Msg("release not confirmed, the successor waits for the lease to end")
}

// tryRelease marks the record as released. It returns false if the call may
// succeed later.
func (h *Manager) tryRelease(ctx context.Context) bool {
	pair, err := h.store.Get(ctx, RecordKey(h.set.Endpoint))
	if err != nil {
		return !errors.Is(err, kv.ErrUnavailable)
	}
	r, err := decodeRecord(pair.Value)
	if err != nil || r.Holder != h.self || r.Released {
		return true
	}
	r.Released = true
	value, err := r.encode()
	if err != nil {
		return true
	}
	_, err = h.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{{Key: RecordKey(h.set.Endpoint), ModRevision: pair.ModRevision}},
		Ops: []kv.Op{
			{Type: kv.OpPut, Key: RecordKey(h.set.Endpoint), Value: value},
			{Type: kv.OpDelete, Key: PresenceKey(h.set.Endpoint)},
		},
	})
	if err != nil {
		return false
	}
	h.log.Info().Uint("token", r.Token).Msg("lease released")
	return true
}

// pause waits before the next attempt to release, or until ctx ends.
func (h *Manager) pause(ctx context.Context) {
	t := time.NewTimer(releaseRetry)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
