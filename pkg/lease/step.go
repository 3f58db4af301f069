package lease

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// phase is the next call of a Manager to the key-value service. Each step makes only
// one call, so that tests can interleave the calls of two Managers in any order.
type phase uint8

const (
	phaseRead phase = iota
	phasePresence
	phaseRevoke
	phaseGrant
	phaseWrite
	phaseRenew
)

// releaseRetry is the pause between attempts to release the lease. It is short, because
// the process waits for the release before it ends.
const releaseRetry = 200 * time.Millisecond

// step makes the next call, with a timeout, and returns the pause until the following
// one.
func (m *Manager) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, m.set.CallTimeout)
	defer cancel()
	failures := m.failures
	d := m.call(ctx)
	if m.failures == failures {
		m.failures = 0
	}
	return d
}

// call makes the call of the current phase and returns the pause until the next one.
func (m *Manager) call(ctx context.Context) time.Duration {
	switch m.phase {
	case phasePresence:
		return m.checkPresence(ctx)
	case phaseRevoke:
		return m.revokePredecessor(ctx)
	case phaseGrant:
		return m.grant(ctx)
	case phaseWrite:
		return m.write(ctx)
	case phaseRenew:
		return m.renew(ctx)
	default:
		return m.read(ctx)
	}
}

// setPhase makes p the next phase and returns 0, so that it follows without a pause.
func (m *Manager) setPhase(p phase) time.Duration {
	m.phase = p
	return 0
}

// retry logs a failed call and returns the pause before the next one.
func (m *Manager) retry(err error) time.Duration {
	m.log.Warn().Err(err).Msg("call to the key-value service failed; retrying")
	m.failures++
	return m.backoff()
}

// backoff returns the pause after a failed call. It doubles from the retry interval up
// to the renewal interval, so that a long outage causes no more calls than normal
// operation.
func (m *Manager) backoff() time.Duration {
	d := m.set.RetryInterval
	for range m.failures - 1 {
		d *= 2
		if d >= m.set.RenewInterval {
			return m.set.RenewInterval
		}
	}
	return d
}

// read reads the record and decides how to acquire the lease. If the reply to the last
// write was lost, it also finds out whether the write took effect.
func (m *Manager) read(ctx context.Context) time.Duration {
	pair, err := m.store.Get(ctx, RecordKey(m.set.Endpoint))
	if errors.Is(err, kv.ErrNotFound) {
		m.lastRecord, m.revision = Record{}, 0
		return m.setPhase(phaseGrant)
	}
	if err != nil {
		return m.retry(err)
	}
	r, err := decodeRecord(pair.Value)
	if err != nil {
		return m.retry(err)
	}
	m.lastRecord, m.revision = r, pair.ModRevision
	switch {
	case r.Holder == m.holderID && m.pendingWrite != nil && r == *m.pendingWrite:
		m.confirmTakeover(&r, pair.ModRevision)
		return m.setPhase(phaseRenew)
	case r.Holder == m.holderID:
		// The lease expired, or an earlier write took effect late. No other process
		// has taken over, so there are no commands of others to wait for.
		return m.setPhase(phaseGrant)
	case r.Released:
		m.loseToken()
		return m.setPhase(phaseGrant)
	}
	m.loseToken()
	if m.superseded {
		// Without this check, two live processes with the same endpoint id would
		// take the lease from each other forever.
		return m.setPhase(phasePresence)
	}
	return m.setPhase(phaseRevoke)
}

// checkPresence waits while the process that took over from this one still renews its
// lease, which keeps the presence key in place.
func (m *Manager) checkPresence(ctx context.Context) time.Duration {
	_, err := m.store.Get(ctx, PresenceKey(m.set.Endpoint))
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return m.setPhase(phaseRevoke)
	case err != nil:
		return m.retry(err)
	}
	m.phase = phaseRead
	return m.set.RenewInterval
}

// revokePredecessor revokes the key-value lease of the previous holder, so that it can
// no longer renew it. Its last renewal was sent before the revocation took effect, so
// its commands end at the latest when its time to live plus its command deadline have
// passed since the reply.
func (m *Manager) revokePredecessor(ctx context.Context) time.Duration {
	err := m.store.Revoke(ctx, m.lastRecord.Lease)
	if err != nil && !errors.Is(err, kv.ErrLeaseNotFound) {
		return m.retry(err)
	}
	if !m.set.EngineChecksTokens {
		// An engine that checks tokens needs no wait: the first command with the
		// token of this process ends the authority of the previous holder.
		m.blockCommandsUntil(m.set.Now().Add(m.lastRecord.commandLifetime()))
	}
	m.log.Info().Str("holder", m.lastRecord.Holder).Uint("token", m.lastRecord.Token).Msg("revoked the lease of the previous holder")
	return m.setPhase(phaseGrant)
}

