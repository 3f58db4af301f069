package demo

import (
	"bytes"
	"io"
	"regexp"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// Guards against violated requirements under faults of processes, connections, the
// key-value service and rollouts. The time until a bundle is active depends on the
// speed of the host, so the limit is far above that of the design.
func TestFaultRun(t *testing.T) {
	const seed = 252
	var out bytes.Buffer
	run := FaultRunOptions{Seed: seed, Duration: 15 * time.Second, RepeatKeyed: true, ActiveLimit: time.Minute}
	err := RunFaults(t.Context(), FaultClusterOptions(seed), run, &out)
	assert.NilError(t, err, out.String())
	for _, want := range []string{`entry killed and restarted +[1-9]`, `endpoint frozen and back +[1-9]`, `bundles accepted.* [1-9]\d*, \d`, `answered.* [1-9]\d*, \d+, \d+`} {
		assert.Assert(t, regexp.MustCompile(want).MatchString(out.String()), "no match for %s in the output: %s", want, out.String())
	}
}

// Guards against plans of platform faults that a seed does not reproduce, or that
// leave out a kind of fault.
func TestPlanPlatformFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		plan := PlanPlatformFaults(seed, 3*len(platformKinds))
		assert.DeepEqual(t, plan, PlanPlatformFaults(seed, 3*len(platformKinds)))
		counts := map[FaultKind]int{}
		for i, s := range plan {
			counts[s.Kind]++
			assert.Assert(t, counts[s.Kind] <= 1+i/len(platformKinds))
		}
	})
}

// Guards against a version check that accepts any version, or that rejects a version
// that was current in a bundle in force during the request.
func TestResolveVersionAgainstOracle(t *testing.T) {
	opts := FaultClusterOptions(1)
	name := adapterName{Team: opts.Teams[0].Name, Name: workload.AdapterName(0)}
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
		h := &bundleHistory{limit: defaultActiveLimit}
		var accepted []int
		second := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "bundles") {
			c := newContent(&opts)
			c.Version = ident.BundleVersion(i + 1)
			c.Current[name] = rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "current")
			h.add(acceptedBundle{bundleContent: c, at: at(second)})
			accepted = append(accepted, second)
			second += rapid.IntRange(1, 20).Draw(t, "gap")
		}
		from := rapid.IntRange(0, 80).Draw(t, "from")
		to := from + rapid.IntRange(0, 15).Draw(t, "length")
		answered := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "answered")
		legal := false
		for i, b := range h.list {
			ended := i+1 < len(accepted) && accepted[i+1]+8 < from
			legal = legal || (accepted[i] <= to && !ended && b.bundleContent.Current[name] == answered)
		}
		s := workload.Sample{Request: workload.Request{Adapter: ident.Adapter{Team: name.Team, Name: name.Name}, Model: string(name.Team) + "/" + name.Name}}
		s.Answer = workload.Answer{Start: at(from), End: at(to), Adapter: ident.Adapter{Team: name.Team, Name: name.Name, Version: answered}.String()}
		h.resolveVersion(&s)
		assert.Equal(t, s.Request.Adapter.String() == s.Answer.Adapter, legal)
	})
}

// Guards against a monitor that misses a node that gets a bundle late or reverts to
// an older one, or that counts the time before a node's process started.
func TestMonitor(t *testing.T) {
	opts := FaultClusterOptions(1)
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	h := &bundleHistory{limit: defaultActiveLimit}
	for i, s := range []int{0, 20} {
		c := newContent(&opts)
		c.Version = ident.BundleVersion(i + 1)
		h.add(acceptedBundle{bundleContent: c, at: at(s)})
	}
	m := newMonitor(h)
	m.observe("late", 1, at(19), 1)
	m.observe("late", 1, at(27), 1)
	m.observe("restarted", 1, at(19), 1)
	m.observe("restarted", 2, at(25), 0)
	m.observe("restarted", 2, at(32), 1)
	assert.Equal(t, len(m.found()), 0)
	assert.Assert(t, !m.activeAt(2))
	m.observe("late", 1, at(28), 1)
	m.observe("late", 1, at(29), 1)
	assert.Equal(t, len(m.found()), 1)
	assert.Equal(t, m.found()[0].Kind, workload.BundleActivatedLate)
	m.observe("restarted", 2, at(33), 2)
	m.observe("restarted", 2, at(34), 1)
	assert.Equal(t, m.found()[1].Kind, workload.BundleReverted)
	known := len(m.found())
	m.checkAnswer("late", m.version("late", 1), 1)
	m.checkAnswer("late", m.version("late", 2), 0)
	assert.Equal(t, len(m.found()), known)
	m.checkAnswer("restarted", 2, 1)
	assert.Equal(t, m.found()[known].Kind, workload.BundleReverted)
}

// Guards against a check that excuses a broken connection although its entry was not
// killed during the request, or that reports one although its entry was.
func TestBrokenByKill(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	b := newBalancer(nil)
	b.recordKill("a", at(10))
	broken := func(addr string, from, to int, err error) bool {
		return b.brokenByKill(addr, &workload.Answer{Start: at(from), End: at(to), Err: err})
	}
	err := errors.Wrap(io.ErrUnexpectedEOF, "read")
	assert.Assert(t, broken("a", 9, 11, err))
	assert.Assert(t, broken("a", 30, 31, err))
	b.recordRestart("a", at(20))
	assert.Assert(t, broken("a", 19, 21, err))
	assert.Assert(t, !broken("a", 8, 9, err))
	assert.Assert(t, !broken("a", 30, 31, err))
	assert.Assert(t, !broken("b", 9, 11, err))
	assert.Assert(t, !broken("a", 9, 11, nil))
}
