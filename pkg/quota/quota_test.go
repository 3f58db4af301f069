package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func limitOf(perSecond float64) Limit {
	return Limit{PerSecond: perSecond, Burst: perSecond, Version: 1}
}

// checkBound fails if more was admitted in a window than the quota allows.
func checkBound(t assert.TestingT, s *simulation) {
	most := s.mostFrom(time.Time{})
	assert.Check(t, most <= bound(s.limit), "%.0f in a window, %.0f allowed", most, bound(s.limit))
}

// Guards against a quota that multiplies with the number of entries, and against one of which
// a team that sends six times its usual traffic gets only a part.
func TestHotTeamIsHeldToItsQuota(t *testing.T) {
	for _, entries := range []int{1, 4, 22, 330} {
		for _, perSecond := range []float64{29_000, 258_000, 530_000} {
			t.Run(fmt.Sprintf("%d entries, %.0f a second", entries, perSecond), func(t *testing.T) {
				s := newSimulation(entries, 41, limitOf(perSecond), 1)
				s.run(5*time.Second, perSecond/1.8)
				s.run(11*time.Second, 6*perSecond/1.8)
				before := len(s.admitted)
				hot := 0.0
				s.run(10*time.Second, 6*perSecond/1.8)
				for _, a := range s.admitted[before:] {
					hot += a.cost
				}
				checkBound(t, s)
				assert.Check(t, hot >= 0.9*perSecond*10, "%.0f of %.0f admitted", hot, perSecond*10)
			})
		}
	}
}

// Guards against refusals of a team that stays below its rate, with entries of unequal traffic
// and requests of unequal size, and against a message for each of its requests.
func TestTeamBelowItsRateIsNotRefused(t *testing.T) {
	// Small teams use less of their quota than large ones.
	loads := map[float64]float64{29_000: 0.3, 258_000: 1 / 1.8, 530_000: 1 / 1.8}
	for _, entries := range []int{1, 22, 330} {
		for perSecond, load := range loads {
			t.Run(fmt.Sprintf("%d entries, %.0f a second", entries, perSecond), func(t *testing.T) {
				s := newSimulation(entries, 41, limitOf(perSecond), 2)
				s.run(time.Minute, load*perSecond)
				assert.Equal(t, s.refused, 0, "of %d", len(s.admitted))
				assert.Check(t, s.asks <= len(s.admitted)*5/4, "%d messages for %d requests", s.asks, len(s.admitted))
			})
		}
	}
}

// Guards against refusals of a team below its rate, and against twice the quota, while one
// keeper is killed, frozen past its leases, cut off or replaced.
func TestLossOfAKeeper(t *testing.T) {
	const perSecond = 258_000
	faults := map[string]func(s *simulation){
		"killed":   func(s *simulation) { s.keepers[0].keeper = NewKeeper(s.now) },
		"frozen":   func(s *simulation) { s.keepers[0].frozen = true },
		"replaced": func(s *simulation) { s.keepers, s.settledAt = s.keepers[1:], s.now; s.configure() },
		"cut off": func(s *simulation) {
			for _, e := range s.entries[:11] {
				e.cut["side-0"] = true
			}
		},
	}
	for name, fault := range faults {
		for _, load := range []float64{1 / 1.8, 6 / 1.8} {
			t.Run(fmt.Sprintf("%s, %.1f of the rate", name, load), func(t *testing.T) {
				s := newSimulation(22, 41, limitOf(perSecond), 3)
				s.run(10*time.Second, load*perSecond)
				fault(s)
				s.run(10*time.Second, load*perSecond)
				s.keepers[0].frozen = false
				s.run(10*time.Second, load*perSecond)
				checkBound(t, s)
				if load < 1 {
					assert.Equal(t, s.refused, 0, "of %d", len(s.admitted))
				}
			})
		}
	}
}

// Guards against a lowered quota that leases of the former one exceed after a window.
func TestLoweredQuota(t *testing.T) {
	s := newSimulation(22, 41, limitOf(258_000), 4)
	s.run(10*time.Second, 500_000)
	s.limit = Limit{PerSecond: 58_000, Burst: 58_000, Version: 2}
	s.configure()
	lowered := s.now
	s.run(20*time.Second, 500_000)
	most := s.mostFrom(lowered)
	assert.Check(t, most <= bound(s.limit), "%.0f in a window, %.0f allowed", most, bound(s.limit))
}

// Guards against a quota that is granted again to entries that have lost all their state at
// once, and against credit that stays with the leases of their earlier processes.
func TestAllEntriesRestartAtOnce(t *testing.T) {
	for _, load := range []float64{1 / 1.8, 6 / 1.8} {
		s := newSimulation(22, 41, limitOf(258_000), 5)
		for range 5 {
			s.run(4*time.Second, load*258_000)
			for i := range s.entries {
				s.restartEntry(i)
			}
		}
		checkBound(t, s)
		if load < 1 {
			assert.Equal(t, s.refused, 0, "of %d", len(s.admitted))
		}
	}
}

// Guards against an entry without any keeper that refuses everything at once, or that admits
// more than the tolerance covers.
func TestEntryWithoutKeepers(t *testing.T) {
	const perSecond = 258_000
	s := newSimulation(22, 41, limitOf(perSecond), 6)
	s.run(10*time.Second, perSecond/1.8)
	for _, e := range s.entries {
		for _, k := range s.keepers {
			e.cut[k.name] = true
		}
	}
	s.run(300*time.Millisecond, perSecond/1.8)
	assert.Check(t, s.refused*20 <= len(s.admitted), "%d refused", s.refused)
	from := len(s.admitted)
	s.run(20*time.Second, 6*perSecond)
	sum := 0.0
	for _, a := range s.admitted[from:] {
		sum += a.cost
	}
	assert.Check(t, sum <= 2.5*perSecond, "%.0f admitted without keepers", sum)
}

