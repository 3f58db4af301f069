package demo

import (
	"fmt"
	"sync"

	fakeengine "github.com/fescuecourse/fescuecourse/standin/engine"

	"github.com/fescuecourse/fescuecourse/pkg/workload"
)

// runRecorder records the samples of one run and checks them against what callers
// and fakes observed.
type runRecorder struct {
	recorder *workload.Recorder

	mu      sync.Mutex
	samples []workload.Sample
}

func newRunRecorder() *runRecorder {
	return &runRecorder{recorder: workload.NewRecorder(fakeengine.OutputToken)}
}

func (r *runRecorder) add(s workload.Sample) {
	r.recorder.Add(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Answer.Text, s.Answer.InterTokenGaps = "", nil // already checked by the recorder
	r.samples = append(r.samples, s)
}

// addRuns records a sample whose answer was lost because its entry was killed, so
// that only its runs are checked.
func (r *runRecorder) addRuns(s workload.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Answer = workload.Answer{Start: s.Answer.Start, End: s.Answer.End}
	r.samples = append(r.samples, s)
}

func (r *runRecorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.samples)
}

// violations checks all samples against the runs counted by the fakes. It must be
// called after the cluster has stopped, when no further run can start.
func (r *runRecorder) violations(c *Cluster) []workload.Violation {
	out := r.recorder.Violations()
	for i := range r.samples {
		s := &r.samples[i]
		out = append(out, workload.CheckRuns(s, c.runs(s.Request.Content()))...)
	}
	return append(out, c.evictionViolations()...)
}

// runs returns how many times all backends together ran a request.
func (c *Cluster) runs(content string) int {
	n := 0
	for _, s := range c.Servers {
		n += len(s.Starts(content))
	}
	return n
}

func (c *Cluster) evictionViolations() []workload.Violation {
	var out []workload.Violation
	for _, s := range c.Servers {
		if s.Engine == nil {
			continue
		}
		if n := s.Engine.Stats().EvictedDuringRun; n > 0 {
			out = append(out, workload.Violation{Kind: workload.EvictedDuringRun, Detail: fmt.Sprintf("%s: %d", s.ID, n)})
		}
	}
	return out
}

// engineTotals holds counters summed over all fake engines.
type engineTotals struct {
	loads, evictions int
	usedPositionS    float64
	busyS            float64
}

func (c *Cluster) engineTotals() engineTotals {
	var t engineTotals
	for _, s := range c.Servers {
		if s.Engine == nil {
			continue
		}
		st := s.Engine.Stats()
		t.loads += st.Loads
		t.evictions += st.Evictions
		t.usedPositionS += st.PositionSeconds
		t.busyS += st.BusySeconds
	}
	return t
}
