package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/fescuecourse/fescuecourse/pkg/locality"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// choiceMetrics shows how even the load of the model servers is and how well they are chosen.
type choiceMetrics struct {
	// unevenness is the ratio of the highest reported backlog to the mean one, in percent, and
	// reportAge the age of the report on the chosen server in milliseconds, at each choice.
	unevenness, reportAge metrics.Histogram
	// spread counts the requests that were sent to a server other than that with the lowest
	// cost, and wrong those whose first event came later than it was expected from the
	// next-best server.
	spread, wrong metrics.Counter
}

func newChoiceMetrics(r metrics.Registry, histogram func(name string) metrics.Histogram) choiceMetrics {
	return choiceMetrics{
		unevenness: histogram("choice.unevenness_percent"),
		reportAge:  histogram("choice.report_age_ms"),
		spread:     metrics.GetOrRegisterCounter("choice.spread", r),
		wrong:      metrics.GetOrRegisterCounter("choice.wrong", r),
	}
}

func (m *choiceMetrics) chosen(c *locality.Choice) {
	if c.Unevenness > 0 {
		m.unevenness.Update(int64(100 * c.Unevenness))
	}
	m.reportAge.Update(c.StatusAge.Milliseconds())
	if c.Cost > c.Lowest {
		m.spread.Inc(1)
	}
}

// firstEvent records in which time the first event came, and in which time it was expected
// from the next-best server, or 0 if there was none.
func (m *choiceMetrics) firstEvent(took, nextBest time.Duration) {
	if nextBest > 0 && took > nextBest {
		m.wrong.Inc(1)
	}
}

// logSpread adds to a log line what the choice among about equal servers was based on.
func logSpread(ev logging.Event, c *locality.Choice) logging.Event {
	return ev.Uint("waiting_tokens", uint64(max(c.WaitingTokens, 0))).
		Int("equal", c.Equal).
		Dur("incoming_ms", c.Incoming).
		Dur("lowest_cost_ms", c.Lowest).
		Dur("next_best_ms", c.NextBest)
}
