package workload

import (
	"cmp"
	"slices"
	"time"
)

// windowLength is the length of one Window.
const windowLength = 5 * time.Second

// Window holds the load stall of the answered requests of one segment whose intended
// start is in one interval.
type Window struct {
	StartS  float64 `json:"start_s"`
	Segment Segment `json:"segment"`
	Answers int     `json:"answers"`
	P95     float64 `json:"load_stall_p95_ms"`
}

// Segments returns the results of the model requests, one row for each segment,
// sorted by segment.
func (r *Recorder) Segments() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	merged := map[Segment]*groupStats{}
	for g, s := range r.groups {
		if g.class == ClassService || g.class == ClassNonIdempotentService {
			continue
		}
		if merged[g.segment] == nil {
			merged[g.segment] = newGroupStats()
		}
		merged[g.segment].merge(s)
	}
	var out []Row
	for name, s := range merged {
		out = append(out, s.row(groupKey{class: "model", segment: name}))
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Segment, b.Segment) })
	return out
}

// Windows returns the load stalls over time, sorted by segment and start.
func (r *Recorder) Windows() []Window {
	type key struct {
		segment Segment
		index   int
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stalls := map[key][]time.Duration{}
	for _, p := range r.points {
		k := key{p.segment, int(p.at / windowLength)}
		stalls[k] = append(stalls[k], p.stall)
	}
	var out []Window
	for k, values := range stalls {
		slices.Sort(values)
		p95 := values[len(values)*95/100]
		out = append(out, Window{StartS: float64(k.index) * windowLength.Seconds(), Segment: k.segment, Answers: len(values), P95: p95.Seconds() * 1000})
	}
	slices.SortFunc(out, func(a, b Window) int {
		return cmp.Or(cmp.Compare(a.Segment, b.Segment), cmp.Compare(a.StartS, b.StartS))
	})
	return out
}
