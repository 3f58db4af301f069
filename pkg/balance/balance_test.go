package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

func tokens(n int64) fleet.Work {
	return fleet.Work{Backlog: fleet.Backlog{n}, Waiting: map[uint64]fleet.Backlog{7: {0, n}}}
}

// Guards against own requests that are counted twice or not at all because a report is older
// than the requests sent since, is lost, or is the last one again.
func TestLedgerTellsTheOthersFromTheOwnWork(t *testing.T) {
	var l Ledger
	assert.Equal(t, l.Others(0, tokens(30)).Backlog[0], int64(30), "no update is covered yet")
	assert.Equal(t, l.Sent(tokens(10)), uint64(1))
	assert.Equal(t, l.Sent(tokens(25)), uint64(2))
	for range 2 {
		others := l.Others(1, tokens(40))
		assert.Equal(t, others.Backlog[0], int64(30))
		assert.Equal(t, others.Waiting[7][1], int64(30))
	}
	assert.Equal(t, len(l.Others(2, tokens(25)).Waiting), 0, "an entry alone")
	assert.Assert(t, l.Others(3, tokens(40)) == nil, "an update that was not sent")
	for range keptUpdates {
		l.Sent(tokens(1))
	}
	assert.Assert(t, l.Others(2, tokens(40)) == nil, "an update that is too old")
}

// Guards against choices that are not the best one although nothing is uncertain, as with an
// entry alone, and against options that only old reports make look good.
func TestSpread(t *testing.T) {
	ms := time.Millisecond
	options := func() []Option {
		return []Option{{Index: 0, Cost: 50 * ms}, {Index: 1, Cost: 10 * ms}, {Index: 2, Cost: 30 * ms}, {Index: 3, Cost: 400 * ms}}
	}
	for incoming, want := range map[time.Duration]int{0: 1, 15 * ms: 1, 25 * ms: 2, 40 * ms: 3, 900 * ms: 4} {
		sorted := options()
		chosen, equal := Spread(sorted, incoming, 0.999)
		assert.Equal(t, equal, want, "incoming %v", incoming)
		assert.Equal(t, chosen, want-1)
		assert.Equal(t, sorted[0].Index, 1)
	}
}

// Guards against choices outside of the options, and against options above the level.
func TestSpreadStaysBelowTheLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.IntRange(0, 1000), 1, 40).Draw(t, "costs")
		incoming := time.Duration(rapid.IntRange(0, 500).Draw(t, "incoming"))
		options := make([]Option, len(costs))
		for i, c := range costs {
			options[i] = Option{Index: i, Cost: time.Duration(c)}
		}
		chosen, equal := Spread(options, incoming, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
		assert.Assert(t, chosen < equal && equal <= len(options))
		mean := time.Duration(0)
		for _, o := range options[:equal] {
			mean += o.Cost
		}
		assert.Assert(t, equal == 1 || options[equal-1].Cost <= mean/time.Duration(equal)+incoming)
	})
}
