package demo

import (
	"math/rand/v2"
	"time"
)

// FaultKind is a kind of fault or rollout in a fault run. Its value is the label in
// the printed result.
type FaultKind string

// Faults of endpoints, engines, entries and the connections between them.
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

// targetsEntry reports whether the fault kills or stops an entry.
func (k FaultKind) targetsEntry() bool { return k == FaultEntryKill || k == FaultEntryLeave }

// A fault run repeats a cycle of three phases: faults, recovery, and graceful leaves
// only. In the leave phase, only a graceful stop can therefore have interrupted a
// request.
const (
	faultPhaseLength = 9 * time.Second
	// recoveryPhaseLength is longer than the time after which silent connections are
	// replaced.
	recoveryPhaseLength = 10 * time.Second
	leavePhaseLength    = 6 * time.Second
	cycleLength         = faultPhaseLength + recoveryPhaseLength + leavePhaseLength
	// faultInterval is the mean time between faults in a fault phase.
	faultInterval = 700 * time.Millisecond
	// Endpoints leave at firstLeave and secondLeave of a leave phase, an entry at
	// entryLeave. A leave and the following join take less time than there is
	// between firstLeave and secondLeave.
	firstLeave  = 500 * time.Millisecond
	entryLeave  = 1500 * time.Millisecond
	secondLeave = 3250 * time.Millisecond
	// A freeze lasts from freezeMin to freezeMin+freezeSpread: some are shorter than
	// the time to live of an engine lease, some longer.
	freezeMin    = 1500 * time.Millisecond
	freezeSpread = 5 * time.Second
)

// ClusterSize is the number of servers and entries to which a plan applies faults.
// Server indexes count model servers before service servers.
type ClusterSize struct{ ModelServers, ServiceServers, Entries int }

// PlannedFault is one fault of a plan. At is relative to the start of the run.
type PlannedFault struct {
	At          time.Duration
	Kind        FaultKind
	ServerIndex int
	// EntryIndex selects the entry that is killed or stopped, or whose connections to
	// the server are cut or silenced.
	EntryIndex int
	// Downtime is the time between the end and the restart of a process, or the
	// length of a freeze.
	Downtime time.Duration
}

// phase is a phase in the cycle of a fault run.
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

// planner generates random faults.
type planner struct {
	rng  *rand.Rand
	size ClusterSize
	out  []PlannedFault
}

// PlanFaults returns the faults of a run, sorted by time. Equal arguments give equal
// plans.
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

// planLeaves plans leaves of two model servers, two service servers and an entry.
// Callers notice an interruption by an endpoint only in non-idempotent calls, because
// other requests are resumed at another endpoint.
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
