package workload

import (
	"encoding/json"
	"fmt"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// ViolationKind names a requirement that an answer or a backend violated.
type ViolationKind string

// Kinds of violations.
const (
	WrongAdapter         ViolationKind = "wrong adapter"
	WrongText            ViolationKind = "wrong text"
	IncompleteAnswer     ViolationKind = "incomplete answer with a normal end"
	NoOutcome            ViolationKind = "no outcome"
	ContradictoryOutcome ViolationKind = "outcome contradicts the answer"
	BrokenConnection     ViolationKind = "broken connection"
	RanDespiteNotRun     ViolationKind = "not-run request ran"
	RanTwice             ViolationKind = "non-idempotent request ran more than once"
	AnsweredWithoutRun   ViolationKind = "answered request did not run"
	EvictedDuringRun     ViolationKind = "adapter evicted under a running request"
	NewWorkWhileLeaving  ViolationKind = "new work at a leaving endpoint"
	BundleActivatedLate  ViolationKind = "bundle not active in time"
	BundleReverted       ViolationKind = "bundle version fell"
	WrongRolloutResult   ViolationKind = "wrong result of a rollout"
	InterruptedByStop    ViolationKind = "request cut off by a graceful stop"
)

// Violation is one violated requirement.
type Violation struct {
	Kind   ViolationKind
	Detail string
}

// TokenFunc returns token i of the text that an adapter generates. model is the
// adapter with its version, content the prompt or the messages as JSON.
type TokenFunc func(model, content string, i int) string

// CheckAnswer checks one answer by what the caller received. The generated text is
// not checked if expectedToken is nil.
func CheckAnswer(r *Request, a *Answer, expectedToken TokenFunc) []Violation {
	var out []Violation
	add := func(k ViolationKind, format string, args ...any) {
		out = append(out, Violation{Kind: k, Detail: fmt.Sprintf("request %d: ", r.Seq) + fmt.Sprintf(format, args...)})
	}
	if a.Err != nil {
		add(BrokenConnection, "%v", a.Err)
		return out
	}
	switch a.Outcome {
	case ident.Answered.String():
		if !a.Complete {
			add(ContradictoryOutcome, "answered with status %d without a normal end", a.Status)
			return out
		}
	case ident.NotRun.String(), ident.Unknown.String():
		if a.Complete {
			add(ContradictoryOutcome, "%s with a normal end", a.Outcome)
		}
		return out
	default:
		add(NoOutcome, "status %d, outcome %q", a.Status, a.Outcome)
		return out
	}
	if r.IsModel() {
		return append(out, checkModel(r, a, expectedToken)...)
	}
	return append(out, checkService(r, a)...)
}

func checkModel(r *Request, a *Answer, expectedToken TokenFunc) []Violation {
	var out []Violation
	if a.Adapter != r.Adapter.String() {
		out = append(out, Violation{WrongAdapter, fmt.Sprintf("request %d: asked for %s, got %s", r.Seq, r.Adapter, a.Adapter)})
	}
	if expectedToken == nil {
		return out
	}
	want := ""
	for i := range r.Tokens {
		want += expectedToken(r.Adapter.String(), r.Content(), i)
	}
	switch {
	case a.Text == want:
	case len(a.Text) < len(want):
		out = append(out, Violation{IncompleteAnswer, fmt.Sprintf("request %d: %d of %d bytes", r.Seq, len(a.Text), len(want))})
	default:
		out = append(out, Violation{WrongText, fmt.Sprintf("request %d: got %q, want %q", r.Seq, a.Text, want)})
	}
	return out
}

// serviceAnswer is the part of a service's answer that is checked.
type serviceAnswer struct {
	Echo string `json:"echo"`
}

func checkService(r *Request, a *Answer) []Violation {
	var doc serviceAnswer
	if err := json.Unmarshal([]byte(a.Text), &doc); err != nil {
		return []Violation{{IncompleteAnswer, fmt.Sprintf("request %d: %v", r.Seq, err)}}
	}
	if doc.Echo != r.Prompt {
		return []Violation{{WrongText, fmt.Sprintf("request %d: got %q, want %q", r.Seq, doc.Echo, r.Prompt)}}
	}
	return nil
}

// CheckRuns checks an answer against the number of times that backends ran the
// request. A repeated request may be refused as not run although its first attempt
// ran.
func CheckRuns(s *Sample, runs int) []Violation {
	r, a := &s.Request, &s.Answer
	var out []Violation
	if a.Outcome == ident.NotRun.String() && runs > 0 && !s.IsRepeat {
		out = append(out, Violation{RanDespiteNotRun, fmt.Sprintf("request %d: %d runs", r.Seq, runs)})
	}
	if a.Outcome == ident.Answered.String() && runs == 0 {
		out = append(out, Violation{AnsweredWithoutRun, fmt.Sprintf("request %d", r.Seq)})
	}
	if r.Class == ClassNonIdempotentService && runs > 1 {
		out = append(out, Violation{RanTwice, fmt.Sprintf("request %d: %d runs", r.Seq, runs)})
	}
	return out
}