// grant obtains the key-value lease to which write attaches the presence key.
func (m *Manager) grant(ctx context.Context) time.Duration {
	sent := m.set.Now()
	id, err := m.store.Grant(ctx, m.set.TTL)
	if err != nil {
		return m.retry(err)
	}
	m.leaseID, m.grantSent = id, sent
	return m.setPhase(phaseWrite)
}

// write takes over the engine lease by compare-and-swap on the record.
func (m *Manager) write(ctx context.Context) time.Duration {
	r := &Record{
		Token:             m.lastRecord.Token + 1,
		Holder:            m.holderID,
		Lease:             m.leaseID,
		TTLMS:             m.set.TTL.Milliseconds(),
		CommandDeadlineMS: m.set.CommandDeadline.Milliseconds(),
	}
	value, err := r.encode()
	if err != nil {
		return m.retry(err)
	}
	m.pendingWrite = r
	result, err := m.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{{Key: RecordKey(m.set.Endpoint), ModRevision: m.revision}},
		Ops: []kv.Op{
			{Type: kv.OpPut, Key: RecordKey(m.set.Endpoint), Value: value},
			{Type: kv.OpPut, Key: PresenceKey(m.set.Endpoint), Lease: m.leaseID},
		},
	})
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound):
		return m.setPhase(phaseGrant)
	case err != nil:
		m.phase = phaseRead
		return m.retry(err)
	case !result.Succeeded:
		return m.setPhase(phaseRead)
	}
	m.confirmTakeover(r, result.Revision)
	m.phase = phaseRenew
	return m.set.RenewInterval
}

// renew renews the key-value lease of this process.
func (m *Manager) renew(ctx context.Context) time.Duration {
	sent := m.set.Now()
	ttl, err := m.store.KeepAlive(ctx, m.leaseID)
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound):
		// The lease has expired or was revoked, and another process may be taking
		// over, so no command may rely on the lease any more. An engine that checks
		// tokens still accepts commands of this process until the other one has sent
		// a command.
		m.extendExpiry(sent, 0)
		return m.setPhase(phaseRead)
	case err != nil:
		return m.retry(err)
	}
	m.extendExpiry(sent, ttl)
	return m.set.RenewInterval
}

// release ends the authority and marks the record as released, so that the next holder
// need not wait. It leaves the record unmarked while commands of an earlier holder can
// still take effect, because after a release the next holder would not wait for those
// commands.
func (m *Manager) release(ctx context.Context) {
	waiting := m.set.Now().Before(m.view.Load().notBefore)
	m.view.Store(&view{})
	if !waiting {
		m.markReleased(ctx)
	}
	if m.leaseID != 0 {
		_ = m.store.Revoke(ctx, m.leaseID)
	}
}

// markReleased retries until the record is marked as released or ctx ends. Without the
// mark, the next holder has to wait until the lease has expired.
func (m *Manager) markReleased(ctx context.Context) {
	for ctx.Err() == nil {
		if m.tryRelease(ctx) {
			return
		}
		m.pause(ctx)
	}
	m.log.Warn().Msg("lease release not confirmed; the next holder has to wait until the lease expires")
}

// tryRelease makes one attempt to mark the record as released. It returns false if
// another attempt may succeed.
func (m *Manager) tryRelease(ctx context.Context) bool {
	pair, err := m.store.Get(ctx, RecordKey(m.set.Endpoint))
	if err != nil {
		return !errors.Is(err, kv.ErrUnavailable)
	}
	r, err := decodeRecord(pair.Value)
	if err != nil || r.Holder != m.holderID || r.Released {
		return true
	}
	r.Released = true
	value, err := r.encode()
	if err != nil {
		return true
	}
	_, err = m.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{{Key: RecordKey(m.set.Endpoint), ModRevision: pair.ModRevision}},
		Ops: []kv.Op{
			{Type: kv.OpPut, Key: RecordKey(m.set.Endpoint), Value: value},
			{Type: kv.OpDelete, Key: PresenceKey(m.set.Endpoint)},
		},
	})
	if err != nil {
		return false
	}
	m.log.Info().Uint("token", r.Token).Msg("lease released")
	return true
}

// pause waits for releaseRetry or until ctx ends.
func (m *Manager) pause(ctx context.Context) {
	t := time.NewTimer(releaseRetry)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
