package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/workload"
	"github.com/fescuecourse/fescuecourse/standin/fault"
)

func (f *faultRun) print(duration time.Duration) error {
	sum, totals := f.results.recorder.Sum(), f.c.engineTotals()
	w := tabwriter.NewWriter(f.out, 0, 0, 2, ' ', 0)
	for _, k := range slices.Concat(nodeFaultKinds, platformKinds) {
		fmt.Fprintf(w, "%s\t%d\n", k, f.injected[k])
	}
	fmt.Fprintf(w, "disturbances skipped, server busy\t%d\n", f.skipped)
	fmt.Fprintf(w, "connections cut, silenced\t%d, %d\n", f.cut, f.silenced)
	for _, n := range f.backendFaultCounts() {
		fmt.Fprintf(w, "%s\t%d\n", n.Kind, n.Injected)
	}
	fmt.Fprintf(w, "requests, requests/s\t%d, %.1f\n", sum.Requests, float64(sum.Requests)/duration.Seconds())
	fmt.Fprintf(w, "keyed requests repeated\t%d\n", f.repeated)
	fmt.Fprintf(w, "requests broken off with a killed entry\t%d\n", f.broken)
	fmt.Fprintf(w, "bundles accepted, active everywhere p50/p95/max (ms)\t%d, %s\n", len(f.bundleHistory.all())-1, quantiles(f.operator.activationTimes))
	fmt.Fprintf(w, "answered, not-run, unknown\t%d, %d, %d\n", sum.Answered, sum.NotRun, sum.Unknown)
	f.results.printFailures(w)
	fmt.Fprintf(w, "first token p50/p95/p99 (ms)\t%s\n", sum.FirstToken)
	fmt.Fprintf(w, "load stall p50/p95/p99 (ms)\t%s\n", sum.LoadStall)
	fmt.Fprintf(w, "whole answer p50/p95/p99 (ms)\t%s\n", sum.Total)
	fmt.Fprintf(w, "loads, evictions\t%d, %d\n", totals.loads, totals.evictions)
	return errors.Wrap(w.Flush(), "write result")
}

// quantiles formats p50, p95 and the maximum in milliseconds.
func quantiles(list []time.Duration) string {
	if len(list) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(list))
	at := func(q float64) int64 { return sorted[int(q*float64(len(sorted)-1)+0.5)].Milliseconds() }
	return fmt.Sprintf("%d/%d/%d", at(0.5), at(0.95), at(1))
}

// backendFaultCounts sums the faults injected by all fakes, sorted by kind.
func (f *faultRun) backendFaultCounts() []fault.Count {
	sums := map[fault.Kind]int{}
	for _, i := range f.injectors() {
		for _, n := range i.Counts() {
			sums[n.Kind] += n.Injected
		}
	}
	var out []fault.Count
	for k, n := range sums {
		out = append(out, fault.Count{Kind: k, Injected: n})
	}
	slices.SortFunc(out, func(a, b fault.Count) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	return out
}

// failureKey groups requests of one class that failed in the same way.
type failureKey struct {
	class         workload.Class
	keyed, repeat bool
	outcome, code string
	// message is the beginning of the error message.
	message string
}

func (e failureKey) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %s", e.class)
	if e.keyed {
		b.WriteString(" with key")
	}
	if e.repeat {
		b.WriteString(", repeated")
	}
	fmt.Fprintf(&b, ": %s, %s, %s", e.outcome, e.code, e.message)
	return b.String()
}

// maxMessageLength is the number of bytes of an error message that are printed.
const maxMessageLength = 120

// printFailures prints how often the requests of each class failed, by outcome,
// error code and message.
func (r *runRecorder) printFailures(w io.Writer) {
	counts := map[failureKey]int{}
	for i := range r.samples {
		s := &r.samples[i]
		if s.Answer.ErrorCode == "" {
			continue
		}
		message := s.Answer.ErrorMessage[:min(len(s.Answer.ErrorMessage), maxMessageLength)]
		counts[failureKey{s.Request.Class, s.Request.Key != "", s.IsRepeat, s.Answer.Outcome, s.Answer.ErrorCode, message}]++
	}
	lines := make([]string, 0, len(counts))
	for e, n := range counts {
		lines = append(lines, fmt.Sprintf("%s\t%d\n", e, n))
	}
	slices.Sort(lines)
	for _, l := range lines {
		_, _ = io.WriteString(w, l) // a tabwriter reports errors in Flush
	}
}
