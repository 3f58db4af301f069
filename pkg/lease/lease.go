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
	set   Settings
	store kv.Store
	log   logging.Logger
	self  string
	view  atomic.Pointer[view]
	// started is when the holder was created.
	started time.Time

	// State of the goroutine that runs the steps.
	phase      phase
	seen       Record     // the record as last read
	revision   int64      // its mod revision, zero if it does not exist
	own        kv.LeaseID // the key-value lease of this process
	ownSent    time.Time  // when the grant of own was sent
	pending    *Record    // a record whose write is not confirmed
	superseded bool       // another process took over from this one
	tookOver   bool       // this process has held a token
	highest    uint64     // the highest token of this process
	failures   int        // consecutive failed calls
	reported   State      // the state as last logged
}

// New returns a holder that has not acquired its lease.
func New(set Settings, store kv.Store, log logging.Logger) *Manager {
	set.applyDefaults()
	h := &Manager{
		set:   set,
		store: store,
		log:   log.For(logging.ComponentLease).With("endpoint", string(set.Endpoint)),
		self:  strconv.FormatUint(uint64(ident.NewIncarnation()), 16),
	}
	h.started = h.set.Now()
	h.view.Store(&view{})
	return h
}

// Authority returns the right to give a command now. The caller sends the
// command at once, with the token and the command deadline.
func (h *Manager) Authority() Authority {
	v := h.view.Load()
	now := h.set.Now()
	switch {
	case v.token == 0 || now.Before(v.notBefore):
		return Authority{}
	case now.Before(v.expiry):
		return Authority{State: Held, Token: v.token}
	case h.set.EngineChecksTokens:
		return Authority{State: FencingOnly, Token: v.token}
	default:
		return Authority{}
	}
}

// Token returns the fencing token and whether commands are allowed now.
func (h *Manager) Token() (token uint64, ok bool) {
	a := h.Authority()
	return a.Token, a.State != NoAuthority
}

// Exclusive reports whether no other process can change the engine's adapters any
// more, so that runs may rely on them. Without contact to the key-value service
// that is so once the lease and the last command of a predecessor have run out.
func (h *Manager) Exclusive() bool {
	v := h.view.Load()
	now := h.set.Now()
	switch {
	case v.superseded:
		return false
	case v.token != 0:
		return !now.Before(v.notBefore)
	default:
		return !now.Before(v.notBefore) && !now.Before(h.started.Add(h.set.TTL+h.set.CommandDeadline))
	}
}

// Run acquires and renews the lease until ctx ends, then releases it. The caller
// ends ctx only when each command it gave was answered or has passed its deadline.
func (h *Manager) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			release, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.set.ReleaseTimeout)
			defer cancel()
			h.release(release)
			return
		case <-timer.C:
			timer.Reset(h.step(ctx))
			h.report()
		}
	}
}

// report logs a change of the authority.
func (h *Manager) report() {
	a := h.Authority()
	if a.State == h.reported {
		return
	}
	h.reported = a.State
	h.log.Info().Str("authority", a.State.String()).Uint("token", a.Token).Msg("authority changed")
}

// hold publishes a confirmed takeover.
func (h *Manager) hold(r *Record, revision int64) {
	invariant.Check(r.Token > h.highest, FencingTokenIncreases, "token %d after %d", r.Token, h.highest)
	h.highest = r.Token
	h.revision = revision
	h.seen = *r
	h.pending = nil
	h.tookOver = true
	h.superseded = false
	v := *h.view.Load()
	v.token = r.Token
	v.superseded = false
	v.expiry = h.ownSent.Add(h.set.TTL)
	h.view.Store(&v)
}

// loseToken ends the authority because another process has taken over.
func (h *Manager) loseToken() {
	if h.tookOver {
		h.superseded = true
	}
	v := *h.view.Load()
	v.token = 0
	v.superseded = h.superseded
	h.view.Store(&v)
}

// waitUntil forbids commands before t.
func (h *Manager) waitUntil(t time.Time) {
	v := *h.view.Load()
	if t.After(v.notBefore) {
		v.notBefore = t
	}
	h.view.Store(&v)
}

// renewed extends the lease by ttl from the time at which its renewal was sent.
func (h *Manager) renewed(sent time.Time, ttl time.Duration) {
	v := *h.view.Load()
	v.expiry = sent.Add(min(ttl, h.set.TTL))
	h.view.Store(&v)
}
