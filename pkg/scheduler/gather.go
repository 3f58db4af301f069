package scheduler

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

const (
	// gatherTime is how long batch-class work waits at an idle engine for more work to
	// arrive. It is multiplied by Config.batchShare.
	gatherTime = 10 * time.Second
	// gatherSlackDivisor limits the wait to this fraction, 1/gatherSlackDivisor, of
	// the time left until the deadline.
	gatherSlackDivisor = 4
)

// gathering reports whether the ready work should wait for more work to arrive. An
// engine that runs a single attempt is inefficient: it uses one position while all
// of them are allocated. Batch-class work therefore starts only once other work
// runs, half of the positions can be filled, or the oldest attempt has waited long
// enough.
func (s *Scheduler) gathering(now time.Time) bool {
	if len(s.running) > 0 || s.queue.ReadyClass() != ident.PriorityBatch {
		return false
	}
	if _, n, _ := s.queue.Waiting(ident.Adapter{}); n > 0 {
		return false
	}
	count := 0
	for _, st := range s.slots {
		oldest, n, _ := s.queue.Waiting(st.name)
		if n == 0 || st.state != stateResident || st.draining {
			continue
		}
		count += n
		waited := now.Sub(oldest.Value.queuedAt)
		slack := oldest.Value.work.Deadline.Sub(now)
		if waited >= min(s.cfg.gatherTime(), slack/gatherSlackDivisor) {
			return false
		}
	}
	return 2*count < s.cfg.Positions
}
