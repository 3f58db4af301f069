package locality

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// addViews adds the entries that share the servers.
func (s *sim) addViews() {
	for range s.l.entries {
		view := make([]*fleet.Endpoint, len(s.servers))
		for i, v := range s.servers {
			e := *v.endpoint
			if s.l.newFrom > 0 && i >= len(s.servers)/2 {
				e.State = fleet.Draining
			}
			e.Runtime = fleet.NewRuntime()
			view[i] = &e
		}
		s.views = append(s.views, view)
	}
}

// entryView returns what the entry that chooses now knows of a server.
func (s *sim) entryView(v *simServer) *fleet.Runtime {
	return s.endpoints()[slices.Index(s.servers, v)].Runtime
}

// views returns the records of the work of a request: that of its server and that of its
// entry, if there are several entries.
func (r *simRequest) views() []*fleet.Runtime {
	if r.entry == r.server.endpoint.Runtime {
		return []*fleet.Runtime{r.entry}
	}
	return []*fleet.Runtime{r.server.endpoint.Runtime, r.entry}
}

// reportDue reports whether a server sends its state now.
func (s *sim) reportDue(v *simServer) bool {
	st := v.endpoint.Runtime.Status()
	if st == nil || s.now.Sub(st.ReceivedAt) >= cmp.Or(s.l.reportEvery, statusInterval) {
		return true
	}
	change := v.endpoint.Runtime.OwnBacklog().Total() - st.Backlog.Total()
	return s.l.urgentReports && max(change, -change) >= fleet.UrgentBacklogChange
}

// report sends the state of a server to all entries.
func (s *sim) report(v *simServer) {
	st := v.state(s)
	v.endpoint.Runtime.SetStatus(st)
	all := v.endpoint.Runtime.OwnWork()
	for _, view := range s.views {
		if s.rng.Float64() < s.l.reportsLost {
			continue
		}
		known := view[slices.Index(s.servers, v)].Runtime
		own, toEntry := known.OwnWork(), *st
		others := fleet.Work{Backlog: all.Backlog.Without(own.Backlog), Waiting: map[uint64]fleet.Backlog{}}
		for k, tokens := range all.Waiting {
			others.Waiting[k] = tokens.Without(own.Waiting[k])
		}
		if toEntry.Entries = len(s.views); !s.l.sumsOnly {
			toEntry.Others = &others
		}
		known.SetStatus(&toEntry)
	}
}

// join lets the new servers join.
func (s *sim) join() {
	if s.now.Sub(s.started) < s.l.newFrom {
		return
	}
	for _, view := range s.views {
		for _, e := range view {
			e.State = fleet.Ready
		}
	}
}

// burst lets one request for each server arrive if a burst is due.
func (s *sim) burst(rng *rand.Rand, weights []float64, total float64, start time.Time) {
	if s.l.burstEvery == 0 || s.now.Sub(start)%s.l.burstEvery != 0 {
		return
	}
	for range s.servers {
		r := s.arrival(rng, weights, total, s.now, start)
		s.all = append(s.all, r)
		s.dispatch(r)
	}
}

// byChoosers chooses for each entry with a Chooser of its own.
func byChoosers() func(r *Request, s *sim) (*simServer, bool) {
	choosers := map[int]*Chooser{}
	return func(r *Request, s *sim) (*simServer, bool) {
		c := choosers[s.view]
		if c == nil {
			c = New(DefaultWeights(), NewPrefixIndex())
			choosers[s.view] = c
		}
		if !s.l.sumsOnly {
			r.Draw = s.rng.Float64()
		}
		choice, ok := c.Choose(r, s.endpoints())
		return s.find(choice.Endpoint), ok
	}
}

// warmUp is the time at the start that is not measured: until the first reports, nothing is
// known of the others.
const warmUp = 2 * time.Second

// evenness returns the 99th percentile of the waits and the ratio of the work that the
// busiest server got in a second to that of the mean one, as the mean over all seconds and as
// the highest one.
func (s *sim) evenness() (p99 time.Duration, mean, highest float64) {
	waits := make([]time.Duration, 0, len(s.all))
	work := map[int]map[*simServer]float64{}
	for _, r := range s.all {
		if r.first == 0 || r.at.Sub(s.started) < warmUp {
			continue
		}
		speed := 1 / s.slowdown(r.server)
		read := time.Duration(float64(r.prompt) / tokensPerMS / speed * float64(time.Millisecond))
		waits = append(waits, r.first-read)
		second := int(r.startedAt.Sub(s.started) / time.Second)
		if work[second] == nil {
			work[second] = map[*simServer]float64{}
		}
		work[second][r.server] += read.Seconds()
	}
	for _, servers := range work {
		busiest, sum := 0.0, 0.0
		for _, w := range servers {
			busiest, sum = max(busiest, w), sum+w
		}
		ratio := busiest * float64(len(s.servers)) / sum
		mean += ratio / float64(len(work))
		highest = max(highest, ratio)
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100], mean, highest
}
