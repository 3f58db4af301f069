package workload

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Comparison holds the reports of several policies for the same arrivals.
type Comparison struct {
	Reports []*Report `json:"reports"`
}

// WriteJSON writes the comparison as one JSON document.
func (c *Comparison) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(c), "write comparison")
}

// WriteText writes one table with a row for each policy and segment.
func (c *Comparison) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tsegment\trequests\tanswered\tnot-run\tunknown\tload stall ms\tfirst token ms\tloads\tevictions\tbatch eff.\tbusy eff.\tneeded/allowed\t")
	for _, rep := range c.Reports {
		for _, row := range rep.Segments {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t", rep.Policy, row.Segment, row.Requests, row.Answered, row.NotRun, row.Unknown, row.LoadStall, row.FirstToken)
			writeEngineCells(w, rep.EngineStats)
		}
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write comparison")
	}
	if e := c.Reports[0].EngineStats; e != nil {
		for _, p := range e.Pooled {
			fmt.Fprintf(out, "pooled slots, loads one at a time by class (simulated): %s load stall p50/p95 %.0f/%.0f ms\n", p.Segment, p.P50, p.P95)
		}
	}
	fmt.Fprintln(out, "latencies are p50/p95/p99; batch eff. is over all positions, busy eff. over those of engines in use")
	for _, rep := range c.Reports {
		fmt.Fprintf(out, "%s: ", rep.Policy)
		WriteViolations(out, rep.Violations)
	}
	return nil
}

func writeEngineCells(w io.Writer, e *EngineStats) {
	if e == nil {
		fmt.Fprintln(w, "-\t-\t-\t-\t-\t")
		return
	}
	fmt.Fprintf(w, "%d\t%d\t%.4f\t%.4f\t%d/%.0f\t\n", e.Loads, e.Evictions, e.BatchEfficiency, e.BusyBatchEfficiency, e.LoadsNeeded, e.LoadsAllowed)
}
