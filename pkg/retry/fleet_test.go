package retry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/retry"
)

// The bound on the arrivals at a service beyond the first of each request: in every window,
// the whole fleet may make fleetRatio x requests + fleetSlack of them. The requests are
// those of the window itself, of the one before it or of the one half a window before it,
// whichever has most.
const (
	fleetWindow = 10 * time.Second
	fleetRatio  = 0.2
	fleetSlack  = 54
	// fleetTick is the time between two steps of the simulation.
	fleetTick = 50 * time.Millisecond
	// reportDelay is how late an entry learns how many entries there are.
	reportDelay = 500 * time.Millisecond
)

// simulatedEntry is one entry process and the retry budget that it keeps for a service.
type simulatedEntry struct {
	budget   retry.Budget
	share    *retry.Share
	began    time.Time
	frozen   bool
	postpone []time.Time // when retries that wait for a load are sent
}

func newSimulatedEntry(now time.Time) *simulatedEntry {
	return &simulatedEntry{began: now, share: retry.NewShare(fleetSlack)}
}

func (e *simulatedEntry) learn(now time.Time, entries int) { e.share.Observe(now, entries) }

func (e *simulatedEntry) takeRetry(now time.Time) bool {
	return e.budget.TakeRetry(now, fleetRatio, e.share.Slack(now))
}

// fleetFault is one event of a simulation.
type fleetFault struct {
	at   time.Duration
	kind string
	// share of the entries that it concerns, or, for failures, of the attempts that fail.
	share float64
	lasts time.Duration
}

// fleetRun is the result of a simulation.
type fleetRun struct {
	requests, retries []time.Duration
	// wanted is the number of retries that the entries asked for.
	wanted int
}

type fleetSimulation struct {
	random  *rand.Rand
	start   time.Time
	entries []*simulatedEntry
	run     fleetRun
}

func newFleetSimulation(entries int, seed uint64) *fleetSimulation {
	s := &fleetSimulation{random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0)}
	for range entries {
		s.entries = append(s.entries, newSimulatedEntry(s.start))
	}
	return s
}

// play simulates the given time. Requests arrive at ratePerS in the whole fleet.
func (s *fleetSimulation) play(length time.Duration, ratePerS float64, faults []fleetFault) fleetRun {
	for at := time.Duration(0); at < length; at += fleetTick {
		failing := 0.0
		for _, f := range faults {
			if f.kind == "failures" && at >= f.at && at < f.at+f.lasts {
				failing = max(failing, f.share)
			}
			s.strike(at, f)
		}
		s.learn(at)
		s.traffic(at, ratePerS, failing)
	}
	return s.run
}

// strike applies the start or the end of a fault to the entries.
func (s *fleetSimulation) strike(at time.Duration, f fleetFault) {
	now := s.start.Add(at)
	chosen := s.entries[:int(f.share*float64(len(s.entries)))]
	switch {
	case f.kind == "restart" && at == f.at:
		for i := range chosen {
			s.entries[i] = newSimulatedEntry(now)
		}
	case f.kind == "freeze" && (at == f.at || at == f.at+f.lasts):
		for _, e := range chosen {
			e.frozen = at == f.at
		}
	case f.kind == "add" && at == f.at:
		for range max(1, len(chosen)) {
			s.entries = append(s.entries, newSimulatedEntry(now))
		}
	}
}

// learn tells the entries how many there are. A frozen entry is not counted any more, and
// learns nothing.
func (s *fleetSimulation) learn(at time.Duration) {
	now := s.start.Add(at)
	awake := s.awake()
	for _, e := range s.entries {
		if !e.frozen && now.Sub(e.began) >= reportDelay && at%reportDelay == 0 {
			e.learn(now, awake)
		}
	}
}

// awake returns the number of entries that are not frozen, among which the load balancer
// divides the requests.
func (s *fleetSimulation) awake() int {
	n := 0
	for _, e := range s.entries {
		if !e.frozen {
			n++
		}
	}
	return n
}

// traffic gives each entry its requests of one step. Each failed attempt asks for a retry;
// some of the retries are sent only after a wait for a load.
func (s *fleetSimulation) traffic(at time.Duration, ratePerS, failing float64) {
	now := s.start.Add(at)
	perEntry := ratePerS * fleetTick.Seconds() / float64(max(s.awake(), 1))
	for _, e := range s.entries {
		if e.frozen {
			continue
		}
		s.sendPostponed(e, now)
		n := int(perEntry)
		if s.random.Float64() < perEntry-float64(n) {
			n++
		}
		for range n {
			e.budget.RecordRequest(now)
			s.run.requests = append(s.run.requests, at)
			if s.random.Float64() >= failing {
				continue
			}
			s.run.wanted++
			if s.random.Float64() < 0.3 {
				e.postpone = append(e.postpone, now.Add(time.Duration(s.random.IntN(3000))*time.Millisecond))
				continue
			}
			s.send(e, now)
		}
	}
}

