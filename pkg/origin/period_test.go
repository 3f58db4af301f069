package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a period that is extended over a time of which nobody knows the software
// versions. The oracle walks back second by second over known ones and gaps that are too short
// to hide a version.
func TestKnownForSpansOnlyKnownTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const seconds = 70
		start := time.Now()
		at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
		known := [seconds + 1]bool{seconds: true}
		var registry Registry
		var periods []Period
		for range rapid.IntRange(0, 6).Draw(t, "periods") {
			since := rapid.IntRange(0, seconds).Draw(t, "since")
			until := rapid.IntRange(since, seconds).Draw(t, "until")
			p := Period{Since: at(since), Until: at(until)}
			periods = append(periods, p)
			registry.VersionsKnown(p)
			for s := since; s <= until; s++ {
				known[s] = true
			}
		}
		earliest := seconds
		for s := seconds - 1; s >= 0 && earliest-s <= int(maxUnseen/time.Second); s-- {
			if known[s] {
				earliest = s
			}
		}
		got := KnownFor(at(seconds), periods)
		assert.Equal(t, got, min(time.Duration(seconds-earliest)*time.Second, Retention), "%v", periods)
		alone := KnownFor(at(seconds), []Period{registry.KnownPeriod()})
		assert.Assert(t, alone <= got, "a registry knows %s, its sources %s", alone, got)
	})
}

// Guards against a process that counts what it was told for a time after that, for which
// nobody has told it anything.
func TestKnownPeriodEndsWithTheLastUpdate(t *testing.T) {
	now := time.Now()
	r := NewRegistry()
	assert.Equal(t, KnownFor(now, []Period{r.KnownPeriod()}), time.Duration(0))
	r.VersionsKnown(Period{Since: now.Add(-time.Hour), Until: now.Add(-maxUnseen - 1)})
	assert.Equal(t, KnownFor(now, []Period{r.KnownPeriod()}), time.Duration(0))
	r.VersionsKnown(Period{Since: now.Add(-time.Second), Until: now})
	assert.Equal(t, KnownFor(now, []Period{r.KnownPeriod()}), Retention)
}
