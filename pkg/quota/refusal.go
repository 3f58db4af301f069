package quota

import "time"

// Cause is why a request is refused.
type Cause uint8

// Causes of refusals.
const (
	// OverQuota means that the keepers have no credit.
	OverQuota Cause = iota
	// NoKeeper means that most keepers do not answer, and the entry has spent its leases.
	NoKeeper
)

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string {
	if c == NoKeeper {
		return "no_keeper"
	}
	return "over_quota"
}

// Refusal is a refusal with its inputs.
type Refusal struct {
	Cause      Cause
	RetryAfter time.Duration
	// Credit is the local credit, and Denied and Silent are the numbers of keepers without
	// credit and of those that do not answer.
	Credit         float64
	Denied, Silent int
}

// Refuse decides on a request for which neither the local credit nor the keepers' is enough. If
// no keeper answers, it admits requests up to the entry's use in trustTime before the last
// answer.
func (a *Account) Refuse(now time.Time, cost float64) (r Refusal, admitted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.keepers {
		switch {
		case now.Before(s.deniedUntil):
			r.Denied++
		case now.Before(s.silentUntil):
			r.Silent++
		}
	}
	r.Credit = a.credit(now)
	if len(a.keepers) == 0 || 2*r.Silent > len(a.keepers) {
		r.Cause = NoKeeper
	}
	if r.Silent == len(a.keepers) && a.trust >= cost {
		a.trust -= cost
		a.count(now, cost)
		return r, true
	}
	r.RetryAfter = a.retryAfter(now, cost-r.Credit)
	return r, false
}

// retryAfter returns the time until the missing credit may be granted.
func (a *Account) retryAfter(now time.Time, missing float64) time.Duration {
	wait := a.promisedAt.Sub(now)
	if perSecond := a.part.PerSecond * float64(len(a.keepers)); perSecond > 0 {
		wait = max(wait, time.Duration(missing/perSecond*float64(time.Second)))
	}
	return min(max(wait, minRetryAfter), a.tolerance.Window)
}

// State is the state of an account, for operators.
type State struct {
	// PerSecond and Burst are the quota, EntryPerSecond is the recent use at this entry and
	// FleetPerSecond that at all entries as far as the keepers have told.
	PerSecond, Burst               float64
	EntryPerSecond, FleetPerSecond float64
	Credit                         float64
	// Keeper is the keeper that is asked first, and LeaseAge the time since it last granted
	// credit, or 0 if it never did.
	Keeper   string
	LeaseAge time.Duration
}

// State returns the state of the account.
func (a *Account) State(now time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := State{PerSecond: a.limit.PerSecond, Burst: a.limit.Burst, EntryPerSecond: a.used.perSecond(now), Credit: a.credit(now)}
	for _, s := range a.keepers {
		st.FleetPerSecond += s.spentPerSecond
	}
	if len(a.keepers) > 0 {
		s := a.keepers[a.current%len(a.keepers)]
		st.Keeper = s.name
		if !s.grantedAt.IsZero() {
			st.LeaseAge = now.Sub(s.grantedAt)
		}
	}
	return st
}
