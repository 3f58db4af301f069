package locality

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Guards against reloads of more servers at a time than the others can stand in for, and
// against reloads while servers are away.
func TestReloadsAreLimited(t *testing.T) {
	now := time.Now()
	held := func(models map[string]int) *fleet.Status { return &fleet.Status{ReceivedAt: now, Models: models} }
	outdated, current := map[string]int{"m": 1}, map[string]int{"m": 2}
	servers := func(statuses ...*fleet.Status) []*fleet.Endpoint {
		out := make([]*fleet.Endpoint, len(statuses))
		for i, st := range statuses {
			out[i] = &fleet.Endpoint{ID: fleet.ID(fmt.Sprintf("i-%02d", i)), State: fleet.Ready, Runtime: fleet.NewRuntime()}
			out[i].Runtime.SetStatus(st)
		}
		return out
	}
	many := func(n int) []*fleet.Status {
		out := make([]*fleet.Status, n)
		for i := range out {
			out[i] = held(outdated)
		}
		return out
	}
	count := func(endpoints []*fleet.Endpoint) int { return len(Reloads(now, "m", 2, endpoints)) }
	late := held(outdated)
	late.ReceivedAt = now.Add(-2 * lateStatusAge)

	assert.Equal(t, count(servers(held(outdated))), 0, "the only server")
	assert.Equal(t, count(servers(held(outdated), held(outdated))), 1)
	assert.Equal(t, count(servers(held(current), held(current))), 0, "all are current")
	assert.Equal(t, count(servers(held(outdated), held(outdated), held(nil))), 0, "one has no model")
	assert.Equal(t, count(servers(held(outdated), held(outdated), nil)), 0, "the state of one is not known")
	assert.Equal(t, count(servers(held(outdated), held(outdated), late)), 0, "a report is late")
	assert.Equal(t, count(servers(held(outdated), held(outdated), &fleet.Status{ReceivedAt: now, Down: true})), 0, "one is down")
	assert.Equal(t, count(servers(held(outdated), held(outdated), held(map[string]int{"n": 1}))), 1, "one serves another model")
	assert.Equal(t, count(servers(held(map[string]int{"m": 1, "n": 1}), held(current))), 0, "one serves two models")
	assert.Equal(t, count(servers(many(19)...)), 1)
	assert.Equal(t, count(servers(many(20)...)), 2)
	assert.Equal(t, count(servers(many(2800)...)), maxReloads)
	draining := servers(held(outdated), held(outdated), held(outdated))
	draining[0].State = fleet.Draining
	assert.DeepEqual(t, Reloads(now, "m", 2, draining), []fleet.ID{draining[1].ID})
}

// Guards against a server that reloads each of a series of new weights while the others
// never reload.
func TestOldestWeightsAreReloadedFirst(t *testing.T) {
	now := time.Now()
	var endpoints []*fleet.Endpoint
	for i, version := range []int{3, 1, 2} {
		e := &fleet.Endpoint{ID: fleet.ID(fmt.Sprintf("i-%d", i)), State: fleet.Ready, Runtime: fleet.NewRuntime()}
		e.Runtime.SetStatus(&fleet.Status{ReceivedAt: now, Models: map[string]int{"m": version}})
		endpoints = append(endpoints, e)
	}
	assert.DeepEqual(t, Reloads(now, "m", 4, endpoints), []fleet.ID{"i-1"})
}
