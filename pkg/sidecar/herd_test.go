package sidecar

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Parameters of the simulation: the entries of a large deployment send long prompts
// for one adapter, and the servers that hold it are busy for three fifths of their
// time.
const (
	herdEntries   = 31
	herdServers   = 8
	herdPrompt    = 9190
	herdStep      = 10 * time.Millisecond
	herdPerStep   = 384 // prompt tokens that a server processes in a step
	herdPerSecond = 20
	herdDuration  = 2 * time.Minute
	herdTarget    = time.Second
	demandTick    = 150 * time.Millisecond // interval of the demand updates of an entry
	publishTick   = 100 * time.Millisecond
)

// herdRequest is a prompt in the queue of a server.
type herdRequest struct {
	entry int
	at    time.Duration
	left  int
}

// herdServer processes prompts in order of arrival and has the hub of its sidecar.
type herdServer struct {
	hub   *hub
	peers [herdEntries]*peer
	own   [herdEntries]uint64 // prompt tokens sent by each entry and not yet processed
	last  [herdEntries]publishedState
	at    [herdEntries]time.Duration
	queue []*herdRequest
}

func newHerdServer() *herdServer {
	v := &herdServer{hub: newHub(make(chan struct{}, 1))}
	for i := range v.peers {
		v.peers[i] = newPeer()
		v.hub.entries[v.peers[i]] = struct{}{}
	}
	return v
}

// update sends the demand of an entry to the hub.
func (v *herdServer) update(entry int) {
	v.hub.record(v.peers[entry], &fescuev1.DemandUpdate{InstanceId: "i", BacklogTokens: []uint64{v.own[entry]}})
}

// deliver sends the state to the entries for which it is due. If urgent is false,
// large changes of the backlog wait for the interval like all others.
func (v *herdServer) deliver(now time.Duration, urgent bool) {
	for i := range v.peers {
		state := v.hub.current()
		if !urgent {
			state.backlog = 0
		}
		if state.message != nil && due(&state, &v.last[i], now-v.at[i]) {
			v.last[i], v.at[i] = state, now
		}
	}
}

// knownBacklog returns the backlog of the server as far as an entry knows it.
func (v *herdServer) knownBacklog(entry int) uint64 {
	return max(totalTokens(v.last[entry].message.GetBacklogTokens()), v.own[entry])
}

// processPrompts processes the queue for one step and returns the prompts that are
// complete.
func (v *herdServer) processPrompts() []*herdRequest {
	var done []*herdRequest
	for budget := herdPerStep; budget > 0 && len(v.queue) > 0; {
		r := v.queue[0]
		used := min(budget, r.left)
		r.left -= used
		budget -= used
		if r.left > 0 {
			break
		}
		v.queue = v.queue[1:]
		v.own[r.entry] -= herdPrompt
		done = append(done, r)
	}
	return done
}

// simulateHerd runs the simulation and returns the share of prompts that are
// processed within herdTarget.
func simulateHerd(urgent bool) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	servers := make([]*herdServer, herdServers)
	for i := range servers {
		servers[i] = newHerdServer()
	}
	sent, inTime := 0, 0
	for now := time.Duration(0); now < herdDuration; now += herdStep {
		for _, v := range servers {
			for _, r := range v.processPrompts() {
				if now-r.at <= herdTarget {
					inTime++
				}
			}
			for i := range v.peers {
				if now%demandTick == time.Duration(i%15)*herdStep {
					v.update(i)
				}
			}
			if now%publishTick == 0 {
				v.hub.publish(&fescuev1.ServerState{InstanceId: "i"})
			}
			v.deliver(now, urgent)
		}
		if rng.Float64() < herdPerSecond*herdStep.Seconds() {
			sendHerd(servers, rng.IntN(herdEntries), now, urgent)
			sent++
		}
	}
	return float64(inTime) / float64(sent)
}

// sendHerd sends a prompt to the server with the smallest backlog known to the
// entry.
func sendHerd(servers []*herdServer, entry int, now time.Duration, urgent bool) {
	best := servers[0]
	for _, v := range servers[1:] {
		if v.knownBacklog(entry) < best.knownBacklog(entry) {
			best = v
		}
	}
	best.queue = append(best.queue, &herdRequest{entry: entry, at: now, left: herdPrompt})
	best.own[entry] += herdPrompt
	if urgent {
		best.update(entry)
	}
}

// Guards against a thundering herd: many entries choose the same server for long
// prompts because its published state does not show the prompts of the other entries
// yet. The test also requires that sending large changes at once beats sending them
// at intervals.
func TestLargePromptsAreKnownAtOnce(t *testing.T) {
	at, before := simulateHerd(true), simulateHerd(false)
	t.Logf("in time: %.3f with large changes sent at once, %.3f at intervals", at, before)
	assert.Assert(t, at > 0.95, "in time %.3f", at)
	assert.Assert(t, at > before, "in time %.3f, at intervals %.3f", at, before)
}

// Guards against each small change being sent to every entry: with many entries and
// servers, these messages took more of a small entry than its requests.
func TestSmallChangesWaitForTheInterval(t *testing.T) {
	first := publishedState{message: &fescuev1.ServerState{InFlight: 5}, backlog: 10_000}
	request := publishedState{message: &fescuev1.ServerState{InFlight: 6, CacheUsed: 800}, backlog: 10_000 + notableBacklogChange - 1}
	assert.Assert(t, !due(&request, &first, heartbeatInterval-1), "one short request")
	assert.Assert(t, due(&request, &first, heartbeatInterval))
	for name, m := range map[string]*fescuev1.ServerState{
		"room":     {InFlight: 5, Free: 1},
		"loads":    {InFlight: 5, Wanted: 1},
		"requests": {InFlight: 9, Queued: 4},
		"limit":    {InFlight: 5, Limited: true},
		"pace":     {InFlight: 5, SlowdownPercent: 250},
	} {
		assert.Assert(t, !due(&publishedState{message: m, backlog: 10_000}, &first, utilizationInterval-1), name)
		assert.Assert(t, due(&publishedState{message: m, backlog: 10_000}, &first, utilizationInterval), name)
	}
	small := publishedState{message: &fescuev1.ServerState{InFlight: 5}, backlog: 10_000 + fleet.UrgentBacklogChange - 1}
	large := publishedState{message: &fescuev1.ServerState{}, backlog: 10_000 - fleet.UrgentBacklogChange}
	assert.Assert(t, !due(&small, &first, utilizationInterval-1))
	assert.Assert(t, due(&small, &first, utilizationInterval))
	assert.Assert(t, due(&large, &first, 0))
	assert.Assert(t, !due(&first, &first, heartbeatInterval-1))
	assert.Assert(t, due(&first, &first, heartbeatInterval))
}
