package workload

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

var files = []string{"../../workloads/tokachi.ini", "../../workloads/adwenpa.ini"}

// scheduleLength is long enough to include the batches of all workloads.
const scheduleLength = time.Minute

// Guards against schedules that a seed does not reproduce, that are out of order,
// that repeat a prompt, that name adapters of another team, or that lack requests of
// the batch.
func TestScheduleIsDeterministic(t *testing.T) {
	for _, file := range files {
		spec, err := Read(file)
		assert.NilError(t, err)
		rapid.Check(t, func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			a, b := Schedule(spec, seed, scheduleLength), Schedule(spec, seed, scheduleLength)
			assert.Assert(t, reflect.DeepEqual(a, b))
			seen := map[string]bool{}
			batch := 0
			for i := range a {
				r := &a[i].Request
				assert.Assert(t, i == 0 || a[i-1].At <= a[i].At)
				assert.Assert(t, !seen[r.Prompt], r.Prompt)
				seen[r.Prompt] = true
				assert.Assert(t, !r.IsModel() || r.Adapter.Team == r.Team.Name)
				if r.Class == ClassBatch {
					batch++
				}
			}
			assert.Equal(t, batch, spec.Load.BatchRequests)
		})
	}
}

// Guards against workloads without a dominant team, a tail or all adapters.
func TestTeams(t *testing.T) {
	for _, file := range files {
		spec, err := Read(file)
		assert.NilError(t, err)
		adapters, tail := 0, 0
		for _, team := range spec.Teams {
			adapters += team.Adapters
			if !team.Dominant && team.Share > 0 {
				tail++
			}
		}
		assert.Equal(t, adapters, 3000)
		assert.Assert(t, tail >= 20)
	}
}

// Guards against checks that accept wrong, incomplete or contradictory answers.
func TestChecksFindViolations(t *testing.T) {
	expectedToken := func(string, string, int) string { return "w " }
	team := &Team{Name: "t"}
	model := Request{Class: ClassStream, Team: team, Adapter: ident.Adapter{Team: "t", Name: "a", Version: "2"}, Tokens: 2}
	once := Request{Class: ClassNonIdempotentService, Team: team, Service: "desk", Prompt: "p"}
	good := Answer{Outcome: "answered", Complete: true, Adapter: "t/a@2", Text: "w w "}
	assert.Equal(t, len(CheckAnswer(&model, &good, expectedToken)), 0)
	for want, a := range map[ViolationKind]Answer{
		WrongAdapter:         {Outcome: "answered", Complete: true, Adapter: "t/a@1", Text: "w w "},
		WrongText:            {Outcome: "answered", Complete: true, Adapter: "t/a@2", Text: "w x "},
		IncompleteAnswer:     {Outcome: "answered", Complete: true, Adapter: "t/a@2", Text: "w "},
		ContradictoryOutcome: {Outcome: "unknown", Complete: true},
		NoOutcome:            {Status: 500},
	} {
		found := CheckAnswer(&model, &a, expectedToken)
		assert.Equal(t, len(found), 1, string(want))
		assert.Equal(t, found[0].Kind, want)
	}
	notRun := Sample{Request: once, Answer: Answer{Outcome: "not-run"}}
	answered := Sample{Request: once, Answer: Answer{Outcome: "answered"}}
	assert.Equal(t, CheckRuns(&notRun, 1)[0].Kind, RanDespiteNotRun)
	assert.Equal(t, CheckRuns(&answered, 0)[0].Kind, AnsweredWithoutRun)
	assert.Equal(t, CheckRuns(&answered, 2)[0].Kind, RanTwice)
	assert.Equal(t, len(CheckRuns(&answered, 1)), 0)
}
