package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/retry"
	"github.com/fescuecourse/fescuecourse/pkg/settle"
)

// Guards against wrong decisions of the retry rule, one row for each combination.
func TestMayRepeat(t *testing.T) {
	rows := []struct {
		name string
		h    retry.History
		want bool
	}{
		{"idempotent after unknown", retry.History{Idempotent: true, Attempts: 1, Uncertain: true, Last: retry.Unknown}, true},
		{"idempotent after not run", retry.History{Idempotent: true, Attempts: 1, Last: retry.NotRun}, true},
		{"idempotent after unknown, then not run", retry.History{Idempotent: true, Attempts: 2, Uncertain: true, Last: retry.NotRun}, true},
		{"other after not run", retry.History{Attempts: 1, Last: retry.NotRun}, true},
		{"other after unknown", retry.History{Attempts: 1, Uncertain: true, Last: retry.Unknown}, false},
		{"other after unknown, then not run", retry.History{Attempts: 2, Uncertain: true, Last: retry.NotRun}, false},
		{"answered", retry.History{Idempotent: true, Attempts: 1, Last: retry.Answered}, false},
		{"caller gone", retry.History{Idempotent: true, Attempts: 1, Last: retry.CallerGone}, false},
		{"expired", retry.History{Idempotent: true, Attempts: 1, Last: retry.NotRun, Expired: true}, false},
		{"too many attempts", retry.History{Idempotent: true, Attempts: 4, Last: retry.NotRun}, false},
	}
	for _, r := range rows {
		assert.Equal(t, retry.MayRepeat(r.h, 4), r.want, r.name)
	}
}

// Guards against running a non-idempotent request twice, and against an outcome that
// contradicts the results of the attempts.
func TestAttemptsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := retry.History{Idempotent: rapid.Bool().Draw(t, "idempotent")}
		s := settle.New("request")
		mayHaveRun := 0
		ends := []retry.Result{}
		for {
			assert.Assert(t, h.Idempotent || mayHaveRun == 0, "sent again after ends %v", ends)
			s.MarkSent()
			end := rapid.SampledFrom([]retry.Result{retry.Answered, retry.NotRun, retry.NotRun, retry.Unknown}).Draw(t, "end")
			if end != retry.NotRun {
				mayHaveRun++
			}
			ends = append(ends, end)
			h.Record(end)
			if !retry.MayRepeat(h, 4) {
				break
			}
		}
		outcome := h.Outcome()
		s.Settle(outcome)
		switch outcome {
		case ident.Answered:
			assert.Equal(t, ends[len(ends)-1], retry.Answered)
		case ident.NotRun:
			assert.Equal(t, mayHaveRun, 0, "not-run after ends %v", ends)
		default:
			assert.Assert(t, mayHaveRun > 0, "unknown after ends %v", ends)
		}
	})
}

// Guards against retries that amplify an overload, and against a budget that gives less
// than its ratio once it knows the traffic, or never recovers.
func TestBudget(t *testing.T) {
	var b retry.Budget
	now := time.Unix(1000, 0)
	granted := 0
	for i := range 20000 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		b.RecordRequest(at)
		if b.TakeRetry(at, 0.1, retry.DefaultMinRetries) && i >= 10000 {
			granted++
		}
	}
	assert.Assert(t, granted >= 900 && granted <= 1000+retry.DefaultMinRetries, "%d retries for 10000 requests", granted)
	later := now.Add(time.Minute)
	for range 10 {
		assert.Assert(t, b.TakeRetry(later, 0.1, retry.DefaultMinRetries), "minimum is not available")
	}
	assert.Assert(t, !b.TakeRetry(later, 0.1, retry.DefaultMinRetries), "retry above the minimum")
	assert.Assert(t, !b.TakeRetry(later.Add(time.Minute), 0, retry.DefaultMinRetries), "retry with a budget of 0")
}

// Guards against many entries that together retry more than the fleet may: with a
// minimum of 10 for each entry, 31 entries made 310 retries where 274 were allowed.
func TestManyEntriesShareTheSlack(t *testing.T) {
	const (
		entries  = 31
		requests = 860
		share    = 0.2
		slack    = 102
	)
	start := time.Unix(1000, 0)
	now := start.Add(retry.Window + 3*time.Second)
	retries := 0
	for i := range entries {
		b, s := &retry.Budget{}, settledShare(slack, entries, start, now)
		for r := range (requests + i) / entries {
			b.RecordRequest(now.Add(-time.Duration(28-r) * time.Second / 6))
		}
		for b.TakeRetry(now, share, s.Slack(now)) {
			retries++
		}
	}
	assert.Assert(t, retries <= share*requests+slack, "%d retries", retries)
	assert.Assert(t, retries >= slack, "%d retries", retries)
}

// settledShare returns the share of an entry that has been in contact from start to now.
func settledShare(total, entries int, start, now time.Time) *retry.Share {
	s := retry.NewShare(float64(total))
	for at := start; !at.After(now); at = at.Add(500 * time.Millisecond) {
		s.Observe(at, entries)
	}
	return s
}

// Guards against a minimum that grows with the number of entries: 330 of them made 3,300
// retries beyond the ratio.
func TestMinRetriesOfManyEntries(t *testing.T) {
	assert.Equal(t, retry.MinRetries(0), retry.DefaultMinRetries)
	assert.Equal(t, retry.MinRetries(10), retry.DefaultMinRetries)
	for _, entries := range []int{20, 330} {
		assert.Assert(t, float64(entries)*retry.MinRetries(entries) <= 10*retry.DefaultMinRetries)
	}
}

// Guards against slack that an entry uses although it does not know how many others do, or
// although an earlier process in its place may just have used it.
func TestShareNeedsContact(t *testing.T) {
	start := time.Unix(1000, 0)
	s := retry.NewShare(60)
	assert.Equal(t, s.Slack(start), 0.0, "without any report")
	s.Observe(start, 3)
	assert.Equal(t, s.Slack(start), 0.0, "just after the start")
	now := start.Add(retry.Window + 3*time.Second)
	s = settledShare(60, 3, start, now)
	assert.Equal(t, s.Slack(now), 20.0)
	s.Observe(now, 5)
	assert.Equal(t, s.Slack(now), 12.0, "with more entries")
	s.Observe(now, 2)
	assert.Equal(t, s.Slack(now), 12.0, "while others may be cut off")
	assert.Equal(t, s.Slack(now.Add(3*time.Second)), 0.0, "out of contact")
	s.Observe(now.Add(3*time.Second), 5)
	assert.Equal(t, s.Slack(now.Add(3*time.Second)), 0.0, "just back in contact")
	assert.Equal(t, retry.NewShare(0).Slack(now), retry.DefaultMinRetries, "without a limit for all entries")
}

// Guards against slack and requests that count as recent after a suspension of the VM,
// during which the clock stood still.
func TestSuspensionCountsAsTime(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(retry.Window + 3*time.Second)
	s := settledShare(60, 3, start, now)
	s.Skip(time.Minute)
	assert.Equal(t, s.Slack(now), 0.0)
	var b retry.Budget
	for i := range 100 {
		b.RecordRequest(now.Add(-time.Duration(100-i) * 50 * time.Millisecond))
	}
	assert.Assert(t, b.Allows(now, 0.1, 0))
	b.Skip(time.Minute)
	assert.Assert(t, !b.Allows(now, 0.1, 0))
}
