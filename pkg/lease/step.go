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

func (m *Manager) setPhase(p phase) time.Duration {
	m.phase = p
	return 0
}

// retry logs a failed call and returns the pause before the next one.
func (m *Manager) retry(err error) time.Duration {
	m.log.Warn().Err(err).Msg("call to the key-value service failed, retrying")
	m.failures++
	return m.backoff()
}

// backoff doubles from the retry interval up to the renewal interval, so that an
// outage causes no more calls than normal operation.
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

// read looks at the record and decides how to acquire the lease. It also settles
// a write whose reply was lost.
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
		// The lease expired, or an earlier write took effect late. No other
		// process has taken over, so there is nobody to wait for.
		return m.setPhase(phaseGrant)
	case r.Released:
		m.loseToken()
		return m.setPhase(phaseGrant)
	}
	m.loseToken()
	if m.superseded {
		// Two live processes with the same endpoint id would otherwise take the
		// lease from each other forever.
		return m.setPhase(phasePresence)
	}
	return m.setPhase(phaseRevoke)
}

// checkPresence waits while the process that took over from this one renews its
// lease.
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

// revokePredecessor ends the renewals of the predecessor. Its last renewal was
// sent before the revocation took effect, so the time to live and the command
// deadline bound its commands from the reply on.
func (m *Manager) revokePredecessor(ctx context.Context) time.Duration {
	err := m.store.Revoke(ctx, m.lastRecord.Lease)
	if err != nil && !errors.Is(err, kv.ErrLeaseNotFound) {
		return m.retry(err)
	}
	if !m.set.EngineChecksTokens {
		// An engine that checks tokens needs no wait: the first command of this
		// holder ends the authority of the predecessor.
		m.blockCommandsUntil(m.set.Now().Add(m.lastRecord.commandLifetime()))
	}
	m.log.Info().Str("holder", m.lastRecord.Holder).Uint("token", m.lastRecord.Token).Msg("lease of the predecessor revoked")
	return m.setPhase(phaseGrant)
}

// grant gets the key-value lease under which the record is written.
func (m *Manager) grant(ctx context.Context) time.Duration {
	sent := m.set.Now()
	id, err := m.store.Grant(ctx, m.set.TTL)
	if err != nil {
		return m.retry(err)
	}
	m.leaseID, m.grantSent = id, sent
	return m.setPhase(phaseWrite)
}

// write takes over by compare-and-swap on the record.
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

// renew renews the key-value lease.
func (m *Manager) renew(ctx context.Context) time.Duration {
	sent := m.set.Now()
	ttl, err := m.store.KeepAlive(ctx, m.leaseID)
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound):
		// Expired or revoked: another process may be taking over, so the lease
		// counts as ended. An engine that checks tokens still protects itself.
		m.extendExpiry(sent, 0)
		return m.setPhase(phaseRead)
	case err != nil:
		return m.retry(err)
	}
	m.extendExpiry(sent, ttl)
	return m.set.RenewInterval
}

// release ends the authority and marks the record as released, so that the
// successor need not wait. It does not mark it while commands of a predecessor
// can still take effect, because the successor would not wait for those either.
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

// markReleased tries until ctx ends. Without a mark the successor waits for the
// lease to end.
func (m *Manager) markReleased(ctx context.Context) {
	for ctx.Err() == nil {
		if m.tryRelease(ctx) {
			return
		}
		m.pause(ctx)
	}
	m.log.Warn().Msg("release not confirmed, the successor waits for the lease to end")
}

// tryRelease marks the record as released. It returns false if the call may
// succeed later.
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

// pause waits before the next attempt to release, or until ctx ends.
func (m *Manager) pause(ctx context.Context) {
	t := time.NewTimer(releaseRetry)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
