package demo

import (
	"math/rand/v2"
	"time"
)

// FaultKind is a disturbance of one server.
type FaultKind string

// Kinds of disturbances.
const (
	FaultKill    FaultKind = "endpoint killed and restarted"
	FaultLeave   FaultKind = "graceful leave and join"
	FaultRestart FaultKind = "engine cold restart"
	FaultCut     FaultKind = "connections cut"
	FaultSilence FaultKind = "connections silent"
)

var disruptive = []FaultKind{FaultKill, FaultLeave, FaultRestart, FaultCut, FaultSilence}

// One cycle of a fault run: disturbances, then time to settle, then graceful
// leaves only. In the calm phase every cut-off request is the fault of a
// graceful stop.
const (
	disturbedPhase = 9 * time.Second
	// settlePhase is longer than the time until silent connections are replaced.
	settlePhase = 10 * time.Second
	calmPhase   = 6 * time.Second
	cycleLength = disturbedPhase + settlePhase + calmPhase
	// faultInterval is the mean time between disturbances.
	faultInterval = 700 * time.Millisecond
	// firstLeave and the length of a leave with its join fit into the calm phase.
	firstLeave = 500 * time.Millisecond
)

// PlannedFault is one disturbance of a plan.
type PlannedFault struct {
	At     time.Duration
	Kind   FaultKind
	Server int
	// Connection selects the entry whose connections are disturbed.
	Connection int
	// Down is the time between end and restart of a process.
	Down time.Duration
}

// phase is a position in the cycle of a fault run.
type phase uint8

const (
	phaseDisturbed phase = iota
	phaseSettle
	phaseCalm
)

func phaseAt(at time.Duration) phase {
	switch in := at % cycleLength; {
	case in < disturbedPhase:
		return phaseDisturbed
	case in < disturbedPhase+settlePhase:
		return phaseSettle
	default:
		return phaseCalm
	}
}

// PlanFaults returns the disturbances of a run, ordered by time. Equal
// arguments give equal plans.
func PlanFaults(seed uint64, duration time.Duration, servers, connections int) []PlannedFault {
	rng := rand.New(rand.NewPCG(seed, 2))
	draw := func(at time.Duration, kind FaultKind) PlannedFault {
		return PlannedFault{
			At: at, Kind: kind, Server: rng.IntN(servers), Connection: rng.IntN(connections),
			Down: 200*time.Millisecond + time.Duration(rng.Int64N(int64(800*time.Millisecond))),
		}
	}
	var out []PlannedFault
	for start := time.Duration(0); start < duration; start += cycleLength {
		at := start
		for {
			at += time.Duration(rng.ExpFloat64() * float64(faultInterval))
			if at >= start+disturbedPhase || at >= duration {
				break
			}
			out = append(out, draw(at, disruptive[rng.IntN(len(disruptive))]))
		}
		if calm := start + disturbedPhase + settlePhase + firstLeave; calm+calmPhase <= duration+firstLeave {
			out = append(out, draw(calm, FaultLeave))
		}
	}
	return out
}