// Guards against windows that exceed the quota while entries and keepers restart, freeze, are
// replaced and cut off, and the traffic changes.
func TestNoWindowExceedsTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{29_000, 258_000, 530_000}).Draw(t, "rate")
		s := newSimulation(rapid.SampledFrom([]int{1, 22, 60}).Draw(t, "entries"), 41, limitOf(perSecond), rapid.Uint64().Draw(t, "seed"))
		for range 15 {
			randomFault(t, s)
			load := rapid.SampledFrom([]float64{0.1, 1 / 1.8, 1, 2, 4}).Draw(t, "load")
			s.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond, load*perSecond)
		}
		checkBound(t, s)
	})
}

func randomFault(t *rapid.T, s *simulation) {
	share := rapid.Float64Range(0, 1).Draw(t, "share")
	i := rapid.IntRange(0, maxKeepers-1).Draw(t, "keeper")
	switch rapid.SampledFrom([]string{"", "restart", "freeze", "cut", "heal", "replace", "entries", "lost"}).Draw(t, "fault") {
	case "restart":
		s.run(500*time.Millisecond, 0)
		s.keepers[i].keeper = NewKeeper(s.now)
	case "freeze":
		s.keepers[i].frozen = true
	case "cut":
		for _, e := range s.entries {
			if s.random.Float64() < share {
				e.cut[s.keepers[i].name] = true
			}
		}
	case "heal":
		for _, k := range s.keepers {
			k.frozen = false
		}
		for _, e := range s.entries {
			clear(e.cut)
		}
	case "replace":
		s.keepers = append(s.keepers[:i:i], s.keepers[i+1:]...)
		s.settledAt = s.now
		s.configure()
	case "entries":
		for j := range s.entries {
			if s.random.Float64() < share {
				s.restartEntry(j)
			}
		}
	case "lost":
		for _, k := range s.keepers {
			s.entries[0].cut[k.name] = true
		}
	}
}

// Guards against a new keeper that grants its whole part while the leases of the former one
// are still spent.
func TestNewKeeperStartsWithAPartOfItsCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	d := Demand{Entry: "e", Team: simTeam, Limit: limitOf(1000), Needed: 400, Lifetime: time.Second}
	k := NewKeeper(now)
	assert.Equal(t, k.Lease(now, d).Credit, 400.0)
	assert.Equal(t, k.Lease(now, d).Credit, 0.0)
}

// Guards against leases that are spent after they have expired, and against a keeper that
// counts them longer.
func TestLeaseExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	k := NewKeeper(now)
	a := NewAccount("e", simTeam, Tolerance{Window: time.Second})
	a.SetLimit(limitOf(1000), []string{"k"}, now)
	q, ok := a.Next(now, []float64{100}, nil)
	assert.Assert(t, ok)
	a.Granted(now, &q, k.Lease(now, q.Demand))
	assert.Assert(t, !a.Spend(now.Add(time.Second), 100))
	late := k.Lease(now.Add(time.Second), Demand{Entry: "f", Team: simTeam, Limit: limitOf(1000), Expected: 1000, Lifetime: time.Second})
	assert.Equal(t, k.Status(now.Add(2 * time.Second))[0].Unspent, 0.0)
	assert.Assert(t, late.Credit > 0)
}

// Guards against a Retry-After at which there is no credit, and against callers that are all
// told to return at the same moment.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	k := NewKeeper(now)
	d := Demand{Entry: "e", Team: simTeam, Limit: limitOf(1000), Needed: 400, Lifetime: 8 * time.Second}
	k.Lease(now, d)
	for i := range 3 {
		g := k.Lease(now, d)
		want := time.Duration(i+1) * 300 * time.Millisecond // 400 needed, 100 there
		assert.Equal(t, g.RetryAfter.Round(time.Millisecond), want)
	}
	assert.Equal(t, k.Lease(now.Add(300*time.Millisecond), d).Credit, 400.0)
}

// Guards against credit that is lost with the item of a server: the sidecar beside it has granted a
// lease, which the entry may spend until it expires.
func TestLeaseOutlivesItsKeeper(t *testing.T) {
	now := time.Now()
	a := NewAccount("e", "t", Tolerance{Window: time.Second})
	limit := Limit{PerSecond: 100, Burst: 100, Version: 1}
	a.SetLimit(limit, []string{"k1"}, now)
	ask, ok := a.Next(now, []float64{10}, map[string]bool{})
	assert.Assert(t, ok)
	a.Granted(now, &ask, Grant{Credit: 40})
	a.SetLimit(limit, []string{"k2"}, now)
	assert.Assert(t, a.Spend(now, 10), "the lease has ended with its keeper")
	a.SetLimit(limit, []string{"k2", "k1"}, now)
	assert.Assert(t, a.Spend(now, 10), "the lease has ended with the return of its keeper")
	assert.Assert(t, !a.Spend(now, 21), "the lease counts twice")
	a.SetLimit(limit, nil, now)
	assert.Assert(t, !a.Spend(now.Add(time.Second), 1), "the lease has expired")
	a.SetLimit(Limit{PerSecond: 50, Burst: 50, Version: 2}, nil, now)
	assert.Assert(t, !a.Spend(now, 1), "leases of a higher quota end")
}
