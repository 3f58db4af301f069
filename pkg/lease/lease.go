// Package lease implements the engine lease: the exclusive right of one process to
// send commands to one engine. Each takeover of the lease gets a higher fencing token.
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

// Defaults of Settings.
const (
	// DefaultTTL is the time to live of the lease.
	DefaultTTL = 60 * time.Second
	// DefaultRenewInterval is the time between renewals. It leaves 40 s to retry a
	// failed renewal before the lease expires, and causes 140 writes/s to the
	// key-value service with 2,800 endpoints.
	DefaultRenewInterval = 20 * time.Second
	// DefaultRetryInterval is the pause after the first failed call. It doubles with
	// each further failure.
	DefaultRetryInterval = 2 * time.Second
	// DefaultCommandDeadline is the time after which a command has no effect. Each
	// command carries its deadline, and the engine ignores commands that arrive later.
	DefaultCommandDeadline = 5 * time.Second
	// DefaultCallTimeout is the timeout of one call to the key-value service.
	DefaultCallTimeout = 3 * time.Second
	// DefaultReleaseTimeout is the timeout of the release, so that an outage of the
	// key-value service does not delay the end of the process for long.
	DefaultReleaseTimeout = 5 * time.Second
)

// FencingTokenIncreases is the invariant that each takeover by a process gets a higher
// fencing token than its earlier ones.
const FencingTokenIncreases invariant.Name = "fencing_token_rises"

// State tells whether commands are allowed, and why.
type State uint8

// Values of State.
const (
	// NoAuthority means that commands are forbidden.
	NoAuthority State = iota
	// FencingOnly allows commands although the lease may have expired, because the
	// engine checks tokens: it rejects the commands of this process once a later
	// holder has sent one.
	FencingOnly
	// Held allows commands because the lease has not expired, so that no other process
	// may send any.
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

// Authority tells whether commands are allowed, and the fencing token to send with
// them. The token is zero if they are not allowed.
type Authority struct {
	State State
	Token uint64
}

// Settings configures a Manager. Zero durations mean the defaults.
type Settings struct {
	Endpoint ident.EndpointID
	// EngineChecksTokens is true if the engine rejects commands with a token lower
	// than the highest one it has received.
	EngineChecksTokens bool

	TTL             time.Duration
	RenewInterval   time.Duration
	RetryInterval   time.Duration
	CommandDeadline time.Duration
	CallTimeout     time.Duration
	ReleaseTimeout  time.Duration
	// Now returns the current time with a monotonic clock reading. Nil means time.Now.
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

// view is the state from which concurrent readers derive the authority.
type view struct {
	// token is zero before a takeover is confirmed and after another process has
	// taken over.
	token uint64
	// expiry is the end of the lease, calculated from the time before its last renewal
	// was sent.
	expiry time.Time
	// notBefore is the time from which commands of earlier holders can no longer take
	// effect.
	notBefore time.Time
	// superseded is true while another process holds the lease that this one once held.
	superseded bool
}

// Manager acquires, renews and releases one engine lease. Call Run from one goroutine;
// Authority, Token and Exclusive are safe for concurrent use.
type Manager struct {
	set      Settings
	store    kv.Store
	log      logging.Logger
	holderID string
	view     atomic.Pointer[view]
	// started is the time of New.
	started time.Time

	// The following fields belong to the goroutine that runs the steps.
	phase        phase
	lastRecord   Record     // the record as last read or written
	revision     int64      // mod revision of the record, zero if it does not exist
	leaseID      kv.LeaseID // key-value lease of this process, zero before the first grant
	grantSent    time.Time  // when the request for leaseID was sent
	pendingWrite *Record    // a record whose write is not confirmed yet
	superseded   bool       // another process has taken over from this one
	tookOver     bool       // this process has acquired the lease at least once
	highestToken uint64     // the highest token of this process
	failures     int        // consecutive failed calls
	loggedState  State      // the state that was logged last
}

// New returns a Manager that does not hold the lease. Call Run to acquire it.
func New(set Settings, store kv.Store, log logging.Logger) *Manager {
	set.applyDefaults()
	m := &Manager{
		set:      set,
		store:    store,
		log:      log.For(logging.ComponentLease).With("endpoint", string(set.Endpoint)),
		holderID: strconv.FormatUint(uint64(ident.NewIncarnation()), 16),
	}
	m.started = m.set.Now()
	m.view.Store(&view{})
	return m
}

// Authority tells whether a command may be sent now. The caller must send the command
// at once, with the token and the command deadline.
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

// Exclusive reports whether no other process can still change the engine's adapters,
// so that runs may rely on them. Without contact to the key-value service, this is
// true once the lease and the last command of any earlier process have expired,
// which is TTL plus CommandDeadline after New.
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

// Run acquires and renews the lease until ctx ends, then releases it. The caller must
// end ctx only after each command it sent was answered or has passed its deadline.
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

// logChange logs a change of the authority.
func (m *Manager) logChange() {
	a := m.Authority()
	if a.State == m.loggedState {
		return
	}
	m.loggedState = a.State
	m.log.Info().Str("authority", a.State.String()).Uint("token", a.Token).Msg("authority changed")
}

// confirmTakeover publishes the authority after the write of r is confirmed.
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

// loseToken ends the authority because the record names another process.
func (m *Manager) loseToken() {
	if m.tookOver {
		m.superseded = true
	}
	v := *m.view.Load()
	v.token = 0
	v.superseded = m.superseded
	m.view.Store(&v)
}

// blockCommandsUntil forbids commands before t.
func (m *Manager) blockCommandsUntil(t time.Time) {
	v := *m.view.Load()
	if t.After(v.notBefore) {
		v.notBefore = t
	}
	m.view.Store(&v)
}

// extendExpiry sets the end of the lease to ttl, but at most the configured time to
// live, after the time at which its renewal was sent.
func (m *Manager) extendExpiry(sent time.Time, ttl time.Duration) {
	v := *m.view.Load()
	v.expiry = sent.Add(min(ttl, m.set.TTL))
	m.view.Store(&v)
}