func (s *fleetSimulation) sendPostponed(e *simulatedEntry, now time.Time) {
	e.postpone = slices.DeleteFunc(e.postpone, func(at time.Time) bool {
		if at.After(now) {
			return false
		}
		s.send(e, now)
		return true
	})
}

func (s *fleetSimulation) send(e *simulatedEntry, now time.Time) {
	if e.takeRetry(now) {
		s.run.retries = append(s.run.retries, now.Sub(s.start))
	}
}

// count returns how many of the sorted times lie in the window that starts at from.
func count(times []time.Duration, from time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+fleetWindow)
	return end - first
}

// excess returns by how much the retries exceed the bound in the worst window, and where
// it starts.
func (r *fleetRun) excess() (float64, time.Duration) {
	slices.Sort(r.retries)
	worst, where := -1e9, time.Duration(0)
	for _, from := range r.retries {
		requests := max(count(r.requests, from), count(r.requests, from-fleetWindow/2), count(r.requests, from-fleetWindow))
		over := float64(count(r.retries, from)) - fleetRatio*float64(requests) - fleetSlack
		if over > worst {
			worst, where = over, from
		}
	}
	return worst, where
}

// Guards against a window of the budget that forgets recent retries: one entry made 1.8
// times the retries that its ratio allows.
func TestRetriesInEveryWindowOfAFleet(t *testing.T) {
	for _, entries := range []int{1, 4, 29, 330} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			for seed := range uint64(3) {
				s := newFleetSimulation(entries, seed)
				run := s.play(60*time.Second, 240, []fleetFault{
					{at: 3 * time.Second, kind: "failures", share: 0.9, lasts: 12 * time.Second},
					{at: 24 * time.Second, kind: "failures", share: 0.9, lasts: 9 * time.Second},
					{at: 40 * time.Second, kind: "failures", share: 0.3, lasts: 20 * time.Second},
				})
				over, from := run.excess()
				assert.Check(t, over <= 0, "seed %d: %.1f retries too many in the window from %v", seed, over, from)
				t.Logf("seed %d: %d retries of %d wanted, %d requests", seed, len(run.retries), run.wanted, len(run.requests))
			}
		})
	}
}

// Guards against slack that each new process uses again, and against slack that is shared
// among fewer entries while some are frozen and have just used their part. With little
// traffic, the slack is most of what the fleet may make.
func TestSlackIsUsedOnce(t *testing.T) {
	failing := fleetFault{at: 14 * time.Second, kind: "failures", share: 1, lasts: 40 * time.Second}
	rows := map[string][]fleetFault{
		"restarts": {failing,
			{at: 17 * time.Second, kind: "restart", share: 1}, {at: 20 * time.Second, kind: "restart", share: 1},
			{at: 23 * time.Second, kind: "restart", share: 1}, {at: 26 * time.Second, kind: "restart", share: 1}},
		"restarts in turn": {failing,
			{at: 16 * time.Second, kind: "restart", share: 0.25}, {at: 18 * time.Second, kind: "restart", share: 0.5},
			{at: 20 * time.Second, kind: "restart", share: 0.75}, {at: 22 * time.Second, kind: "restart", share: 1}},
		"freeze":      {failing, {at: 18 * time.Second, kind: "freeze", share: 0.75, lasts: 9 * time.Second}},
		"new entries": {failing, {at: 18 * time.Second, kind: "add", share: 1}},
	}
	for name, faults := range rows {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				run := newFleetSimulation(4, seed).play(60*time.Second, 12, faults)
				over, from := run.excess()
				assert.Check(t, over <= 0, "seed %d: %.1f retries too many in the window from %v", seed, over, from)
			}
		})
	}
}

// Guards against slack that is used twice: by an entry and by the process that replaces
// it, by entries that do not know how many there are, and by entries that return from a
// freeze.
func TestRetriesWhileEntriesRestartFreezeAndAreAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SampledFrom([]int{1, 4, 29, 330}).Draw(t, "entries")
		rate := rapid.SampledFrom([]float64{0, 40, 240, 800}).Draw(t, "requests per second")
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleetFault {
			return fleetFault{
				at:    time.Duration(rapid.IntRange(0, 30).Draw(t, "at")) * time.Second,
				kind:  rapid.SampledFrom([]string{"failures", "failures", "restart", "freeze", "add"}).Draw(t, "kind"),
				share: rapid.Float64Range(0.1, 1).Draw(t, "share"),
				lasts: time.Duration(rapid.IntRange(1, 12).Draw(t, "lasts")) * time.Second,
			}
		}), 1, 6).Draw(t, "faults")
		s := newFleetSimulation(entries, rapid.Uint64().Draw(t, "seed"))
		run := s.play(40*time.Second, rate, faults)
		over, from := run.excess()
		assert.Assert(t, over <= 0, "%.1f retries too many in the window from %v", over, from)
	})
}
