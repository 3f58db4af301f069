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

// Guards against retries that amplify an overload, and against a budget that never
// recovers.
func TestBudget(t *testing.T) {
	var b retry.Budget
	now := time.Unix(1000, 0)
	granted := 0
	for i := range 10000 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		b.RecordRequest(at)
		if b.TakeRetry(at, 0.1, retry.DefaultMinRetries) {
			granted++
		}
	}
	assert.Assert(t, granted >= 900 && granted <= 1000, "%d retries for 10000 requests", granted)
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
	now := time.Unix(1000, 0)
	retries := 0
	for i := range entries {
		b := &retry.Budget{}
		for range (requests + i) / entries {
			b.RecordRequest(now)
		}
		for b.TakeRetry(now, share, retry.MinRetriesPerEntry(slack, entries)) {
			retries++
		}
	}
	assert.Assert(t, retries <= share*requests+slack, "%d retries", retries)
	assert.Equal(t, retry.MinRetriesPerEntry(slack, 0), retry.DefaultMinRetries)
	assert.Equal(t, retry.MinRetriesPerEntry(0, 5), retry.DefaultMinRetries)
	assert.Equal(t, retry.MinRetriesPerEntry(58, 5), retry.DefaultMinRetries)
}
