package workload

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Report is the result of a load run.
type Report struct {
	Workload  string  `json:"workload"`
	Policy    string  `json:"policy,omitempty"`
	Seed      uint64  `json:"seed"`
	DurationS float64 `json:"duration_s"`
	Requests  int     `json:"requests"`
	// OfferedPerS and AnsweredPerS are requests per second over the duration.
	OfferedPerS  float64 `json:"offered_per_s"`
	AnsweredPerS float64 `json:"answered_per_s"`
	Rows         []Row   `json:"rows"`
	// Segments holds the results of the model requests by segment, Windows their
	// load stalls over time.
	Segments    []Row        `json:"segments"`
	Windows     []Window     `json:"windows"`
	EngineStats *EngineStats `json:"engines,omitempty"`
	Violations  []Violation  `json:"violations"`
}

// EngineStats holds measurements that only fake engines provide.
type EngineStats struct {
	Loads           int `json:"loads"`
	Evictions       int `json:"evictions"`
	ConcurrentLoads int `json:"peak_concurrent_loads"`
	// BatchEfficiency is the used fraction of all batch positions. With open-loop
	// load it depends on the offered load, whatever the policy. BusyBatchEfficiency
	// is the used fraction of the positions of engines while at least one of their
	// positions is in use.
	BatchEfficiency     float64 `json:"batch_efficiency"`
	BusyBatchEfficiency float64 `json:"busy_batch_efficiency"`
	// UsedPositionS, OfferedPositionS and OfferedBusyPositionS are the used positions,
	// all positions, and the positions of engines while they are busy, in
	// position-seconds.
	UsedPositionS        float64 `json:"used_position_s"`
	OfferedPositionS     float64 `json:"offered_position_s"`
	OfferedBusyPositionS float64 `json:"offered_busy_position_s"`
	// LoadsNeeded is the result of the function LoadsNeeded for the arrivals.
	// LoadsAllowed is the number of loads that the weight store can perform in the
	// duration.
	LoadsNeeded int `json:"loads_needed"`
	// Pooled holds the results of SimulatePooledSlots.
	Pooled       []SimulatedStall `json:"pooled_reference"`
	LoadsAllowed float64          `json:"loads_allowed"`
}

// ComputeRates sets Requests, OfferedPerS and AnsweredPerS from Rows and DurationS.
func (r *Report) ComputeRates() {
	answered := 0
	r.Requests = 0
	for _, row := range r.Rows {
		r.Requests += row.Requests
		answered += row.Answered
	}
	r.OfferedPerS = float64(r.Requests) / r.DurationS
	r.AnsweredPerS = float64(answered) / r.DurationS
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write report")
}

// WriteText writes the report as a table.
func (r *Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "workload %s, seed %d, %.0f s: %d requests, %.1f offered/s, %.1f answered/s\n",
		r.Workload, r.Seed, r.DurationS, r.Requests, r.OfferedPerS, r.AnsweredPerS)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsegment\trequests\tanswered\tnot-run\tunknown\tstalled\tfirst token ms\tinter-token ms\ttotal ms\tload stall ms\tqueue ms\t")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", row.Class, row.Segment, row.Requests, row.Answered, row.NotRun, row.Unknown, row.Stalled,
			row.FirstToken, row.InterToken, row.Total, row.LoadStall, row.Queue)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	fmt.Fprintln(out, "latencies are p50/p95/p99, first token and total from the intended start")
	if e := r.EngineStats; e != nil {
		fmt.Fprintf(out, "loads %d, evictions %d, peak concurrent loads %d, batch efficiency %.4f (%.1f of %.1f position-seconds)\n",
			e.Loads, e.Evictions, e.ConcurrentLoads, e.BatchEfficiency, e.UsedPositionS, e.OfferedPositionS)
		fmt.Fprintf(out, "batch efficiency of busy engines %.4f, loads needed at least %d of %.0f allowed (%.2f)\n",
			e.BusyBatchEfficiency, e.LoadsNeeded, e.LoadsAllowed, float64(e.LoadsNeeded)/e.LoadsAllowed)
	}
	WriteViolations(out, r.Violations)
	return nil
}

// String returns the values as p50/p95/p99, or a dash if there are none.
func (p Percentiles) String() string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f", p.P50, p.P95, p.P99)
}

// maxPrinted is the number of violations that WriteViolations prints in full.
const maxPrinted = 10

// WriteViolations prints the number of violations and the first maxPrinted of them.
func WriteViolations(out io.Writer, list []Violation) {
	fmt.Fprintf(out, "violations %d\n", len(list))
	for i, v := range list {
		if i == maxPrinted {
			fmt.Fprintln(out, "  ...")
			return
		}
		fmt.Fprintf(out, "  %s: %s\n", v.Kind, v.Detail)
	}
}
