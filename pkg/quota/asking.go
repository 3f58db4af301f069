package quota

import "time"

// expected returns the credit that is kept ahead of use: the use of aheadTime, and at least a
// request of the usual size, but none if requests are rare. Other entries would lack it.
func (a *Account) expected(now time.Time) float64 {
	perSecond, requests := a.used.perSecond(now), a.requests.perSecond(now)
	if requests < aheadRequests {
		return 0
	}
	return max(perSecond*aheadTime.Seconds(), perSecond/requests)
}

// Next returns a request to a keeper that is not in tried, for the credit that the waiting
// requests with the given costs need. It asks for several of them together, or for the first
// alone if the keeper has denied the sum. It reports false if the local credit is enough for the
// first, or no keeper is left.
func (a *Account) Next(now time.Time, costs []float64, tried map[string]bool) (Ask, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(costs) == 0 {
		return Ask{}, false
	}
	single := costs[0] - a.credit(now)
	if single <= 0 {
		return Ask{}, false
	}
	joint := a.joint(single, costs[1:])
	for _, silent := range []bool{false, true} {
		for i := range a.keepers {
			s := a.keepers[(a.current+i)%len(a.keepers)]
			if tried[s.name] || now.Before(s.silentUntil) != silent || !s.askable(now, single) {
				continue
			}
			needed := joint
			if !s.askable(now, joint) {
				needed = single
			}
			q := a.ask(now, s, needed, a.expected(now))
			q.Joint = needed > single
			return q, true
		}
	}
	return Ask{}, false
}

// joint returns the credit for a request and for those of the next ones that one keeper should
// have the credit for, too.
func (a *Account) joint(single float64, others []float64) float64 {
	sum := single
	for _, cost := range others {
		if sum+cost > jointShare*a.part.Burst {
			break
		}
		sum += cost
	}
	return sum
}

// Refill returns a request for credit ahead of use if too little is left. It reports false if
// none is due.
func (a *Account) Refill(now time.Time) (Ask, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refilling || now.Before(a.refillAfter) {
		return Ask{}, false
	}
	expected, credit := a.expected(now), a.credit(now)
	if expected <= 0 || credit >= expected/2 {
		return Ask{}, false
	}
	for i := range a.keepers {
		s := a.keepers[(a.current+i)%len(a.keepers)]
		if s.askable(now, 0) && !now.Before(s.silentUntil) {
			a.refilling = true
			q := a.ask(now, s, 0, expected-credit)
			q.Ahead = true
			return q, true
		}
	}
	return Ask{}, false
}

// askable reports whether the keeper may be asked for credit. It may have less than it has
// denied shortly before, but is not asked ahead of use then.
func (s *source) askable(now time.Time, needed float64) bool {
	return !now.Before(s.deniedUntil) || needed > 0 && needed < s.denied
}

func (a *Account) ask(now time.Time, s *source, needed, expected float64) Ask {
	return Ask{Keeper: s.name, SentAt: now, Demand: Demand{
		Entry: a.entry, Team: a.team, Limit: a.part,
		Needed: needed, Expected: expected, Unspent: s.unspent(now), Lifetime: a.tolerance.Window, Settled: now.Sub(a.settledAt),
	}}
}

// Granted records the answer of a keeper. The lease counts from the time of the request.
func (a *Account) Granted(now time.Time, q *Ask, g Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.answered(q)
	if s == nil || q.Demand.Limit.Version < a.part.Version && (q.Demand.Limit.Burst > a.part.Burst || q.Demand.Limit.PerSecond > a.part.PerSecond) {
		return // of a keeper or of a quota that is no longer in force
	}
	s.silentUntil, s.spentPerSecond = time.Time{}, g.SpentPerSecond
	a.trust = a.used.perSecond(now) * trustTime.Seconds()
	if g.Credit > 0 {
		s.credit = s.unspent(now) + g.Credit
		s.expiresAt, s.grantedAt = q.SentAt.Add(q.Demand.Lifetime), now
	}
	switch {
	case g.Credit < q.Demand.Needed:
		s.denied = q.Demand.Needed
		s.deniedUntil = now.Add(min(max(g.RetryAfter, minDenied), maxDenied))
		a.promisedAt = now.Add(g.RetryAfter / time.Duration(len(a.keepers)))
		a.skip(s)
	case q.Ahead && g.Credit < q.Demand.Expected/2:
		a.refillAfter = now.Add(refillPause)
		a.skip(s)
	}
}

// Silent records that a keeper did not answer.
func (a *Account) Silent(now time.Time, q *Ask) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.answered(q); s != nil {
		s.silentUntil = now.Add(silentTime)
		a.skip(s)
	}
}

// answered ends a request to a keeper and returns the keeper, or nil if it is none any more.
func (a *Account) answered(q *Ask) *source {
	if q.Ahead {
		a.refilling = false
	}
	for _, s := range a.keepers {
		if s.name == q.Keeper {
			return s
		}
	}
	return nil
}

// skip makes the next keeper the first to be asked, if it is s now.
func (a *Account) skip(s *source) {
	if a.keepers[a.current%len(a.keepers)] == s {
		a.current = (a.current + 1) % len(a.keepers)
	}
}
