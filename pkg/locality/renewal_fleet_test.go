package locality

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// hottest is the adapter in most demand.
var hottest = fleet.AdapterKey{Model: "m", Name: "a0"}

// renew announces the next version of the hottest adapter when it is due. No server has
// a copy of the new version.
func (s *sim) renew() {
	at := s.l.renewFrom + time.Duration(s.renewed)*s.l.renewEvery
	if s.renewed == s.l.renewals || s.now.Sub(s.started) < at {
		return
	}
	s.renewed++
	s.directory.SetVersion(s.now, fleet.AdapterVersion{Model: hottest.Model, Adapter: hottest.Name, Version: s.renewed + 1})
	s.versions = s.directory.Snapshot().Versions
	for _, v := range s.servers {
		v.copies = slices.DeleteFunc(v.copies, func(c fleet.AdapterKey) bool { return c == hottest })
	}
}

// reload announces new weights when they are due, determines the servers that may reload
// them and completes the loads of the base model.
func (s *sim) reload() {
	if s.weights == 0 && s.l.newWeightsAt > 0 && s.now.Sub(s.started) >= s.l.newWeightsAt {
		s.weights = 2
		s.directory.SetVersion(s.now, fleet.AdapterVersion{Model: "m", Version: s.weights})
		s.versions = s.directory.Snapshot().Versions
	}
	if s.weights > 0 && s.now.Sub(s.started)%reloadInterval == 0 {
		s.reloading = Reloads(s.now, "m", s.weights, s.endpoints())
	}
	without := 0
	for _, v := range s.servers {
		if v.report.Busy && !s.now.Before(v.modelBy) {
			v.report.Busy = false
			v.report.Models["m"] = s.weights
		}
		if len(v.report.Models) == 0 {
			without++
		}
	}
	s.without = max(s.without, without)
}

// maxLoss is the part of the requests in time that a policy may cost on a deployment
// that it does not help. Where each load takes longer than the latency target, no order
// of loads serves the requests that wait.
const maxLoss = 0.03

// renewalResult is what the requests for the hottest adapter got from one second before
// the first announcement on.
type renewalResult struct {
	requests, inTime, waited, uncovered, outdated, loads int
}

// simulateRenewals runs a workload with renewals. Requests count as outdated if they
// were served by a version that was not acceptable when they arrived.
func simulateRenewals(l workload, seed uint64) renewalResult {
	s := newSim(l, byChooser(DefaultWeights()))
	var out renewalResult
	_, out.loads = s.simulate(seed)
	for _, r := range s.all {
		if r.key != hottest || r.at.Sub(s.started) < l.renewFrom-time.Second || r.at.Sub(s.started) > l.duration-2*time.Second {
			continue
		}
		out.requests++
		if r.inTime() {
			out.inTime++
		}
		if r.waited {
			out.waited++
		}
		if r.uncovered {
			out.uncovered++
		}
		if r.version < r.required {
			out.outdated++
		}
	}
	return out
}

// Guards against a gap at the end of the grace of a new version where requests never
// stop at the only server that holds the adapter: the server cannot replace it, and the
// first requests that need the new version have to wait for a load.
func TestOnlyCopyInUseIsRenewedWithoutAGap(t *testing.T) {
	l := workload{
		servers: 3, adapterSlots: 9, adapters: 1, perSecond: 20, shortOnly: true, duration: 15 * time.Second,
		renewals: 1, renewFrom: 5 * time.Second,
	}
	for seed := range uint64(3) {
		r := simulateRenewals(l, seed)
		t.Logf("%+v", r)
		assert.Equal(t, r.outdated, 0)
		assert.Equal(t, r.waited, 0, "requests waited for a load")
		assert.Equal(t, r.inTime, r.requests)
	}
}

// Guards against losses of the adapter in most demand while it is renewed every second:
// its requests must find a loaded version at any time, and the renewals must not cost
// many more loads than there are new versions. Requests may still wait for a load that
// ends before the prompts ahead at another server are processed.
func TestHottestAdapterRenewedEverySecond(t *testing.T) {
	l := workload{
		servers: 9, adapterSlots: 9, adapters: 3000, skew: 1.2, perSecond: 40, duration: 18 * time.Second,
		renewals: 10, renewFrom: 4 * time.Second, renewEvery: time.Second,
	}
	still := l
	still.renewals = 0
	inTime, inTimeWithout := 0, 0
	for seed := range uint64(6) {
		r, without := simulateRenewals(l, seed), simulateRenewals(still, seed)
		t.Logf("%+v, without renewals %+v", r, without)
		assert.Equal(t, r.outdated, 0)
		assert.Equal(t, r.uncovered, 0)
		inTime += r.inTime
		inTimeWithout += without.inTime
		assert.Assert(t, r.loads <= without.loads+3*l.renewals, "%d loads, %d without renewals", r.loads, without.loads)
	}
	// One run has about 100 requests, too few to tell a loss of one in a hundred.
	assert.Assert(t, inTime*100 >= inTimeWithout*99, "%d in time, %d without renewals", inTime, inTimeWithout)
}

// Guards against weights of a base model that the fleet never takes up, and against
// taking them up with a gap in service for the base model or its adapters: too many
// servers without a model at a time, or servers that unload it while requests run.
func TestBaseModelIsRenewedWithoutAGap(t *testing.T) {
	l := workload{
		servers: 9, adapterSlots: 9, adapters: 60, skew: 1.2, perSecond: 30, duration: 70 * time.Second,
		newWeightsAt: 5 * time.Second, baseEvery: 20,
	}
	s := newSim(l, byChooser(DefaultWeights()))
	inTime, _ := s.simulate(1)
	base, baseInTime, renewed := 0, 0, 0
	for _, r := range s.all {
		if r.key.Name != "" || r.at.Sub(s.started) > l.duration-2*time.Second {
			continue
		}
		base++
		if r.inTime() {
			baseInTime++
		}
		if r.version == 2 {
			renewed++
		}
	}
	t.Logf("in time %.3f; base model: %d requests, %d in time, %d with new weights; %d servers without a model at most", inTime, base, baseInTime, renewed, s.without)
	for _, v := range s.servers {
		assert.Equal(t, v.report.Models["m"], 2, "%s", v.endpoint.ID)
	}
	assert.Equal(t, s.without, 1)
	assert.Equal(t, baseInTime, base)
	assert.Assert(t, renewed*2 > base)
	assert.Assert(t, inTime > 0.97, "in time %.3f", inTime)
}
