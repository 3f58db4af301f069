package limits_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/limits"
)

// Guards against a team that exceeds its share of the request rate or of the
// requests in flight, and against a refusal below both limits, also when the policy
// changes. The limits are those of one of two entries.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits.New()
		now := time.Unix(1000, 0)
		inFlight := 0
		p := bundle.TeamPolicy{Team: "tokachi", RatePerSecond: 10, MaxInFlight: 8}
		entries := 2
		tokens, filled := 5.0, now
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				if inFlight > 0 {
					l.Release(p.Team)
					inFlight--
				}
			case 2:
				tokens = min(tokens+now.Sub(filled).Seconds()*p.RatePerSecond/float64(entries), p.RatePerSecond/float64(entries))
				filled = now
				_, _ = l.Acquire(now, bundle.TeamPolicy{Team: p.Team, RatePerSecond: p.RatePerSecond, MaxInFlight: 1}, entries)
				if inFlight == 0 && l.InFlight(p.Team) == 1 {
					inFlight++
					tokens--
				}
			default:
				share := p.RatePerSecond / float64(entries)
				refusal, ok := l.Acquire(now, p, entries)
				full := inFlight >= p.MaxInFlight/entries
				if !full {
					tokens = min(tokens+now.Sub(filled).Seconds()*share, share)
					filled = now
				}
				wantOK := !full && tokens > 1-1e-9
				if !full && tokens > 1-1e-9 && tokens < 1+1e-9 {
					wantOK = ok // rounding decides at the boundary
				}
				assert.Equal(t, ok, wantOK, "tokens %v, in flight %d, refusal %v", tokens, inFlight, refusal)
				if ok {
					inFlight++
					tokens--
				} else {
					assert.Assert(t, refusal.RetryAfter > 0, "refusal without a retry delay")
				}
			}
			assert.Equal(t, l.InFlight(p.Team), inFlight)
		}
	})
}
