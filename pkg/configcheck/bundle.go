package configcheck

import (
	"strconv"
	"strings"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
)

// Bundle checks the text of a bundle. against is the text in force, or empty if there is
// none to compare with.
func Bundle(file, text, against string) *Report {
	r := newReport()
	b, found := bundle.Parse(file, text)
	r.addInvalid(found)
	if b != nil {
		sections, _ := bundle.Sections(file, text) // Parse has reported its findings
		r.checkSections(file, b, sections)
	}
	if against != "" {
		r.compareBundles(against, text)
	}
	r.sort()
	return r
}

func (r *Report) checkSections(file string, b *bundle.Bundle, sections []bundle.Section) {
	reviewers := 0
	for i := range sections {
		s := &sections[i]
		switch s.Kind {
		case "reviewer":
			reviewers++
		case "team":
			if value(s, "key_sha256") == "" {
				r.addf(Unreachable, file, s.Line, "[team %q] has no key_sha256, so that no request can belong to it", s.Name)
			}
		case "route":
			r.checkRule(file, b, sections, s)
		}
	}
	if reviewers > 0 && reviewers < bundle.RequiredReviewers {
		r.addf(Contradiction, file, 0, "%d reviewer is defined, but the next version needs the signatures of %d", reviewers, bundle.RequiredReviewers)
	}
}

// checkRule checks one rule on which requests may be repeated.
func (r *Report) checkRule(file string, b *bundle.Bundle, sections []bundle.Section, s *bundle.Section) {
	idempotent := value(s, "idempotent") == "true"
	if without := inherited(sections, s); without == idempotent {
		r.addf(Unreachable, file, s.Line, "[route %q] changes nothing: idempotent is %t without it", s.Name, without)
	}
	if idempotent && b.Deployment().RetryBudget == 0 {
		r.addf(Contradiction, file, s.Line, "[route %q] allows repeated attempts, but retry_budget is 0", s.Name)
	}
}

// inherited reports whether requests of a rule's route would be idempotent without it.
func inherited(sections []bundle.Section, rule *bundle.Section) bool {
	best, result := "", rule.Name == "completions" || rule.Name == "chat/completions"
	for i := range sections {
		s := &sections[i]
		if s.Kind == "route" && strings.HasPrefix(rule.Name, s.Name+"/") && len(s.Name) > len(best) {
			best, result = s.Name, value(s, "idempotent") == "true"
		}
	}
	return result
}

// value returns the value of a key, or an empty string if it is not set.
func value(s *bundle.Section, key string) string {
	for _, k := range s.Keys {
		if k.Name == key {
			return k.Value
		}
	}
	return ""
}

func (r *Report) compareBundles(older, newer string) {
	changes, found := bundle.Diff(older, newer)
	for _, f := range found {
		if f.File == "old" {
			r.addf(Invalid, "version in force", f.Line, "%s", f.Text)
		}
	}
	for _, c := range changes {
		item := "[" + c.Section + "]"
		if c.Key == "" {
			r.Changes = append(r.Changes, Change{Effect: sectionEffect(c), Item: item, What: string(c.Type)})
			continue
		}
		r.Changes = append(r.Changes, Change{Effect: keyEffect(c), Item: item, What: c.Key, Old: orNone(c.Old), New: orNone(c.New)})
	}
}

func orNone(v string) string {
	if v == "" {
		return "(none)"
	}
	return v
}

// sectionEffect returns the effect of a section that was added or removed.
func sectionEffect(c bundle.Change) Effect {
	kind, _, _ := strings.Cut(c.Section, " ")
	switch {
	case kind == "route":
		return Timing
	case kind != "team" && kind != "adapter" && kind != "service":
		return Other
	case c.Type == bundle.Removed:
		return Refuses
	default:
		return Accepts
	}
}

// keyEffect returns the effect of a changed key.
func keyEffect(c bundle.Change) Effect {
	switch c.Key {
	case "key_sha256", "versions":
		return listEffect(c)
	case "rate", "max_in_flight", "retry_budget":
		return limitEffect(c)
	case "base_model", "current":
		return Reroutes
	case "priority", "weight", "idempotent", "key_retention", "stall_weight", "batch_weight":
		return Timing
	default:
		return Other
	}
}

// limitEffect returns the effect of a changed upper limit. A missing key stands for a
// default, which may be lower or higher.
func limitEffect(c bundle.Change) Effect {
	a, errA := strconv.ParseFloat(c.Old, 64)
	b, errB := strconv.ParseFloat(c.New, 64)
	if errA != nil || errB != nil {
		return Limits
	}
	return numberEffect(a, b)
}

// listEffect returns the effect of a changed list of keys or versions: requests that name
// an element that is gone are refused.
func listEffect(c bundle.Change) Effect {
	kept := elements(c.New)
	for e := range elements(c.Old) {
		if !kept[e] {
			return Refuses
		}
	}
	return Accepts
}

func elements(list string) map[string]bool {
	out := map[string]bool{}
	for e := range strings.SplitSeq(list, ",") {
		if e = strings.TrimSpace(e); e != "" {
			out[e] = true
		}
	}
	return out
}
