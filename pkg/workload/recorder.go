package workload

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Upper bound of the histograms in microseconds, and their precision in significant
// digits.
const (
	histogramMaxUS  = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Segment is a group of requests that reports show separately: those of the dominant
// team, of the tail of smaller teams, and of the batch.
type Segment string

// Segments of requests.
const (
	SegmentDominant Segment = "dominant"
	SegmentTail     Segment = "tail"
	SegmentBatch    Segment = "batch"
)

func segmentOf(r *Request) Segment {
	switch {
	case r.Class == ClassBatch:
		return SegmentBatch
	case r.Team.Dominant:
		return SegmentDominant
	default:
		return SegmentTail
	}
}

type groupKey struct {
	class   Class
	segment Segment
}

// groupStats holds the counters and the latency histograms, in microseconds, of one
// group of requests.
type groupStats struct {
	firstToken, interToken, total, stall, queue *hdrhistogram.Histogram

	requests, answered, notRun, unknown, stalled int
}

func newGroupStats() *groupStats {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMaxUS, histogramDigits) }
	return &groupStats{firstToken: h(), interToken: h(), total: h(), stall: h(), queue: h()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMaxUS)) // cannot fail, the value is within the range
}

func (s *groupStats) add(sm *Sample) {
	s.requests++
	switch sm.Answer.Outcome {
	case ident.NotRun.String():
		s.notRun++
		return
	case ident.Answered.String():
		s.answered++
	default:
		s.unknown++
		return
	}
	a := &sm.Answer
	record(s.total, a.End.Sub(sm.IntendedStart))
	if !sm.Request.IsModel() {
		return
	}
	if sm.Request.Streams() {
		record(s.firstToken, a.FirstToken)
	}
	for _, g := range a.InterTokenGaps {
		record(s.interToken, g)
	}
	record(s.stall, a.LoadStall)
	record(s.queue, a.QueueWait)
	if a.LoadStall > 0 {
		s.stalled++
	}
}

// timelinePoint holds the latencies of one answered model request. at is its
// intended start, relative to the start of the recorder.
type timelinePoint struct {
	at         time.Duration
	firstToken time.Duration
	stall      time.Duration
	segment    Segment
}

// Recorder checks samples and aggregates their latencies. It is safe for concurrent
// use.
type Recorder struct {
	start         time.Time
	expectedToken TokenFunc

	mu         sync.Mutex
	groups     map[groupKey]*groupStats
	points     []timelinePoint
	violations []Violation
}

// NewRecorder returns an empty recorder. Generated texts are not checked if
// expectedToken is nil.
func NewRecorder(expectedToken TokenFunc) *Recorder {
	return &Recorder{start: time.Now(), expectedToken: expectedToken, groups: map[groupKey]*groupStats{}}
}

// Add checks a sample and records its latencies.
func (r *Recorder) Add(sm Sample) {
	found := CheckAnswer(&sm.Request, &sm.Answer, r.expectedToken)
	g := groupKey{class: sm.Request.Class, segment: segmentOf(&sm.Request)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, found...)
	if r.groups[g] == nil {
		r.groups[g] = newGroupStats()
	}
	r.groups[g].add(&sm)
	if sm.Answer.Outcome == ident.Answered.String() && sm.Request.IsModel() {
		r.points = append(r.points, timelinePoint{at: sm.IntendedStart.Sub(r.start), firstToken: sm.Answer.FirstToken, stall: sm.Answer.LoadStall, segment: g.segment})
	}
}

// Percentiles summarises a latency histogram, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtPercentile(50)),
		P95:   ms(h.ValueAtPercentile(95)),
		P99:   ms(h.ValueAtPercentile(99)),
		Max:   ms(h.Max()),
	}
}

// Row holds the results of one class and segment of requests.
type Row struct {
	Class    Class   `json:"class"`
	Segment  Segment `json:"segment"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not_run"`
	Unknown  int     `json:"unknown"`
	// Stalled is the number of answered model requests that waited for an adapter
	// load.
	Stalled int `json:"stalled"`
	// FirstToken is measured from the intended start and covers only streams.
	FirstToken Percentiles `json:"first_token"`
	InterToken Percentiles `json:"inter_token"`
	Total      Percentiles `json:"total"`
	LoadStall  Percentiles `json:"load_stall"`
	Queue      Percentiles `json:"queue"`
}

func (s *groupStats) row(g groupKey) Row {
	return Row{
		Class: g.class, Segment: g.segment,
		Requests: s.requests, Answered: s.answered, NotRun: s.notRun, Unknown: s.unknown, Stalled: s.stalled,
		FirstToken: percentiles(s.firstToken), InterToken: percentiles(s.interToken), Total: percentiles(s.total),
		LoadStall: percentiles(s.stall), Queue: percentiles(s.queue),
	}
}

// Sum returns the results of all requests in one row.
func (r *Recorder) Sum() Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := newGroupStats()
	for _, s := range r.groups {
		all.merge(s)
	}
	return all.row(groupKey{class: "all", segment: "all"})
}

func (s *groupStats) merge(o *groupStats) {
	s.requests += o.requests
	s.answered += o.answered
	s.notRun += o.notRun
	s.unknown += o.unknown
	s.stalled += o.stalled
	s.firstToken.Merge(o.firstToken)
	s.interToken.Merge(o.interToken)
	s.total.Merge(o.total)
	s.stall.Merge(o.stall)
	s.queue.Merge(o.queue)
}

// Rows returns one row for each class and segment, sorted by both.
func (r *Recorder) Rows() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Row
	for g, s := range r.groups {
		out = append(out, s.row(g))
	}
	slices.SortFunc(out, func(a, b Row) int {
		if c := strings.Compare(string(a.Class), string(b.Class)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Segment), string(b.Segment))
	})
	return out
}

// Violations returns the violations found so far.
func (r *Recorder) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}
