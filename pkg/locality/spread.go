package locality

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/balance"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// reportDelay is the age that a report has at least: the sidecar sums up the updates of the
// entries, which take a few milliseconds to arrive, and so does the report.
const reportDelay = 10 * time.Millisecond

// spread chooses among the servers that have the adapter loaded and are about as good as the
// best one: nothing is known to be worse there but the load, and the cost differs by less than
// the work that the other entries may have sent since the reports. A request that needs a load
// is not spread, since each server that loads the adapter adds a load, and neither is one to a
// server that lacks cached parts of the prompt, is farther or slower.
func spread(r *Request, best Choice, resident []Choice, incoming time.Duration) Choice {
	options := make([]balance.Option, 0, len(resident))
	for i := range resident {
		if c := &resident[i]; c.Cost-c.load <= best.Cost-best.load {
			options = append(options, balance.Option{Index: i, Cost: c.Cost})
		}
	}
	place, equal := balance.Spread(options, incoming, r.Draw)
	chosen := resident[options[place].Index]
	chosen.Equal, chosen.Incoming, chosen.Lowest = equal, incoming, best.Cost
	for i := range resident {
		if c := &resident[i]; c.Endpoint != chosen.Endpoint && (chosen.NextBest == 0 || c.Cost < chosen.NextBest) {
			chosen.NextBest = c.Cost
		}
	}
	return chosen
}

// utilization sums up the reports on the servers of a service.
type utilization struct {
	servers int
	// busyAge is the sum of the ages of the reports on servers that process prompts of other
	// entries.
	busyAge time.Duration
	// highest and sum are those of the backlogs.
	highest, sum int64
}

func (u *utilization) add(now time.Time, st *fleet.Status) {
	u.servers++
	if st == nil {
		return
	}
	u.highest = max(u.highest, st.Backlog.Total())
	u.sum += st.Backlog.Total()
	if st.Others != nil && st.Others.Backlog.Total() > 0 {
		u.busyAge += now.Sub(st.ReceivedAt) + reportDelay
	}
}

// incoming returns the work that the other entries are expected to have sent to each server,
// on average, since its report. They send as much as the servers process for them: the share
// of the servers that are busy with it is the share of the time for which work arrives.
func (u *utilization) incoming() time.Duration {
	return u.busyAge / time.Duration(max(u.servers, 1))
}

// unevenness returns the ratio of the highest backlog to the mean one, or 0 if there is none.
func (u *utilization) unevenness() float64 {
	if u.sum == 0 {
		return 0
	}
	return float64(u.highest) * float64(u.servers) / float64(u.sum)
}
