package demo

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/workload"
	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"
	fakeservice "github.com/fescuecourse/fescuecourse/standin/service"
)

// Guards against fault plans that a seed does not reproduce, that contain other
// faults than graceful leaves outside a fault phase, or that name servers that do
// not exist.
func TestPlanFaultsIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		size := ClusterSize{ModelServers: 4, ServiceServers: 2, Entries: 2}
		plan := PlanFaults(seed, 4*cycleLength, size)
		assert.Assert(t, reflect.DeepEqual(plan, PlanFaults(seed, 4*cycleLength, size)))
		leaves := 0
		for i, p := range plan {
			assert.Assert(t, i == 0 || plan[i-1].At <= p.At)
			assert.Assert(t, p.ServerIndex < 6 && p.EntryIndex < 2)
			if phaseAt(p.At) == phaseFaults {
				continue
			}
			assert.Equal(t, phaseAt(p.At), phaseLeaves)
			assert.Assert(t, p.Kind == FaultEndpointLeave || p.Kind == FaultEntryLeave)
			leaves++
		}
		assert.Equal(t, leaves, 4*5)
	})
}

// Guards against a check of graceful stops that finds nothing, or that attributes
// the effect of another fault to a graceful stop.
func TestInterruptedInLeavePhase(t *testing.T) {
	phaseStart := faultPhaseLength + recoveryPhaseLength
	f := &faultRun{start: time.Now().Add(-phaseStart)}
	sample := func(from, to time.Duration, outcome string) *workload.Sample {
		return &workload.Sample{Answer: workload.Answer{Start: f.start.Add(from), End: f.start.Add(to), Outcome: outcome}}
	}
	assert.Assert(t, f.interruptedInLeavePhase(sample(phaseStart, phaseStart+time.Second, "unknown")))
	assert.Assert(t, f.interruptedInLeavePhase(sample(phaseStart, phaseStart+time.Second, "")))
	assert.Assert(t, !f.interruptedInLeavePhase(sample(phaseStart, phaseStart+time.Second, "answered")))
	assert.Assert(t, !f.interruptedInLeavePhase(sample(phaseStart, phaseStart+time.Second, "not-run")))
	assert.Assert(t, !f.interruptedInLeavePhase(sample(phaseStart-time.Second, phaseStart+time.Second, "unknown")))
	assert.Assert(t, !f.interruptedInLeavePhase(sample(phaseStart, phaseStart+leavePhaseLength, "unknown")))

	refused := sample(phaseStart, phaseStart+leavePhaseLength, "unknown")
	refused.Answer.End = refused.Answer.End.Add(-time.Millisecond)
	refused.Answer.ErrorCode = codeClaimsUnavailable
	service := fakeservice.New(0, nil)
	f.c = &Cluster{Servers: []*Server{{Service: service}}}
	assert.Assert(t, !f.interruptedInLeavePhase(refused), "refused without the key-value service")
	call := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(refused.Request.Content()))
	service.Handler().ServeHTTP(httptest.NewRecorder(), call)
	assert.Assert(t, f.interruptedInLeavePhase(refused), "refused without the key-value service, but run")
}

// Guards against a cluster that does not preload the adapters of a warm workload, or
// that preloads more adapters than there are slots.
func TestResidents(t *testing.T) {
	spec, err := workload.Read("../../workloads/tokachi.ini")
	assert.NilError(t, err)
	c := &Cluster{Opts: optionsFor(spec)}
	seen := map[string]bool{}
	for i := range c.Opts.ModelServers {
		residents := c.residentsOf(i)
		assert.Equal(t, len(residents), c.Opts.Slots)
		eng := fakeengine.New(fakeengine.Options{Slots: c.Opts.Slots, Residents: residents})
		for _, a := range eng.Adapters() {
			assert.Assert(t, !seen[a.String()], a.String())
			seen[a.String()] = true
		}
	}
	assert.Equal(t, len(seen), c.Opts.ModelServers*c.Opts.Slots)
}

// Guards against an entry that closes its connection to a working endpoint because
// the VM list, which lags behind, does not contain it. The outcome of requests in
// progress was then unknown.
func TestUnlistedEndpointKeepsItsRequests(t *testing.T) {
	opts := DefaultOptions()
	opts.Entries, opts.ModelServers = 1, 1
	opts.ServiceDelay = 2500 * time.Millisecond // the list is read every second
	c, err := Start(t.Context(), opts)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, c.Stop()) }()
	for _, s := range c.Servers {
		c.VMLists[0].Remove(s.ID)
	}
	client := workload.NewClient()
	defer client.Close()
	r := workload.Request{Class: workload.ClassNonIdempotentService, Team: &opts.Teams[0], Service: Service, Path: "handoff", Prompt: "once", Deadline: 10 * time.Second}
	a := client.Send(t.Context(), c.Addrs()[0], &r, time.Now())
	assert.NilError(t, a.Err)
	assert.Equal(t, a.Outcome, "answered")
}
