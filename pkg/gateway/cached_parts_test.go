package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// fetchTest has two model servers: source, which processes the shared part of a long
// prompt, and target, which gets the next request with the same shared part.
type fetchTest struct {
	*testGateway
	source, target *fleet.Endpoint
	// fetches lists the addresses from which target was told to fetch cached parts, and
	// versions the adapter versions that its requests expected.
	fetches  []string
	versions []string
	// weights is the version of the weights that the servers name in their responses.
	weights int
}

const (
	firstPrompt = "shared:6000,own1:10"
	nextPrompt  = "shared:6000,own2:10"
)

func newFetchTest(t *testing.T) *fetchTest {
	t.Helper()
	s := &fetchTest{testGateway: newTestGateway(t, streamRoute, onceRoute), weights: 1}
	answer := func(rw http.ResponseWriter, r *http.Request) {
		markFromPlatform(rw, r)
		rw.Header().Set("Weights", fmt.Sprint(s.weights))
		fmt.Fprintf(rw, "id: 1\ndata: fetched from %q\n\n", r.Header.Get("Fetch"))
	}
	s.source = s.serve(modelService, answer)
	s.target = s.serve(modelService, func(rw http.ResponseWriter, r *http.Request) {
		if from := r.Header.Get("Fetch"); from != "" {
			s.fetches = append(s.fetches, from)
		}
		s.versions = append(s.versions, r.Header.Get("Version"))
		answer(rw, r)
	})
	return s
}

// hold makes a server report the adapter and its base model in the given versions.
func (s *fetchTest) hold(e *fleet.Endpoint, weights, version int) {
	e.Runtime.SetStatus(&fleet.Status{
		ReceivedAt: time.Now(),
		Models:     map[string]int{adapterKey.Model: weights},
		Residents:  map[fleet.AdapterKey]int{adapterKey: version},
	})
}

func (s *fetchTest) ask(model, prompt string) response {
	s.t.Helper()
	return s.do(http.MethodPost, "/s/x", map[string]string{"Model": model, "Prompt": prompt, "Budget-Ms": "2000"})
}

// processAtSource sends the first prompt to source.
func (s *fetchTest) processAtSource(model string) {
	s.t.Helper()
	s.target.Runtime.SetStatus(&fleet.Status{ReceivedAt: time.Now(), Draining: true})
	assert.Equal(s.t, s.ask(model, firstPrompt).status, http.StatusOK)
}

// askTarget sends the next prompt to target, because source has too much to do.
func (s *fetchTest) askTarget(model string) response {
	s.t.Helper()
	s.source.Runtime.Backlog[0].Add(40_000)
	return s.ask(model, nextPrompt)
}

// Guards against cached prompt parts that are not fetched although both servers hold the
// same versions. Without it, the other tests of fetches would pass if there were none.
func TestPartsOfTheSameVersionsAreFetched(t *testing.T) {
	for _, model := range []string{"m", "m/a1"} {
		s := newFetchTest(t)
		s.hold(s.source, 1, 1)
		s.processAtSource(model)
		s.hold(s.target, 1, 1)
		assert.Equal(t, s.askTarget(model).status, http.StatusOK)
		assert.DeepEqual(t, s.fetches, []string{s.source.Address})
	}
}

// Guards against prompt memory that was made with other weights of the base model: a new
// server loads the newest weights while the other servers keep theirs (incident inc1).
func TestPartsOfOtherWeightsAreNotFetched(t *testing.T) {
	for _, model := range []string{"m", "m/a1"} {
		s := newFetchTest(t)
		s.hold(s.source, 1, 1)
		s.processAtSource(model)
		s.hold(s.target, 7, 1)
		s.weights = 7
		assert.Equal(t, s.askTarget(model).status, http.StatusOK)
		assert.Equal(t, len(s.fetches), 0, "model %s", model)
	}
}

