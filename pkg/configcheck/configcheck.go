// Package configcheck examines a configuration before it is sent: what cannot work, what
// can never take effect, limits that contradict each other, and what differs from the
// version in force. It covers bundles and the routes of a platform's configuration.
package configcheck

import (
	"fmt"
	"slices"

	"github.com/fescuecourse/fescuecourse/pkg/findings"
)

// Kind is what a problem means for the configuration.
type Kind string

// Kinds of problems.
const (
	// Invalid configurations are refused.
	Invalid Kind = "error"
	// Unreachable entries never apply to any request.
	Unreachable Kind = "never applies"
	// Contradiction marks limits that cannot hold together.
	Contradiction Kind = "contradiction"
)

// Problem is a finding of one kind.
type Problem struct {
	findings.Finding
	Kind Kind `json:"kind"`
}

// String returns file:line: kind: text.
func (p Problem) String() string {
	f := p.Finding
	f.Text = string(p.Kind) + ": " + f.Text
	return f.String()
}

// Effect is what a difference between two versions does to callers.
type Effect string

// Effects, in the order in which they are reported.
const (
	Refuses  Effect = "refuses requests that are accepted now"
	Reroutes Effect = "sends requests elsewhere"
	Limits   Effect = "lowers a limit"
	Timing   Effect = "changes times, priorities or repetitions"
	Accepts  Effect = "accepts requests that are refused now, or raises a limit"
	Other    Effect = "has no direct effect on callers"
)

var effects = []Effect{Refuses, Reroutes, Limits, Timing, Accepts, Other}

// Change is one difference from the version in force. Old and New are empty if the item
// itself is new or gone.
type Change struct {
	Effect Effect `json:"effect"`
	Item   string `json:"item"`
	What   string `json:"what"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

// String returns the change in one line, without its effect.
func (c Change) String() string {
	if c.Old == "" && c.New == "" {
		return c.Item + " " + c.What
	}
	return fmt.Sprintf("%s %s: %s -> %s", c.Item, c.What, c.Old, c.New)
}

// Report is the result of a check.
type Report struct {
	Problems []Problem `json:"problems"`
	// Changes are grouped by effect, the ones that callers notice most first.
	Changes []Change `json:"changes"`
}

// newReport returns an empty report, whose lists are empty rather than missing as JSON.
func newReport() *Report { return &Report{Problems: []Problem{}, Changes: []Change{}} }

// Lines returns the report as text: the problems, then the changes under their effects.
func (r *Report) Lines() []string {
	var out []string
	for _, p := range r.Problems {
		out = append(out, p.String())
	}
	last := Effect("")
	for _, c := range r.Changes {
		if c.Effect != last {
			out = append(out, "This change "+string(c.Effect)+":")
			last = c.Effect
		}
		out = append(out, "  "+c.String())
	}
	return out
}

func (r *Report) addf(kind Kind, file string, line int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Problems = append(r.Problems, Problem{Finding: findings.Finding{File: file, Line: line, Text: text}, Kind: kind})
}

func (r *Report) addInvalid(found findings.List) {
	for _, f := range found {
		r.Problems = append(r.Problems, Problem{Finding: f, Kind: Invalid})
	}
}

// sort orders the problems by place and the changes by effect.
func (r *Report) sort() {
	slices.SortStableFunc(r.Problems, func(a, b Problem) int { return a.Line - b.Line })
	slices.SortStableFunc(r.Changes, func(a, b Change) int {
		return slices.Index(effects, a.Effect) - slices.Index(effects, b.Effect)
	})
}
