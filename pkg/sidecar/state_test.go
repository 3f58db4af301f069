package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/residency"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// Guards against new weights that a server has loaded and that entries are not told of at
// once: they would take its cached parts for those of the weights before.
func TestNewWeightsChangeTheHoldings(t *testing.T) {
	s, _ := newTestSidecar(t, &fakeServer{})
	s.instance = "i-1"
	report := &residency.Report{Models: map[string]int{"m": 3}}
	in := &residency.Input{Report: report, Engine: &route.Engine{MaxAdapters: 1}}
	before := s.state(in)
	assert.DeepEqual(t, before.GetModelVersions(), []uint32{3})
	report.Models["m"] = 4
	assert.Assert(t, holdingsKeyOf(before) != holdingsKeyOf(s.state(in)))
	assert.Assert(t, holdingsKeyOf(&fescuev1.ServerState{Models: []string{"m"}}) != holdingsKeyOf(before))
}
