package sidecar

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// Sizes of the simulated load: prompts of one adapter whose holders are busy for
// three fifths of their time, sent by the entries of the larger deployments.
const (
	herdEntries   = 31
	herdServers   = 8
	herdPrompt    = 9190
	herdStep      = 10 * time.Millisecond
	herdPerStep   = 384 // tokens that a server reads in a step
	herdPerSecond = 20
	herdDuration  = 2 * time.Minute
	herdTarget    = time.Second
	demandTick    = 150 * time.Millisecond // of the entries
	publishTick   = 100 * time.Millisecond
)

// herdRequest is a prompt at a server.
type herdRequest struct {
	entry int
	at    time.Duration
	left  int
}

// herdServer reads prompts in order and has the hub of its process.
type herdServer struct {
	hub   *hub
	peers [herdEntries]*peer
	own   [herdEntries]uint64 // tokens sent by each entry and not yet read
	last  [herdEntries]published
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

// update sends what an entry has at the server to its process.
func (v *herdServer) update(entry int) {
	v.hub.record(v.peers[entry], &fescuev1.DemandUpdate{InstanceId: "i", BacklogTokens: []uint64{v.own[entry]}})
}

// deliver sends the state to the entries for which it is due. Without urgency only
// the intervals count, as before large changes were sent at once.
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

// seen is the backlog as an entry knows it.
func (v *herdServer) seen(entry int) uint64 {
	return max(total(v.last[entry].message.GetBacklogTokens()), v.own[entry])
}

// read advances the queue and returns the prompts that have been read.
func (v *herdServer) read() []*herdRequest {
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

// playHerd returns the share of prompts that are read within the target.
func playHerd(urgent bool) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	servers := make([]*herdServer, herdServers)
	for i := range servers {
		servers[i] = newHerdServer()
	}
	sent, inTime := 0, 0
	for now := time.Duration(0); now < herdDuration; now += herdStep {
		for _, v := range servers {
			for _, r := range v.read() {
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

func sendHerd(servers []*herdServer, entry int, now time.Duration, urgent bool) {
	best := servers[0]
	for _, v := range servers[1:] {
		if v.seen(entry) < best.seen(entry) {
			best = v
		}
	}
	best.queue = append(best.queue, &herdRequest{entry: entry, at: now, left: herdPrompt})
	best.own[entry] += herdPrompt
	if urgent {
		best.update(entry)
	}
}

// Names the pattern of many entries that send long prompts to few holders of one
// adapter. Guards against all of them choosing the same holder until its state shows
// the prompts of the others.
func TestLargePromptsAreKnownAtOnce(t *testing.T) {
	at, before := playHerd(true), playHerd(false)
	t.Logf("in time: %.3f with large changes sent at once, %.3f at intervals", at, before)
	assert.Assert(t, at > 0.95, "in time %.3f", at)
	assert.Assert(t, at > before, "in time %.3f, at intervals %.3f", at, before)
}

// Guards against small changes of the backlog being sent at full rate to every
// entry.
func TestSmallChangesWaitForTheInterval(t *testing.T) {
	first := published{message: &fescuev1.ServerState{}, backlog: 10_000}
	small := published{message: &fescuev1.ServerState{}, backlog: 10_000 + urgentTokens - 1}
	large := published{message: &fescuev1.ServerState{}, backlog: 10_000 - urgentTokens}
	assert.Assert(t, !due(&small, &first, loadInterval-1))
	assert.Assert(t, due(&small, &first, loadInterval))
	assert.Assert(t, due(&large, &first, 0))
	assert.Assert(t, !due(&first, &first, stateInterval-1))
	assert.Assert(t, due(&first, &first, stateInterval))
}
