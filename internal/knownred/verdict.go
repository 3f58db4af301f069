package main

import (
	"fmt"
	"strings"
)

// verdict says whether the run shows the listed failures and no others.
type verdict struct {
	// Known are the listed tests that failed.
	Known []testID
	// Problems are the reasons for which the check fails.
	Problems []string
}

// judge compares a run of all tests with the list of known failures. testErr
// says that `go test` itself ended with an error.
func judge(entries []entry, s *summary, testErr bool) verdict {
	listed := map[testID]bool{}
	for _, e := range entries {
		for _, id := range e.Tests {
			listed[id] = true
		}
	}
	var v verdict
	for _, p := range s.Packages {
		v.judgePackage(p, listed)
	}
	for _, e := range entries {
		for _, id := range e.Tests {
			v.judgeListed(id, s)
		}
	}
	if testErr && len(v.Known) == 0 && len(v.Problems) == 0 {
		v.addf("go test failed without a failing test")
	}
	if len(s.Packages) == 0 {
		v.addf("go test reported no package")
	}
	return v
}

func (v *verdict) addf(format string, args ...any) {
	v.Problems = append(v.Problems, fmt.Sprintf(format, args...))
}

func (v *verdict) judgePackage(p *packageRun, listed map[testID]bool) {
	switch {
	case p.FailedBuild != "":
		v.addf("%s: build failed", p.Dir)
		return
	case p.Result == unfinished:
		v.addf("%s: no result", p.Dir)
	case p.Result == failed && !p.Completed:
		v.addf("%s: the test binary ended before its tests did", p.Dir)
	}
	if p.RaceOutside {
		v.addf("%s: data race outside of a test", p.Dir)
	}
	failures := 0
	for _, id := range p.order {
		t := p.Tests[id]
		if t.Result == failed {
			failures++
		}
		v.judgeTest(id, t, listed)
	}
	if p.Result == failed && p.Completed && failures == 0 {
		v.addf("%s: failed without a failing test", p.Dir)
	}
}

func (v *verdict) judgeTest(id testID, t *testRun, listed map[testID]bool) {
	switch {
	case t.Result == unfinished:
		v.addf("%s: did not end", id)
	case t.Result != failed || listed[id]:
	case t.Failures > 0 && !t.OwnOutput:
		// The test failed because of its subtests, which are judged themselves.
	default:
		v.addf("%s: failed and is not listed", id)
	}
}

func (v *verdict) judgeListed(id testID, s *summary) {
	t := s.find(id)
	switch {
	case t == nil:
		v.addf("%s: listed, but was not run", id)
	case t.Result == passed:
		v.addf("%s: listed, but passed; remove the entry", id)
	case t.Result == skipped:
		v.addf("%s: listed, but was skipped", id)
	case t.Result == failed:
		v.Known = append(v.Known, id)
	}
}

func (s *summary) find(id testID) *testRun {
	for _, p := range s.Packages {
		if t := p.Tests[id]; t != nil {
			return t
		}
	}
	return nil
}

// report formats the verdict and the list for the end of the log.
func report(entries []entry, v verdict) string {
	var b strings.Builder
	fmt.Fprintf(&b, "known failures: %d listed, %d seen\n", countTests(entries), len(v.Known))
	for _, e := range entries {
		for _, id := range e.Tests {
			fmt.Fprintf(&b, "  known: %s\n", id)
		}
		for _, line := range e.Text {
			fmt.Fprintf(&b, "      %s\n", strings.TrimSpace(line))
		}
	}
	for _, problem := range v.Problems {
		fmt.Fprintf(&b, "FAIL: %s\n", problem)
	}
	return b.String()
}

func countTests(entries []entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Tests)
	}
	return n
}
