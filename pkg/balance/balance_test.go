package balance

import (
	"testing"

	"gotest.tools/v3/assert"

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
