package demo

import (
	"math/rand/v2"
	"time"
)

// FaultKind is a disturbance of one server.
type FaultKind string

// Kinds of disturbances.
const (
	FaultEndpointKill      FaultKind = "endpoint killed and restarted"
	FaultEndpointLeave     FaultKind = "graceful leave and join"
	FaultEngineRestart     FaultKind = "engine cold restart"
	FaultConnectionCut     FaultKind = "connections cut"
	FaultConnectionSilence FaultKind = "connections silent"
	FaultEndpointFreeze    FaultKind = "endpoint frozen and back"

	FaultEntryKill  FaultKind = "entry killed and restarted"
	FaultEntryLeave FaultKind = "entry stopped gracefully and restarted"
)

var nodeFaultKinds = []FaultKind{
	FaultEndpointKill, FaultEndpointLeave, FaultEngineRestart, FaultConnectionCut, FaultConnectionSilence, FaultEndpointFreeze, FaultEntryKill, FaultEntryLeave,
}

// targetsEntry reports whether the fault ends an entry.
func (k FaultKind) targetsEntry() bool { return k == FaultEntryKill || k == FaultEntryLeave }

// One cycle of a fault run: disturbances, then time to settle, then graceful
// leaves only. In the calm phase every cut-off request is the fault of a
// graceful stop.
const (
	faultPhaseLength = 9 * time.Second
	// recoveryPhaseLength is longer than the time until silent connections are replaced.
	recoveryPhaseLength = 10 * time.Second
	leavePhaseLength    = 6 * time.Second
	cycleLength         = faultPhaseLength + recoveryPhaseLength + leavePhaseLength
	// faultInterval is the mean time between disturbances.
	faultInterval = 700 * time.Millisecond
	// The leaves of a calm phase start at firstLeave and secondLeave, that of an
	// entry at entryLeave. A leave with its join takes less than the time between
	// the first two.
	firstLeave  = 500 * time.Millisecond
	entryLeave  = 1500 * time.Millisecond
	secondLeave = 3250 * time.Millisecond
	// A freeze lasts from freezeMin to freezeMin+freezeSpread, that is, below and
	// above the time to live of an engine lease.
	freezeMin    = 1500 * time.Millisecond
	freezeSpread = 5 * time.Second
)

// ClusterSize is what a plan may disturb. Model servers come before service servers.
type ClusterSize struct{ ModelServers, ServiceServers, Entries int }

// PlannedFault is one disturbance of a plan.
type PlannedFault struct {
	At          time.Duration
	Kind        FaultKind
	ServerIndex int
	// EntryIndex selects the entry that is ended or whose connections are
	// disturbed.
	EntryIndex int
	// Downtime is the time between end and restart of a process, or the length of a
	// freeze.
	Downtime time.Duration
}

// phase is a position in the cycle of a fault run.
type phase uint8

const (
	phaseFaults phase = iota
	phaseRecovery
	phaseLeaves
)

func phaseAt(at time.Duration) phase {
	switch in := at % cycleLength; {
	case in < faultPhaseLength:
		return phaseFaults
	case in < faultPhaseLength+recoveryPhaseLength:
		return phaseRecovery
	default:
		return phaseLeaves
	}
}

// planner draws faults.
type planner struct {
	rng  *rand.Rand
	size ClusterSize
	out  []PlannedFault
}

// PlanFaults returns the disturbances of a run, ordered by time. Equal
// arguments give equal plans.
func PlanFaults(seed uint64, duration time.Duration, size ClusterSize) []PlannedFault {
	p := &planner{rng: rand.New(rand.NewPCG(seed, 2)), size: size}
	for start := time.Duration(0); start < duration; start += cycleLength {
		p.planFaults(start, min(start+faultPhaseLength, duration))
		if start+cycleLength <= duration {
			p.planLeaves(start + faultPhaseLength + recoveryPhaseLength)
		}
	}
	return p.out
}

func (p *planner) add(at time.Duration, kind FaultKind, server int) {
	f := PlannedFault{
		At: at, Kind: kind, ServerIndex: server, EntryIndex: p.rng.IntN(p.size.Entries),
		Downtime: 200*time.Millisecond + time.Duration(p.rng.Int64N(int64(800*time.Millisecond))),
	}
	if kind == FaultEndpointFreeze {
		f.Downtime = freezeMin + time.Duration(p.rng.Int64N(int64(freezeSpread)))
	}
	p.out = append(p.out, f)
}

func (p *planner) planFaults(from, to time.Duration) {
	at := from
	for {
		at += time.Duration(p.rng.ExpFloat64() * float64(faultInterval))
		if at >= to {
			return
		}
		kind := nodeFaultKinds[p.rng.IntN(len(nodeFaultKinds))]
		p.add(at, kind, p.rng.IntN(p.size.ModelServers+p.size.ServiceServers))
	}
}

// planLeaves lets two model servers, two service servers and an entry leave. Only
// non-idempotent calls show a cut-off by an endpoint to the caller, because
// others are resumed elsewhere.
func (p *planner) planLeaves(from time.Duration) {
	model, service := p.rng.IntN(p.size.ModelServers), p.rng.IntN(p.size.ServiceServers)
	for i, at := range []time.Duration{firstLeave, secondLeave} {
		p.add(from+at, FaultEndpointLeave, (model+i)%p.size.ModelServers)
		p.add(from+at, FaultEndpointLeave, p.size.ModelServers+(service+i)%p.size.ServiceServers)
		if i == 0 {
			p.add(from+entryLeave, FaultEntryLeave, 0)
		}
	}
}
