// Package lease implements the engine lease: the exclusive right to give commands
// to one engine, with a fencing token that increases with each holder.
package lease

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/invariant"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// Defaults of the settings.
const (
	DefaultTTL = 60 * time.Second
	// DefaultRenewInterval leaves 40 s to repeat a failed renewal before the lease
	// ends. At 2,800 endpoints it makes 140 writes/s.
	DefaultRenewInterval = 20 * time.Second
	// DefaultRetryInterval is the pause after the first failed call.
	DefaultRetryInterval = 2 * time.Second
	// DefaultCommandDeadline is the deadline that each command carries. A command
	// that arrives later has no effect.
	DefaultCommandDeadline = 5 * time.Second
	DefaultCallTimeout     = 3 * time.Second
	// DefaultReleaseTimeout bounds the release, so that an outage does not delay the
	// end of the process.
	DefaultReleaseTimeout = 5 * time.Second
)

// FencingTokenIncreases is the invariant that each takeover gets a higher fencing token.
const FencingTokenIncreases invariant.Name = "fencing_token_rises"

// State is the right to give commands.
type State uint8

// States of the right.
const (
	// NoAuthority forbids commands.
	NoAuthority State = iota
	// FencingOnly allows commands because the engine rejects them once a successor
	// has given one.
	FencingOnly
	// Held allows commands because no other process may give any.
	Held
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Held:
		return "held"
	case FencingOnly:
		return "fenced"
	default:
		return "none"
	}
}

// Authority is the right to give commands together with their fencing token.
type Authority struct {
	State State
	Token uint64
}

// Settings configure a holder. Zero durations mean the defaults.
type Settings struct {
	Endpoint ident.EndpointID
	// EngineChecksTokens tells that the engine rejects commands with an old token.
	EngineChecksTokens bool

	TTL             time.Duration
	RenewInterval   time.Duration
	RetryInterval   time.Duration
	CommandDeadline time.Duration
	CallTimeout     time.Duration
	ReleaseTimeout  time.Duration
	// Now returns a time with a monotonic clock reading. Nil means time.Now.
	Now func() time.Time
}

func (s *Settings) applyDefaults() {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.TTL, DefaultTTL},
		{&s.RenewInterval, DefaultRenewInterval},
		{&s.RetryInterval, DefaultRetryInterval},
		{&s.CommandDeadline, DefaultCommandDeadline},
		{&s.CallTimeout, DefaultCallTimeout},
		{&s.ReleaseTimeout, DefaultReleaseTimeout},
	}
	for _, d := range defaults {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if s.Now == nil {
		s.Now = time.Now
	}
}

// view is what concurrent readers need to derive the authority.
type view struct {
	// token is zero until a takeover is confirmed, and again once superseded.
	token uint64
	// expiry is the end of the lease, counted from before its renewal was sent.
	expiry time.Time
	// notBefore is when commands of earlier holders can no longer take effect.
	notBefore time.Time
	// superseded is true while another process holds the lease.
	superseded bool
}

// Manager acquires, renews and releases one engine lease. Run uses it from one
// goroutine; Authority and Token are safe for concurrent use.
type Manager struct {
	set      Settings
	store    kv.Store
	log      logging.Logger
	holderID string
	view     atomic.Pointer[view]
	// started is when the holder was created.
	started time.Time

	// State of the goroutine that runs the steps.
	phase        phase
	lastRecord   Record     // the record as last read
	revision     int64      // its mod revision, zero if it does not exist
	leaseID      kv.LeaseID // the key-value lease of this process
	grantSent    time.Time  // when the grant of own was sent
	pendingWrite *Record    // a record whose write is not confirmed
	superseded   bool       // another process took over from this one
	tookOver     bool       // this process has held a token
	highestToken uint64     // the highest token of this process
	failures     int        // consecutive failed calls
	loggedState  State      // the state as last logged
}

// New returns a holder that has not acquired its lease.
func New(set Settings, store kv.Store, log logging.Logger) *Manager {
	set.applyDefaults()
	m := &Manager{
		set:      set,
		store:    store,
		log:      log.For(logging.PartLease).With("endpoint", string(set.Endpoint)),
		holderID: strconv.FormatUint(uint64(ident.NewIncarnation()), 16),
	}
	m.started = m.set.Now()
	m.view.Store(&view{})
	return m
}

// Authority returns the right to give a command now. The caller sends the
// command at once, with the token and the command deadline.
func (m *Manager) Authority() Authority {
	v := m.view.Load()
	now := m.set.Now()
	switch {
	case v.token == 0 || now.Before(v.notBefore):
		return Authority{}
	case now.Before(v.expiry):
		return Authority{State: Held, Token: v.token}
	case m.set.EngineChecksTokens:
		return Authority{State: FencingOnly, Token: v.token}
	default:
		return Authority{}
	}
}

// Token returns the fencing token and whether commands are allowed now.
func (m *Manager) Token() (token uint64, ok bool) {
	a := m.Authority()
	return a.Token, a.State != NoAuthority
}

// Exclusive reports whether no other process can change the engine's adapters any
// more, so that runs may rely on them. Without contact to the key-value service
// that is so once the lease and the last command of a predecessor have run out.
func (m *Manager) Exclusive() bool {
	v := m.view.Load()
	now := m.set.Now()
	switch {
	case v.superseded:
		return false
	case v.token != 0:
		return !now.Before(v.notBefore)
	default:
		return !now.Before(v.notBefore) && !now.Before(m.started.Add(m.set.TTL+m.set.CommandDeadline))
	}
}

// Run acquires and renews the lease until ctx ends, then releases it. The caller
// ends ctx only when each command it gave was answered or has passed its deadline.
func (m *Manager) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			release, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.set.ReleaseTimeout)
			defer cancel()
			m.release(release)
			return
		case <-timer.C:
			timer.Reset(m.step(ctx))
			m.logChange()
		}
	}
}

// report logs a change of the authority.
func (m *Manager) logChange() {
	a := m.Authority()
	if a.State == m.loggedState {
		return
	}
	m.loggedState = a.State
	m.log.Info().Str("authority", a.State.String()).Uint("token", a.Token).Msg("authority changed")
}

// hold publishes a confirmed takeover.
func (m *Manager) confirmTakeover(r *Record, revision int64) {
	invariant.Check(r.Token > m.highestToken, FencingTokenIncreases, "token %d after %d", r.Token, m.highestToken)
	m.highestToken = r.Token
	m.revision = revision
	m.lastRecord = *r
	m.pendingWrite = nil
	m.tookOver = true
	m.superseded = false
	v := *m.view.Load()
	v.token = r.Token
	v.superseded = false
	v.expiry = m.grantSent.Add(m.set.TTL)
	m.view.Store(&v)
}

// loseToken ends the authority because another process has taken over.
func (m *Manager) loseToken() {
	if m.tookOver {
		m.superseded = true
	}
	v := *m.view.Load()
	v.token = 0
	v.superseded = m.superseded
	m.view.Store(&v)
}

// waitUntil forbids commands before t.
func (m *Manager) blockCommandsUntil(t time.Time) {
	v := *m.view.Load()
	if t.After(v.notBefore) {
		v.notBefore = t
	}
	m.view.Store(&v)
}

// renewed extends the lease by ttl from the time at which its renewal was sent.
func (m *Manager) extendExpiry(sent time.Time, ttl time.Duration) {
	v := *m.view.Load()
	v.expiry = sent.Add(min(ttl, m.set.TTL))
	m.view.Store(&v)
}