// Guards against cached parts that another software version of the servers has made: what
// two software versions write does not fit together.
func TestPartsOfAnotherSoftwareVersionAreNotFetched(t *testing.T) {
	s := newFetchTest(t)
	s.hold(s.source, 1, 1)
	s.processAtSource("m/a1")
	s.hold(s.target, 1, 1)
	other := *s.target
	other.SoftwareVersion = "v2"
	s.directory.SetEndpoint(time.Now(), other)
	s.publish()
	assert.Equal(t, s.askTarget("m/a1").status, http.StatusOK)
	assert.Equal(t, len(s.fetches), 0)
}

// Guards against prompt memory of an earlier adapter version: the source has processed
// the prompt before its copy of the adapter was replaced.
func TestPartsOfAReplacedAdapterAreNotFetched(t *testing.T) {
	s := newFetchTest(t)
	s.hold(s.source, 1, 1)
	s.processAtSource("m/a1")
	s.hold(s.source, 1, 2)
	s.hold(s.target, 1, 2)
	assert.Equal(t, s.askTarget("m/a1").status, http.StatusOK)
	assert.Equal(t, len(s.fetches), 0)
}

// Guards against a target whose adapter is replaced between the choice and the run, and
// which would then run on fetched memory of the version before: the request must name the
// version that the choice was based on.
func TestAttemptExpectsTheVersionOfTheChoice(t *testing.T) {
	s := newFetchTest(t)
	s.hold(s.source, 1, 1)
	s.processAtSource("m/a1")
	s.hold(s.target, 1, 1)
	assert.Equal(t, s.askTarget("m/a1").status, http.StatusOK)
	assert.DeepEqual(t, s.versions, []string{"1"})
}

// Guards against a response that a server ran on fetched parts of other weights. The
// request is sent again without a source if it may be, and fails otherwise; it has run, so
// the failure must not say that it has not.
func TestResponseOfOtherWeightsThanTheSourceIsNotDelivered(t *testing.T) {
	for prefix, want := range map[string]int{"/s/": http.StatusOK, "/o/": http.StatusBadGateway} {
		s := newFetchTest(t)
		s.hold(s.source, 1, 1)
		s.processAtSource("m/a1")
		s.hold(s.target, 1, 1)
		s.weights = 7 // the target has loaded them since its last status
		s.source.Runtime.Backlog[0].Add(40_000)
		resp := s.do(http.MethodPost, prefix+"x", map[string]string{"Model": "m/a1", "Prompt": nextPrompt, "Budget-Ms": "2000"})
		assert.Equal(t, resp.status, want, prefix)
		assert.DeepEqual(t, s.fetches, []string{s.source.Address})
		assert.Assert(t, !strings.Contains(resp.body, s.source.Address), resp.body)
		assert.Equal(t, s.target.Runtime.Failures(time.Now()), 0.0, "an outdated choice is no failure of the server")
	}
}

// Guards against a source that lowers the version that a request must have: requests were
// then run with versions that were replaced long ago. An adapter is never served below the
// required version. A base model is served by the newest weights that a server has.
func TestSourceDoesNotLowerTheRequiredVersion(t *testing.T) {
	s := newFetchTest(t)
	s.hold(s.source, 1, 1)
	s.processAtSource("m/a1")
	s.hold(s.target, 1, 1)
	s.directory.SetVersion(time.Now().Add(-time.Minute), fleet.AdapterVersion{Model: "m", Adapter: "a1", Version: 7})
	s.publish()
	s.askTarget("m/a1")
	for _, version := range s.versions {
		assert.Equal(t, version, "7")
	}
	assert.Equal(t, len(s.fetches), 0)

	s = newFetchTest(t)
	s.hold(s.source, 1, 1)
	s.processAtSource("m")
	s.hold(s.target, 7, 1)
	s.weights = 7
	s.directory.SetVersion(time.Now().Add(-time.Minute), fleet.AdapterVersion{Model: "m", Version: 7})
	s.publish()
	assert.Equal(t, s.ask("m", nextPrompt).status, http.StatusOK)
	assert.DeepEqual(t, s.versions, []string{"7"})
	assert.Equal(t, len(s.fetches), 0)
}
